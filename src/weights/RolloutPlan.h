#pragma once
// Selects the engines that load the wanted weights next, as a pure function.

#include "base/Base.h"

#include <span>
#include <string>
#include <vector>

namespace dragonfly::weights {

/// One engine that runs the model.
struct EngineState {
    std::string targetId;
    std::string dataCentre;
    uint64_t version = 0; ///< version of the weights that the engine runs
    bool isLoading = false; ///< an order was sent and its completion has not been seen
    uint32_t inFlight = 0; ///< requests that this instance has in flight at the engine
    /// Its orders got no answer and it reports that it carries out none: it serves, but may begin to load at any time.
    /// Such an engine counts as loading, too.
    bool isOrderPending = false;
    uint32_t failures = 0; ///< loads that it did not complete
};

/// What decides how many engines load at the same time.
struct RolloutPace {
    double share = 0; ///< share of the engines that may always load at the same time, 0 to 1
    std::chrono::milliseconds loadTime { 0 }; ///< from an order until the engine answers with the new weights
    std::chrono::milliseconds timeToComplete { 0 }; ///< from the first order until no replaced weights may answer
};

/// How many of @p engines may load at the same time: the configured share, or as many as it takes to complete the
/// rollout before replaced weights may no longer answer. An engine finishes its running requests before it loads, so
/// engines with short loads and long requests need more than a fixed share. At least one; at most a bounded part of the
/// engines, because the others have to serve.
size_t maxParallelLoads(size_t engines, const RolloutPace& pace);

/// How many of @p engines may load or have a pending order at the same time. Engines with pending orders serve, so they
/// may be more than those that load, as many as it takes to complete the rollout in time.
/// @param pendingFor age of the oldest pending order
size_t maxPendingOrders(size_t engines, const RolloutPace& pace, std::chrono::milliseconds pendingFor);

/// Ids of the engines that should be ordered to load @p wantedVersion now, in order of preference.
///
/// At most @p maxLoading of @p engines load at the same time; with those that have a pending order, at most
/// @p maxPending if that is more. They are distributed over data centres, so that none loses all its engines at once.
std::vector<std::string> chooseNextLoads(
    std::span<const EngineState> engines, uint64_t wantedVersion, size_t maxLoading, size_t maxPending = 0);

}
