#include "weights/RolloutPlan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace dragonfly::weights {

namespace {

    /// Upper bound of the engines that load at the same time, because the others have to serve all requests.
    constexpr double maxLoadingShare = 0.4;
    /// The same with engines whose orders are pending: even if all of these are carried out at the same moment, the
    /// others serve.
    constexpr double maxPendingShare = 0.7;

    /// Engines that have to load at the same time, each for @p loadTime, to complete the rollout in time.
    double neededLoads(double engines, std::chrono::milliseconds loadTime, std::chrono::milliseconds timeToComplete)
    {
        if (timeToComplete.count() <= 0)
            return 0;
        const auto rounds = std::chrono::duration<double>(timeToComplete) / loadTime;
        return engines / std::max(rounds, 1.0);
    }

}

size_t maxParallelLoads(size_t engines, const RolloutPace& pace)
{
    const auto total = static_cast<double>(engines);
    const auto needed = std::min(neededLoads(total, pace.loadTime, pace.timeToComplete), maxLoadingShare * total);
    return std::max<size_t>(1, static_cast<size_t>(std::lround(std::max(pace.share * total, needed))));
}

size_t maxPendingOrders(size_t engines, const RolloutPace& pace, std::chrono::milliseconds pendingFor)
{
    const auto total = static_cast<double>(engines);
    // An order that has been pending for some time is expected to stay so for as long again.
    const auto expectedTime = std::max(pace.loadTime, 2 * pendingFor);
    const auto needed = std::min(neededLoads(total, expectedTime, pace.timeToComplete), maxPendingShare * total);
    return std::max(maxParallelLoads(engines, pace), static_cast<size_t>(std::lround(needed)));
}

std::vector<std::string> chooseNextLoads(
    std::span<const EngineState> engines, uint64_t wantedVersion, size_t maxLoading, size_t maxPending)
{
    std::map<std::string, size_t> loadingByDataCentre;
    std::map<std::string, size_t> updatedByDataCentre;
    size_t loading = 0;
    size_t pending = 0;
    std::vector<const EngineState*> waiting;
    for (const auto& engine : engines) {
        loading += engine.isLoading && !engine.isOrderPending;
        pending += engine.isLoading && engine.isOrderPending;
        loadingByDataCentre[engine.dataCentre] += engine.isLoading;
        updatedByDataCentre[engine.dataCentre] += engine.version >= wantedVersion;
        if (engine.version < wantedVersion && !engine.isLoading)
            waiting.push_back(&engine);
    }
    std::vector<std::string> chosen;
    while (loading < maxLoading && loading + pending < std::max(maxLoading, maxPending) && !waiting.empty()) {
        const auto rank = [&](const EngineState* engine) {
            // Replaced weights may answer only for a limited time, which ends first for the oldest.
            return std::tuple(engine->failures, engine->version, loadingByDataCentre[engine->dataCentre],
                updatedByDataCentre[engine->dataCentre], engine->inFlight);
        };
        const auto best = std::min_element(waiting.begin(), waiting.end(),
            [&](const EngineState* a, const EngineState* b) { return rank(a) < rank(b); });
        chosen.push_back((*best)->targetId);
        ++loadingByDataCentre[(*best)->dataCentre];
        ++loading;
        waiting.erase(best);
    }
    return chosen;
}

}
