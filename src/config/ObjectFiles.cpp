#include "config/ObjectFiles.h"

#include <algorithm>

namespace dragonfly::config {

namespace {

    constexpr uint64_t maxRequestsPerSecond = 1000000;
    constexpr uint64_t maxContextTokens = 16u << 20;
    constexpr uint64_t maxPriorityLevel = 9;
    constexpr uint64_t maxInstances = 1024;

    pb::Organisation readOrganisation(MapReader& reader)
    {
        pb::Organisation organisation;
        organisation.set_name(reader.requiredText("name"));
        for (auto& hash : reader.texts("keyHashes"))
            organisation.add_key_hashes(std::move(hash));
        organisation.set_priority(reader.requiredText("priority"));
        organisation.set_requests_per_second(
            static_cast<uint32_t>(reader.number("requestsPerSecond", 0, 0, maxRequestsPerSecond)));
        organisation.set_concurrent_requests(
            static_cast<uint32_t>(reader.number("concurrentRequests", 0, 0, maxRequestsPerSecond)));
        organisation.set_cache_scope(reader.text("cacheScope", "organisation:" + organisation.name()));
        return organisation;
    }

    pb::Model readModel(MapReader& reader)
    {
        pb::Model model;
        model.set_name(reader.requiredText("name"));
        model.set_weights(reader.requiredText("weights"));
        model.set_context_tokens(static_cast<uint32_t>(reader.number("contextTokens", 131072, 1, maxContextTokens)));
        return model;
    }

    pb::Priority readPriority(MapReader& reader)
    {
        pb::Priority priority;
        priority.set_name(reader.requiredText("name"));
        priority.set_level(static_cast<uint32_t>(reader.number("level", 0, 0, maxPriorityLevel)));
        return priority;
    }

    pb::Target readTarget(MapReader& reader)
    {
        pb::Target target;
        target.set_name(reader.requiredText("name"));
        target.set_address(reader.requiredText("address"));
        if (!target.address().empty() && !parseEndpoint(target.address()))
            reader.addProblem("address", "expected an IP address and a port, such as 127.0.0.1:8080");
        target.set_data_centre(reader.requiredText("dataCentre"));
        target.set_protocol(reader.choice("protocol", { "engine", "service" }, 0) ? pb::SERVICE : pb::ENGINE);
        for (auto& model : reader.texts("serves"))
            target.add_serves(std::move(model));
        target.set_checks_fencing(reader.flag("checksFencing", false));
        return target;
    }

    pb::DataCentre readDataCentre(MapReader& reader)
    {
        pb::DataCentre dataCentre;
        dataCentre.set_name(reader.requiredText("name"));
        dataCentre.set_region(reader.requiredText("region"));
        dataCentre.set_limit_share_percent(static_cast<uint32_t>(reader.number("limitSharePercent", 0, 0, 100)));
        dataCentre.set_instances(static_cast<uint32_t>(reader.number("instances", 1, 1, maxInstances)));
        return dataCentre;
    }

    pb::Route readRoute(MapReader& reader)
    {
        pb::Route route;
        route.set_name(reader.requiredText("name"));
        route.set_model(reader.text("model"));
        route.set_path(reader.text("path"));
        for (auto& target : reader.texts("targets"))
            route.add_targets(std::move(target));
        route.set_idempotent(reader.flag("idempotent", true));
        route.set_prefer(reader.choice("prefer", { "latency", "reuse" }, 0) ? pb::REUSE : pb::LATENCY);
        route.set_deadline_ms(static_cast<uint32_t>(reader.duration("deadline", std::chrono::seconds(60)).count()));
        route.set_priority(reader.text("priority"));
        return route;
    }

    class Loader {
    public:
        void readFile(const std::filesystem::path& path)
        {
            try {
                for (const auto& node : YAML::LoadAllFromFile(path.string())) {
                    if (!node.IsNull())
                        this->readObject(path.string(), node);
                }
            } catch (const YAML::Exception& failure) {
                this->loaded.problems.push_back({ { path.string(), failure.mark.line + 1 }, failure.msg });
            }
        }

        LoadedObjects checkedResult()
        {
            if (this->loaded.problems.empty())
                this->loaded.problems = checkObjects(this->loaded.set);
            return std::move(this->loaded);
        }

    private:
        void readObject(const std::string& file, const YAML::Node& node)
        {
            static const std::vector<std::string> kinds { "organisation", "model", "priority", "dataCentre", "target",
                "route" };
            auto& objects = this->loaded.set.objects;
            MapReader reader(file, node, this->loaded.problems);
            const auto kind = reader.requiredText("kind");
            if (kind == "organisation")
                this->addObject(kind, reader, *objects.add_organisations() = readOrganisation(reader));
            else if (kind == "model")
                this->addObject(kind, reader, *objects.add_models() = readModel(reader));
            else if (kind == "priority")
                this->addObject(kind, reader, *objects.add_priorities() = readPriority(reader));
            else if (kind == "dataCentre")
                this->addObject(kind, reader, *objects.add_data_centres() = readDataCentre(reader));
            else if (kind == "target")
                this->addObject(kind, reader, *objects.add_targets() = readTarget(reader));
            else if (kind == "route")
                this->addObject(kind, reader, *objects.add_routes() = readRoute(reader));
            else
                reader.choice("kind", kinds, 0); // reports the unknown kind
        }

        template <typename Object> void addObject(const std::string& kind, MapReader& reader, const Object& object)
        {
            reader.reportUnknownFields();
            const auto [previous, isNew]
                = this->loaded.set.locations.emplace(kind + "/" + object.name(), reader.locationOf("name"));
            if (!isNew)
                reader.addProblem("name",
                    "there is already a " + kind + " called '" + object.name() + "' at " + previous->second.file + ":"
                        + std::to_string(previous->second.line));
        }

        LoadedObjects loaded;
    };

    /// Validates a set of objects and collects all problems.
    class Checker {
    public:
        explicit Checker(const ObjectSet& set)
            : set(set)
        {
        }

        std::vector<Problem> run()
        {
            for (const auto& organisation : this->set.objects.organisations())
                this->check(organisation);
            this->checkLimitShares();
            for (const auto& target : this->set.objects.targets())
                this->check(target);
            for (const auto& route : this->set.objects.routes())
                this->check(route);
            return std::move(this->problems);
        }

    private:
        void check(const pb::Organisation& organisation)
        {
            const auto object = "organisation/" + organisation.name();
            this->requireObject(object, "priority", organisation.priority());
            if (!organisation.key_hashes_size())
                this->addProblem(object, "keyHashes: at least one SHA-256 hash of an API key is required");
            for (const auto& hash : organisation.key_hashes()) {
                const bool isHex = hash.find_first_not_of("0123456789abcdef") == std::string::npos;
                if (hash.size() != 64 || !isHex)
                    this->addProblem(object, "keyHashes: expected 64 lower-case hexadecimal digits");
                const auto [owner, isNew] = this->keyOwners.emplace(hash, organisation.name());
                if (!isNew)
                    this->addProblem(
                        object, "keyHashes: organisation '" + owner->second + "' already has this key hash");
            }
        }

        void checkLimitShares()
        {
            uint32_t total = 0;
            for (const auto& dataCentre : this->set.objects.data_centres()) {
                total += dataCentre.limit_share_percent();
                if (total > 100)
                    this->addProblem("dataCentre/" + dataCentre.name(),
                        "limitSharePercent: the shares of all data centres sum up to " + std::to_string(total)
                            + "; expected at most 100");
            }
        }

        void check(const pb::Target& target)
        {
            const auto object = "target/" + target.name();
            for (const auto& model : target.serves())
                this->requireObject(object, "model", model);
            if (target.protocol() == pb::ENGINE && !target.serves_size())
                this->addProblem(object, "serves: an engine requires at least one model");
            if (target.protocol() == pb::SERVICE && target.serves_size())
                this->addProblem(object, "serves: a plain service serves no models");
            this->requireObject(object, "dataCentre", target.data_centre());
        }

        void check(const pb::Route& route)
        {
            const auto object = "route/" + route.name();
            if (route.model().empty() == route.path().empty())
                this->addProblem(object, "exactly one of model and path is required");
            if (!route.model().empty())
                this->requireObject(object, "model", route.model());
            if (!route.path().empty() && route.path().front() != '/')
                this->addProblem(object, "path: expected to start with /");
            if (!route.priority().empty())
                this->requireObject(object, "priority", route.priority());
            if (!route.deadline_ms())
                this->addProblem(object, "deadline: expected at least 1ms");
            for (const auto& target : route.targets())
                this->requireObject(object, "target", target);
            this->checkTargetsOf(route);
        }

        void checkTargetsOf(const pb::Route& route)
        {
            const auto object = "route/" + route.name();
            if (!route.path().empty() && !route.targets_size()) {
                this->addProblem(object, "targets: a route by path requires at least one target");
                return;
            }
            const auto expected = route.model().empty() ? pb::SERVICE : pb::ENGINE;
            for (const auto& target : this->set.objects.targets()) {
                const bool isNamed = std::count(route.targets().begin(), route.targets().end(), target.name());
                if (isNamed && target.protocol() != expected)
                    this->addProblem(object, "targets: '" + target.name() + "' has the wrong protocol");
                const bool serves = std::count(target.serves().begin(), target.serves().end(), route.model());
                if (isNamed && expected == pb::ENGINE && !serves)
                    this->addProblem(object, "targets: '" + target.name() + "' does not serve '" + route.model() + "'");
            }
        }

        void requireObject(const std::string& object, const std::string& kind, const std::string& name)
        {
            if (!this->set.locations.contains(kind + "/" + name))
                this->addProblem(object, kind + ": there is no " + kind + " called '" + name + "'");
        }

        void addProblem(const std::string& object, const std::string& message)
        {
            const auto found = this->set.locations.find(object);
            const auto where = found == this->set.locations.end() ? Location {} : found->second;
            this->problems.push_back({ where, object + ": " + message });
        }

        const ObjectSet& set;
        std::map<std::string, std::string> keyOwners;
        std::vector<Problem> problems;
    };

}

LoadedObjects loadObjects(const std::filesystem::path& directory)
{
    Loader loader;
    std::vector<std::filesystem::path> files;
    std::error_code failure;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(directory, failure)) {
        if (entry.path().extension() == ".yaml")
            files.push_back(entry.path());
    }
    std::sort(files.begin(), files.end());
    for (const auto& file : files)
        loader.readFile(file);
    auto loaded = loader.checkedResult();
    if (files.empty())
        loaded.problems.push_back({ { directory.string(), 0 }, "no *.yaml files found" });
    return loaded;
}

std::vector<Problem> checkObjects(const ObjectSet& set)
{
    return Checker(set).run();
}

}
