#include "weights/RolloutPlan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace dragonfly::weights {

namespace {

    /// Upper bound of the engines that load at the same time, because the others have to serve all requests.
    constexpr double maxLoadingShare = 0.4;

}

size_t maxParallelLoads(size_t engines, const RolloutPace& pace)
{
    const auto total = static_cast<double>(engines);
    auto needed = pace.share * total;
    if (pace.timeToComplete.count() > 0) {
        const auto rounds = std::chrono::duration<double>(pace.timeToComplete) / pace.loadTime;
        needed = std::max(needed, std::min(total / std::max(rounds, 1.0), maxLoadingShare * total));
    }
    return std::max<size_t>(1, static_cast<size_t>(std::lround(needed)));
}

std::vector<std::string> chooseNextLoads(
    std::span<const EngineState> engines, uint64_t wantedVersion, size_t maxLoading)
{
    std::map<std::string, size_t> loadingByDataCentre;
    std::map<std::string, size_t> updatedByDataCentre;
    size_t loading = 0;
    std::vector<const EngineState*> waiting;
    for (const auto& engine : engines) {
        loading += engine.isLoading;
        loadingByDataCentre[engine.dataCentre] += engine.isLoading;
        updatedByDataCentre[engine.dataCentre] += engine.version >= wantedVersion;
        if (engine.version < wantedVersion && !engine.isLoading)
            waiting.push_back(&engine);
    }
    std::vector<std::string> chosen;
    while (loading < maxLoading && !waiting.empty()) {
        const auto rank = [&](const EngineState* engine) {
            // Replaced weights may answer only for a limited time, which ends first for the oldest.
            return std::tuple(engine->version, loadingByDataCentre[engine->dataCentre],
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
