#include "ctl/ObjectDiff.h"

#include <google/protobuf/util/json_util.h>
#include <google/protobuf/util/message_differencer.h>
#include <map>

namespace dragonfly::ctl {

namespace {

    using google::protobuf::Message;
    using google::protobuf::util::MessageDifferencer;

    /// Objects by kind and name, such as "route/survey".
    using ObjectMap = std::map<std::string, const Message*>;

    template <typename Objects> void addObjects(ObjectMap& map, const char* kind, const Objects& objects)
    {
        for (const auto& object : objects)
            map[std::string(kind) + "/" + object.name()] = &object;
    }

    ObjectMap mapByName(const pb::ConfigPart& objects)
    {
        ObjectMap map;
        addObjects(map, "organisation", objects.organisations());
        addObjects(map, "model", objects.models());
        addObjects(map, "priority", objects.priorities());
        addObjects(map, "dataCentre", objects.data_centres());
        addObjects(map, "target", objects.targets());
        addObjects(map, "route", objects.routes());
        return map;
    }

    std::string describeDifferences(const Message& before, const Message& after)
    {
        std::string report;
        MessageDifferencer differencer;
        differencer.ReportDifferencesToString(&report);
        differencer.Compare(before, after);
        return report;
    }

}

std::vector<ObjectChange> diffObjects(const pb::ConfigPart& before, const pb::ConfigPart& after)
{
    std::vector<ObjectChange> changes;
    const auto old = mapByName(before);
    const auto current = mapByName(after);
    for (const auto& [object, message] : old) {
        if (!current.contains(object))
            changes.push_back({ ChangeKind::Removed, object, {} });
    }
    for (const auto& [object, message] : current) {
        const auto found = old.find(object);
        if (found == old.end())
            changes.push_back({ ChangeKind::Added, object, {} });
        else if (!MessageDifferencer::Equals(*found->second, *message))
            changes.push_back({ ChangeKind::Changed, object, describeDifferences(*found->second, *message) });
    }
    return changes;
}

std::string toString(const ObjectChange& change)
{
    switch (change.kind) {
    case ChangeKind::Added:
        return "+ " + change.object;
    case ChangeKind::Removed:
        return "- " + change.object;
    case ChangeKind::Changed:
        break;
    }
    std::string text = "~ " + change.object;
    for (size_t start = 0; start < change.detail.size();) {
        const auto end = change.detail.find('\n', start);
        text += "\n    " + change.detail.substr(start, end - start);
        start = end == std::string::npos ? change.detail.size() : end + 1;
    }
    return text;
}

std::vector<NamedObject> listObjects(const pb::ConfigPart& objects)
{
    std::vector<NamedObject> list;
    for (const auto& [object, message] : mapByName(objects)) {
        std::string json;
        google::protobuf::util::MessageToJsonString(*message, &json);
        const auto slash = object.find('/');
        list.push_back({ object.substr(0, slash), object.substr(slash + 1), json });
    }
    return list;
}

}
