#pragma once
// State of the request path that all worker threads of one instance share.

#include "claims/Claims.h"
#include "entry/ExplainLog.h"
#include "entry/RetryBudget.h"
#include "entry/ViewHolder.h"
#include "http/Http.h"
#include "observe/Observe.h"
#include "routing/Routing.h"

#include <functional>
#include <optional>
#include <unordered_map>

namespace dragonfly::entry {

struct RequestLimits {
    /// A target that sends nothing for this long counts as lost if another attempt may be made.
    std::chrono::milliseconds progressTimeout { 5000 };
    std::chrono::milliseconds connectTimeout { 500 };
    uint32_t maxAttempts = 4;
    size_t maxAnswerBytes = 16u << 20; ///< maximum size of a plain service's answer
    size_t maxUnsentBytes = 256u << 10; ///< above this many unsent bytes to the caller, reading from the target pauses
};

/// Called when a target reports that it is leaving, so that peers can be notified. Called from any thread.
using LeavingObserver = std::function<void(const std::string& target)>;

struct Context {
    std::string instance;
    routing::Place place;
    routing::Policy policy;
    RequestLimits limits;
    double traceSampleRate = 0; ///< share of requests that are traced although the caller did not request it

    ViewHolder& views;
    routing::PrefixIndex& prefixes;
    routing::PreferredHitRate& preferredHitRate;
    routing::PlacementQueue& placements;
    RetryBudget& retries;
    ExplainLog& explanations;
    observe::Metrics& metrics;
    observe::SpanExporter& spans;
    claims::ClaimLedger& ledger; ///< belongs to the control thread; call it through that thread's event loop
    LeavingObserver onTargetLeaving;
    std::atomic<int> activeRequests { 0 };
};

/// Retry-After of a request that was not sent because the instance stops. Short, because the retry reaches another
/// instance.
inline constexpr std::chrono::milliseconds retryAfterStop { 50 };

/// The objects that belong to one worker thread.
struct WorkerScope {
    Context& shared;
    http::ClientPool& targets;
    QObject& loop; ///< context object for timers and for calls queued by other threads
    /// Ends each call that has not ended, because the instance stops.
    std::unordered_map<const void*, std::function<void()>> openCalls = {};
    std::optional<BootClock::time_point> stopAt = {}; ///< set once a planned stop was ordered: openCalls end then
    bool isStopping = false; ///< nothing is sent to targets any more
};

}
