#pragma once
// A published configuration of routes, services and organisations, as plain values.

#include "base/Base.h"

#include <optional>
#include <string>
#include <vector>

namespace dragonfly::directory {

/// What may be done with a request that has failed on the way.
enum class RequestKind {
    Idempotent, ///< may run any number of times
    NonIdempotent, ///< runs at most once
    Streaming, ///< answered event by event; runs at most once unless its route is resumable
};

/// Part of a route's traffic that goes to one service.
struct ServiceShare {
    std::string service;
    uint32_t weight = 1; ///< relative to the route's other shares
};

struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    std::vector<ServiceShare> shares;
    RequestKind kind = RequestKind::NonIdempotent;
    std::chrono::milliseconds timeout { 0 }; ///< after this a request gets its final answer
    std::chrono::milliseconds targetLatency { 0 }; ///< an answer within it is on time
    std::optional<std::chrono::milliseconds> longestPause; ///< between events of a stream that is on time
    uint32_t priority = 0; ///< 0 is first
    uint32_t mostTargets = 1; ///< targets that one request may be sent to
    bool isAnonymous = false; ///< needs no API key
    bool isResumable = false; ///< a broken stream may go on at another target
    bool describesPrompt = false; ///< requests name the parts of their prompt
};

/// What the engines of a service have in common.
struct EnginePool {
    uint32_t slots = 0; ///< requests in one batch
    uint64_t cacheTokens = 0; ///< memory of one engine for running requests and cached prefixes
    uint32_t cacheTokenBytes = 0;
    std::vector<std::string> models;
};

/// A store of KV cache that engines save to and fetch from.
struct CacheStore {
    Endpoint endpoint;
    std::string dataCentre;
    uint64_t capacityTokens = 0;
};

struct Service {
    std::string name;
    uint32_t mostConnections = 0; ///< that one target accepts from all instances together; 0: not known
    std::optional<EnginePool> engines; ///< set for model engines
    std::optional<CacheStore> cacheStore; ///< set for a store of KV cache, which takes no requests
};

struct Organisation {
    std::string name;
    std::vector<std::string> apiKeys;
    std::optional<uint32_t> priority; ///< goes before the route's
    bool isIsolated = false; ///< shares no cached prefix with others
};

/// What callers may send, and how long they may take.
struct CallerLimits {
    uint32_t headerBytes = 16u << 10;
    size_t bodyBytes = 4u << 20;
    std::chrono::milliseconds headerTime { 3000 };
    std::chrono::milliseconds idleTime { 15000 };
};

struct Deployment {
    uint64_t version = 0; ///< grows with each publication
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Organisation> organisations; ///< empty: no request needs a key
    CallerLimits limits;
};

}
