#pragma once
// A published configuration of routes, services and organisations, as plain values.

#include "base/Base.h"

#include <optional>
#include <string>
#include <vector>

namespace dragonfly::directory {

/// Whether a request may be retried after a failure.
enum class RequestKind {
    Idempotent, ///< may run any number of times
    NonIdempotent, ///< runs at most once
    Streaming, ///< answered as a stream of events; runs at most once unless its route is resumable
};

/// The share of a route's traffic that goes to one service.
struct ServiceShare {
    std::string service;
    uint32_t weight = 1; ///< relative to the weights of the route's other shares
};

struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    std::vector<ServiceShare> shares;
    RequestKind kind = RequestKind::NonIdempotent;
    std::chrono::milliseconds timeout { 0 }; ///< by then the caller has received the final answer
    std::chrono::milliseconds targetLatency { 0 }; ///< an answer within this time counts as on time
    std::optional<std::chrono::milliseconds> maxEventGap; ///< between two events of a stream that counts as on time
    uint32_t priority = 0; ///< 0 is the highest
    uint32_t maxTargets = 1; ///< targets that one request may be sent to; attempts that did not run don't count
    bool isAnonymous = false; ///< requests need no API key
    bool isResumable = false; ///< an interrupted stream may continue at another target
    bool describesPrompt = false; ///< requests describe the parts of their prompt, for cache-aware routing

    bool isResumableStream() const
    {
        return this->kind == RequestKind::Streaming && this->isResumable;
    }
};

/// Properties that all engines of a service share.
struct EnginePool {
    uint32_t slots = 0; ///< maximum number of requests in one batch
    uint64_t cacheTokens = 0; ///< KV cache of one engine, in tokens, for running requests and cached prefixes
    uint32_t cacheTokenBytes = 0; ///< size of one token in the KV cache
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
    uint32_t maxConnections = 0; ///< limit of one target over all instances; 0: unknown
    std::optional<EnginePool> engines; ///< set if the service consists of model engines
    std::optional<CacheStore> cacheStore; ///< set if the service is a store of KV cache, which serves no requests
};

struct Organisation {
    std::string name;
    std::vector<std::string> apiKeys;
    std::optional<uint32_t> priority; ///< overrides the priority of the route
    bool isIsolated = false; ///< shares no cached prefixes with other organisations
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits {
    uint32_t headerBytes = 16u << 10;
    size_t bodyBytes = 4u << 20;
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

struct Deployment {
    uint64_t version = 0; ///< increases with each publication
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Organisation> organisations; ///< empty: no request needs a key
    CallerLimits limits;
    /// Names of the fields with a number that cannot be held, for which the nearest one or a default stands.
    std::vector<std::string> replacedNumbers;
};

}
