#include "config/Publication.h"

#include <algorithm>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

namespace dragonfly::config {

namespace {

    constexpr uint64_t organisationShards = 64;
    constexpr uint64_t targetShards = 32;
    constexpr uint64_t routeShards = 32;

    std::string serialize(const google::protobuf::Message& message)
    {
        std::string bytes;
        google::protobuf::io::StringOutputStream stream(&bytes);
        google::protobuf::io::CodedOutputStream coded(&stream);
        coded.SetSerializationDeterministic(true);
        message.SerializeToCodedStream(&coded);
        coded.Trim();
        return bytes;
    }

    template <typename Objects> void sortByName(Objects* objects)
    {
        std::sort(objects->begin(), objects->end(), [](const auto& a, const auto& b) { return a.name() < b.name(); });
    }

    std::string label(std::string_view kind, std::string_view name, uint64_t shards)
    {
        return std::string(kind) + "/" + std::to_string(fastHash(name) % shards);
    }

    std::map<std::string, pb::ConfigPart> split(const pb::ConfigPart& objects)
    {
        std::map<std::string, pb::ConfigPart> parts;
        for (const auto& organisation : objects.organisations())
            *parts[label("organisation", organisation.name(), organisationShards)].add_organisations() = organisation;
        for (const auto& target : objects.targets())
            *parts[label("target", target.name(), targetShards)].add_targets() = target;
        for (const auto& route : objects.routes())
            *parts[label("route", route.name(), routeShards)].add_routes() = route;
        for (const auto& model : objects.models())
            *parts["model/0"].add_models() = model;
        for (const auto& dataCentre : objects.data_centres())
            *parts["dataCentre/0"].add_data_centres() = dataCentre;
        for (const auto& priority : objects.priorities())
            *parts["priority/0"].add_priorities() = priority;
        return parts;
    }

}

std::string partKey(std::string_view sha256)
{
    return "dragonfly/parts/" + toHex(sha256);
}

Publication buildPublication(const pb::ConfigPart& objects, uint64_t revision, const std::string& author)
{
    Publication publication;
    publication.manifest.set_revision(revision);
    publication.manifest.set_author(author);
    publication.manifest.set_published_unix_ms(unixTime(WallClock::now()).count());
    for (auto& [name, part] : split(objects)) {
        sortByName(part.mutable_organisations());
        sortByName(part.mutable_targets());
        sortByName(part.mutable_routes());
        sortByName(part.mutable_models());
        sortByName(part.mutable_data_centres());
        sortByName(part.mutable_priorities());
        auto bytes = serialize(part);
        auto* reference = publication.manifest.add_parts();
        reference->set_label(name);
        reference->set_sha256(sha256(bytes));
        reference->set_size(static_cast<uint32_t>(bytes.size()));
        publication.parts.emplace(reference->sha256(), std::move(bytes));
    }
    publication.manifestBytes = serialize(publication.manifest);
    return publication;
}

uint64_t nextRevision(uint64_t previous, WallClock::time_point now)
{
    // If the platform lost a newer manifest, the wall clock still gives the next publication a higher revision
    // than the lost one, so that all instances apply it.
    return std::max(previous + 1, static_cast<uint64_t>(unixTime(now).count()));
}

std::optional<pb::Manifest> parseManifest(std::string_view bytes)
{
    pb::Manifest manifest;
    if (!manifest.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    return manifest;
}

std::optional<pb::ConfigPart> joinParts(const Publication& publication)
{
    pb::ConfigPart all;
    for (const auto& reference : publication.manifest.parts()) {
        const auto found = publication.parts.find(reference.sha256());
        pb::ConfigPart part;
        if (found == publication.parts.end() || !part.ParseFromString(found->second))
            return std::nullopt;
        all.MergeFrom(part);
    }
    return all;
}

}
