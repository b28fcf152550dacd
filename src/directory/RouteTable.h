#pragma once
// An immutable index of one deployment for looking up routes, organisations and services.

#include "directory/Deployment.h"

#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>

namespace dragonfly::directory {

class RouteTable {
public:
    explicit RouteTable(Deployment deployment);

    uint64_t version() const
    {
        return this->deployment.version;
    }
    const CallerLimits& limits() const
    {
        return this->deployment.limits;
    }
    const std::vector<Service>& services() const
    {
        return this->deployment.services;
    }

    /// The route of @p host with the longest path prefix that matches @p path, or null.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    /// The organisation that owns @p apiKey, or null.
    const Organisation* findOrganisation(std::string_view apiKey) const;
    const Service* findService(std::string_view name) const;
    /// Whether any route leads to @p service.
    bool isRouted(std::string_view service) const
    {
        return this->routedServices.contains(service);
    }
    /// Whether targets of @p service are engines: the configuration describes its engines, or a route leads to it and
    /// nothing describes it.
    bool runsModels(std::string_view service) const
    {
        return this->engineServices.contains(service);
    }
    /// Name of the scope within which the requests of @p organisation share cached prefixes; null: anonymous requests.
    ///
    /// The common scope has another name for each set of isolated organisations. What an organisation left in it before
    /// it was isolated is then out of reach of the others, and a name stands for prefixes of organisations that are not
    /// isolated while it is in use, in whatever order configurations come.
    std::string cacheScopeOf(const Organisation* organisation) const;
    /// Longest timeout of the routes with resumable streams; 0 if there is none.
    std::chrono::milliseconds longestResumableTimeout() const
    {
        return this->longestTimeout;
    }
    /// Names of the services to which routes with resumable streams lead.
    const std::set<std::string>& resumableServices() const
    {
        return this->servicesOfResumableRoutes;
    }
    /// Whether requests need an API key at all.
    bool needsKeys() const
    {
        return !this->deployment.organisations.empty();
    }

private:
    Deployment deployment;
    std::unordered_map<std::string, std::vector<const Route*>> routesByHost; ///< longest prefix first
    std::unordered_map<std::string, const Organisation*> organisationsByKeyHash;
    std::unordered_map<std::string, const Organisation*> organisationsByName;
    std::string commonCacheScope; ///< depends on the names of the isolated organisations only
    std::unordered_map<std::string, const Service*> servicesByName;
    std::set<std::string> servicesOfResumableRoutes;
    std::set<std::string, std::less<>> routedServices;
    std::set<std::string, std::less<>> engineServices;
    std::chrono::milliseconds longestTimeout { 0 }; ///< of the resumable routes
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

}
