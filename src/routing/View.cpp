#include "routing/View.h"

#include <algorithm>

namespace dragonfly::routing {

namespace {

    class Builder {
    public:
        Builder(const pb::ConfigPart& objects, StateRegistry& registry, View& view)
            : objects(objects)
            , registry(registry)
            , view(view)
        {
        }

        void build(const Place& place)
        {
            for (const auto& priority : this->objects.priorities())
                this->priorityLevels[priority.name()] = priority.level();
            for (const auto& dataCentre : this->objects.data_centres())
                this->regions[dataCentre.name()] = dataCentre.region();
            for (const auto& model : this->objects.models())
                this->add(model);
            for (const auto& target : this->objects.targets())
                this->add(target);
            for (const auto& organisation : this->objects.organisations())
                this->add(organisation);
            for (const auto& route : this->objects.routes())
                this->add(route);
            this->sortPaths();
            this->view.share = this->limitShareAt(place);
        }

    private:
        void add(const pb::Model& model)
        {
            this->models[model.name()] = static_cast<uint32_t>(this->view.models.size());
            this->view.models.push_back(
                { model.name(), model.weights(), fastHash(model.weights()), model.context_tokens() });
        }

        void add(const pb::Target& target)
        {
            const auto index = static_cast<uint32_t>(this->view.targets.size());
            this->targets[target.name()] = index;
            for (const auto& model : target.serves())
                this->targetsByModel[model].push_back(index);
            this->view.targets.push_back({ target.name(), parseEndpoint(target.address()).value_or(Endpoint {}),
                { this->regions[target.data_centre()], target.data_centre() }, target.protocol(),
                this->registry.target(target.name(), target.address()) });
        }

        void add(const pb::Organisation& organisation)
        {
            const auto index = static_cast<uint32_t>(this->view.organisations.size());
            for (const auto& hash : organisation.key_hashes())
                this->view.organisationByKeyHash[hash] = index;
            this->view.organisations.push_back({ organisation.name(), organisation.cache_scope(),
                this->priorityLevels[organisation.priority()], organisation.requests_per_second(),
                organisation.concurrent_requests(), this->registry.organisation(organisation.name()) });
        }

        void add(const pb::Route& source)
        {
            const auto index = static_cast<uint32_t>(this->view.routes.size());
            Route route;
            route.name = source.name();
            route.path = source.path();
            route.idempotent = source.idempotent();
            route.prefer = source.prefer();
            route.deadline = std::chrono::milliseconds(source.deadline_ms());
            if (!source.priority().empty())
                route.priorityLevel = static_cast<int>(this->priorityLevels[source.priority()]);
            for (const auto& name : source.targets())
                route.targets.push_back(this->targets[name]);
            if (!source.model().empty()) {
                route.model = this->models[source.model()];
                this->view.routeByModel[source.model()] = index;
                if (route.targets.empty())
                    route.targets = this->targetsByModel[source.model()];
            } else {
                this->view.routesByPath.push_back(index);
            }
            this->view.routes.push_back(std::move(route));
        }

        void sortPaths()
        {
            std::sort(this->view.routesByPath.begin(), this->view.routesByPath.end(), [this](uint32_t a, uint32_t b) {
                return this->view.routes[a].path.size() > this->view.routes[b].path.size();
            });
        }

        LimitShare limitShareAt(const Place& place) const
        {
            for (const auto& dataCentre : this->objects.data_centres()) {
                if (dataCentre.name() == place.dataCentre)
                    return { dataCentre.limit_share_percent() / 100.0 / std::max(1u, dataCentre.instances()) };
            }
            return { 0 };
        }

        const pb::ConfigPart& objects;
        StateRegistry& registry;
        View& view;
        std::unordered_map<std::string, uint32_t> priorityLevels;
        std::unordered_map<std::string, std::string> regions;
        std::unordered_map<std::string, uint32_t> models;
        std::unordered_map<std::string, uint32_t> targets;
        std::unordered_map<std::string, std::vector<uint32_t>> targetsByModel;
    };

    /// The state under @p key, created if there is none.
    template <typename State>
    std::shared_ptr<State> findOrCreate(
        std::unordered_map<std::string, std::shared_ptr<State>>& states, const std::string& key)
    {
        auto& state = states[key];
        if (!state)
            state = std::make_shared<State>();
        return state;
    }

}

std::shared_ptr<TargetState> StateRegistry::target(const std::string& name, const std::string& address)
{
    return findOrCreate(this->targets, name + "@" + address);
}

std::shared_ptr<OrganisationState> StateRegistry::organisation(const std::string& name)
{
    return findOrCreate(this->organisations, name);
}

void StateRegistry::removeUnused()
{
    const auto isUnused = [](const auto& entry) { return entry.second.use_count() == 1; };
    std::erase_if(this->targets, isUnused);
    std::erase_if(this->organisations, isUnused);
}

ViewPointer buildView(const pb::ConfigPart& objects, uint64_t revision, const std::string& manifestDigest,
    const Place& place, StateRegistry& registry)
{
    auto view = std::make_shared<View>();
    view->revision = revision;
    view->manifestDigest = manifestDigest;
    Builder(objects, registry, *view).build(place);
    return view;
}

const Route* findRouteByPath(const View& view, std::string_view path)
{
    for (const auto index : view.routesByPath) {
        const auto& route = view.routes[index];
        if (path.starts_with(route.path))
            return &route;
    }
    return nullptr;
}

}
