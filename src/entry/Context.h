#pragma once
// What the request path of one instance shares between its threads.

#include "claims/Claims.h"
#include "entry/ExplainLog.h"
#include "entry/RetryBudget.h"
#include "entry/ViewHolder.h"
#include "http/Http.h"
#include "observe/Observe.h"
#include "routing/Routing.h"

namespace dragonfly::entry {

struct RequestLimits {
    std::chrono::milliseconds progressTime { 5000 }; ///< longest silence of a target before it counts as lost
    std::chrono::milliseconds connectTime { 500 };
    uint32_t mostAttempts = 4;
    size_t answerBytes = 16u << 20; ///< largest answer of a service
    size_t slowCallerBytes = 256u << 10; ///< waiting bytes at which the target is asked to pause
};

/// Told of a target that said it is leaving, so that the word can be spread. From any thread.
using LeavingObserver = std::function<void(const std::string& target)>;

struct Context {
    std::string instance;
    routing::Place place;
    routing::Policy policy;
    RequestLimits limits;
    double traceSample = 0;

    ViewHolder& views;
    routing::PrefixIndex& prefixes;
    routing::PreferredHitRate& homeTrust;
    routing::PlacementQueue& placements;
    RetryBudget& retries;
    ExplainLog& explanations;
    observe::Metrics& metrics;
    observe::SpanExporter& spans;
    claims::ClaimLedger& ledger; ///< lives in the control thread; reach it through its event loop
    LeavingObserver onLeaving;
    std::atomic<int> activeRequests { 0 };
};

/// The event loop objects of one worker thread.
struct WorkerScope {
    Context& shared;
    http::ClientPool& targets;
    QObject& loop; ///< receives calls from other threads
};

}
