#include "directory/RouteTable.h"

#include <algorithm>

namespace dragonfly::directory {

namespace {

    std::string commonScopeOf(const std::vector<Organisation>& organisations)
    {
        std::set<std::string> isolated; // of digests, so that no name can be taken for several
        for (const auto& organisation : organisations) {
            if (organisation.isIsolated)
                isolated.insert(sha256(organisation.name));
        }
        if (isolated.empty())
            return "shared";
        std::string digests;
        for (const auto& digest : isolated)
            digests += digest;
        return "shared without:" + toHex(sha256(digests));
    }

}

RouteTable::RouteTable(Deployment source)
    : deployment(std::move(source))
{
    for (const auto& route : this->deployment.routes)
        this->routesByHost[route.host].push_back(&route);
    for (auto& [host, routes] : this->routesByHost) {
        std::stable_sort(routes.begin(), routes.end(),
            [](const Route* a, const Route* b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    }
    for (const auto& organisation : this->deployment.organisations) {
        // Keyed by digest, so that the duration of a look-up reveals nothing about the keys.
        for (const auto& key : organisation.apiKeys)
            this->organisationsByKeyHash[sha256(key)] = &organisation;
        this->organisationsByName[organisation.name] = &organisation;
    }
    this->commonCacheScope = commonScopeOf(this->deployment.organisations);
    for (const auto& service : this->deployment.services) {
        this->servicesByName[service.name] = &service;
        if (service.engines)
            this->engineServices.insert(service.name);
    }
    for (const auto& route : this->deployment.routes) {
        for (const auto& share : route.shares) {
            this->routedServices.insert(share.service);
            if (!this->findService(share.service))
                this->engineServices.insert(share.service);
        }
        if (!route.isResumableStream())
            continue;
        this->longestTimeout = std::max(this->longestTimeout, route.timeout);
        for (const auto& share : route.shares)
            this->servicesOfResumableRoutes.insert(share.service);
    }
}

const Route* RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = this->routesByHost.find(std::string(host));
    if (found == this->routesByHost.end())
        return nullptr;
    for (const auto* route : found->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

const Organisation* RouteTable::findOrganisation(std::string_view apiKey) const
{
    const auto found = this->organisationsByKeyHash.find(sha256(apiKey));
    return found == this->organisationsByKeyHash.end() ? nullptr : found->second;
}

std::string RouteTable::cacheScopeOf(const Organisation* organisation) const
{
    if (!organisation)
        return this->commonCacheScope;
    // A request may be older than this table, and its organisation may have been removed since.
    const auto found = this->organisationsByName.find(organisation->name);
    const auto& current = found == this->organisationsByName.end() ? *organisation : *found->second;
    return current.isIsolated ? "organisation:" + current.name : this->commonCacheScope;
}

const Service* RouteTable::findService(std::string_view name) const
{
    const auto found = this->servicesByName.find(std::string(name));
    return found == this->servicesByName.end() ? nullptr : found->second;
}

}
