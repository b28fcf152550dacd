#pragma once
// The settings of one instance, read from a YAML file and checked whole.

#include "claims/Claims.h"
#include "config/YamlReader.h"
#include "entry/Context.h"
#include "forward/ForwardContext.h"
#include "weights/LeaderLease.h"

namespace dragonfly::daemon {

/// What callers speak with an instance.
enum class Interface {
    Completions, ///< the product's own: models and services by path, objects published with dragonflyctl
    Forwarding, ///< requests that describe themselves and are passed on as they came
};

/// Settings of an instance that forwards.
struct ForwardingSettings {
    forward::ForwardSettings requests;
    std::chrono::milliseconds proofValidity { 0 }; ///< how long a proof that the configuration is the newest holds
    weights::LeaderLeaseTimings orderRole;
    double parallelLoads = 0; ///< share of a model's engines that load weights at the same time
};

struct Settings {
    std::string file; ///< where these settings were read
    Interface interface = Interface::Completions;
    std::string instance;
    routing::Place place;
    Endpoint listen; ///< for callers
    Endpoint admin; ///< for operators: /ready, /status, /explain/ID
    Endpoint metrics;
    Endpoint peers;
    std::optional<Endpoint> peersAdvertised; ///< where peers reach this instance, when it is not where it listens
    uint32_t capacity = 0; ///< processor time that the instance has, in thousandths of a core; 0: not known
    std::vector<Endpoint> seeds;
    std::vector<Endpoint> platform;
    uint64_t threads = 4;
    http::ServerLimits server;
    entry::RequestLimits requests;
    routing::Policy policy;
    size_t prefixSlots = 0;
    uint64_t placementBytesPerSecond = 0; ///< for telling peers of placements
    claims::LedgerLimits claims;
    uint32_t claimWritesPerSecond = 0;
    std::optional<Endpoint> traceCollector;
    double traceSample = 0;
    std::chrono::milliseconds drainNotice { 0 }; ///< still taking new work, while the balancer takes notice
    std::chrono::milliseconds drainTime { 0 }; ///< then at most this long for requests under way
    ForwardingSettings forwarding;
};

struct LoadedSettings {
    Settings settings;
    std::vector<config::Problem> problems; ///< empty when the settings may be used
};

LoadedSettings loadSettings(const std::string& file);

}
