#pragma once
// One configuration, prepared for the request path. A view is immutable; each new configuration gets a new view.

#include "config/Publication.h"
#include "routing/TargetState.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace dragonfly::routing {

/// Location of an instance or target.
struct Place {
    std::string region;
    std::string dataCentre;
};

struct Target {
    std::string name;
    Endpoint endpoint;
    Place place;
    pb::TargetProtocol protocol;
    std::shared_ptr<TargetState> state;
};

struct OrganisationState {
    std::atomic<Clock::rep> nextArrival {
        0
    }; ///< due time of the next request under the rate limit of entry/Admission.h
    std::atomic<uint32_t> inFlight { 0 };
};

struct Organisation {
    std::string name;
    std::string cacheScope;
    uint32_t priorityLevel = 0;
    uint32_t requestsPerSecond = 0; ///< limit over all instances; 0: no limit
    uint32_t concurrentRequests = 0; ///< limit over all instances; 0: no limit
    std::shared_ptr<OrganisationState> state;
};

struct Model {
    std::string name;
    std::string weights;
    uint64_t weightsHash = 0;
    uint32_t contextTokens = 0;
};

struct Route {
    std::string name;
    std::string path;
    uint32_t model = 0; ///< index into View::models; unused in a route by path
    std::vector<uint32_t> targets; ///< indices into View::targets
    bool idempotent = true;
    pb::RoutePreference prefer = pb::LATENCY;
    std::chrono::milliseconds deadline { 0 };
    int priorityLevel = -1; ///< -1: the organisation's level applies
};

/// Fraction of each limit that one instance may grant without coordination with others.
struct LimitShare {
    double ofFleet = 1; ///< 0 to 1
};

struct View {
    uint64_t revision = 0;
    std::string manifestDigest;
    std::vector<Target> targets;
    std::vector<Model> models;
    std::vector<Organisation> organisations;
    std::vector<Route> routes;
    std::unordered_map<std::string, uint32_t> organisationByKeyHash;
    std::unordered_map<std::string, uint32_t> routeByModel;
    std::vector<uint32_t> routesByPath; ///< longest path first
    LimitShare share;
};

using ViewPointer = std::shared_ptr<const View>;

/// States that successive views share, by name and address of a target and by name of an organisation.
class StateRegistry {
public:
    std::shared_ptr<TargetState> target(const std::string& name, const std::string& address);
    std::shared_ptr<OrganisationState> organisation(const std::string& name);
    /// Removes the states that no view refers to any more.
    void removeUnused();

private:
    std::unordered_map<std::string, std::shared_ptr<TargetState>> targets;
    std::unordered_map<std::string, std::shared_ptr<OrganisationState>> organisations;
};

/// Builds the view of an instance at @p place from validated configuration objects.
ViewPointer buildView(const pb::ConfigPart& objects, uint64_t revision, const std::string& manifestDigest,
    const Place& place, StateRegistry& registry);

/// The route with the longest path that @p path starts with, or null.
const Route* findRouteByPath(const View& view, std::string_view path);

}
