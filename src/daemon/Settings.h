#pragma once
// The settings of an instance, read from a YAML file. A file with any problem is rejected as a whole.

#include "claims/Claims.h"
#include "config/YamlReader.h"
#include "daemon/DrainSchedule.h"
#include "entry/Context.h"
#include "forward/ForwardContext.h"
#include "streams/StreamOrigins.h"
#include "weights/LeaderLease.h"

namespace dragonfly::daemon {

/// The interface that an instance offers to callers.
enum class Interface {
    Completions, ///< the product's own API: models and services by path, objects published with dragonflyctl
    Forwarding, ///< requests whose headers describe them; forwarded unchanged
};

/// Settings of an instance with the forwarding interface.
struct ForwardingSettings {
    forward::ForwardSettings requests;
    std::chrono::milliseconds proofValidity { 0 }; ///< time to live of a freshness proof
    weights::LeaderLeaseTimings leaderLease;
    streams::OriginSettings origins;
    std::chrono::milliseconds lateResumption { 0 }; ///< as in directory::Directory
    double parallelLoads = 0; ///< maximum share of a model's engines that load weights at the same time, 0 to 1
};

struct Settings {
    std::string file; ///< path of the file that the settings were read from
    Interface interface = Interface::Completions;
    std::string instance;
    routing::Place place;
    Endpoint listen; ///< for callers
    Endpoint admin; ///< for operators: /ready, /status, /explain/ID
    Endpoint metrics;
    Endpoint peers;
    Endpoint tunnels; ///< where peers ask for tunnels to targets
    std::optional<Endpoint> peersAdvertised; ///< where peers reach this instance, if it differs from `peers`
    uint64_t memory = 0; ///< bytes that the instance may use
    uint32_t capacity = 0; ///< processor time available to the instance, in thousandths of a core; 0 if unknown
    std::vector<Endpoint> seeds;
    std::vector<Endpoint> platform;
    uint64_t threads = 4;
    http::ServerLimits server;
    entry::RequestLimits requests;
    routing::Policy policy;
    size_t prefixSlots = 0;
    uint64_t placementBytesPerSecond = 0; ///< bandwidth limit for sending placements to peers
    claims::LedgerLimits claims;
    uint32_t claimWritesPerSecond = 0;
    std::optional<Endpoint> traceCollector;
    double traceSampleRate = 0; ///< share of requests that are traced, 0 to 1
    DrainTimings drain;
    ForwardingSettings forwarding;
};

struct LoadedSettings {
    Settings settings;
    std::vector<config::Problem> problems; ///< empty if the settings are valid
};

LoadedSettings loadSettings(const std::string& file);

}
