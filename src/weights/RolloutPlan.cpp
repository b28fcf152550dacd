#include "weights/RolloutPlan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace dragonfly::weights {

std::vector<std::string> chooseNextLoads(std::span<const EngineState> engines, uint64_t wanted, double share)
{
    std::map<std::string, size_t> loadingIn; // by data centre
    std::map<std::string, size_t> doneIn;
    size_t loading = 0;
    std::vector<const EngineState*> waiting;
    for (const auto& engine : engines) {
        loading += engine.isLoading;
        loadingIn[engine.dataCentre] += engine.isLoading;
        doneIn[engine.dataCentre] += engine.version >= wanted;
        if (engine.version < wanted && !engine.isLoading)
            waiting.push_back(&engine);
    }
    const auto most
        = std::max<size_t>(1, static_cast<size_t>(std::lround(share * static_cast<double>(engines.size()))));
    std::vector<std::string> chosen;
    while (loading < most && !waiting.empty()) {
        const auto rank = [&](const EngineState* engine) {
            // The oldest weights have the nearest time limit.
            return std::tuple(
                engine->version, loadingIn[engine->dataCentre], doneIn[engine->dataCentre], engine->inFlight);
        };
        const auto best = std::min_element(waiting.begin(), waiting.end(),
            [&](const EngineState* a, const EngineState* b) { return rank(a) < rank(b); });
        chosen.push_back((*best)->targetId);
        ++loadingIn[(*best)->dataCentre];
        ++loading;
        waiting.erase(best);
    }
    return chosen;
}

}
