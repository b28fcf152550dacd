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
};

/// Ids of the engines that should be ordered to load @p wantedVersion now, in order of preference.
///
/// At most @p maxShare (0 to 1) of @p engines load at the same time, rounded, but at least one. They are distributed
/// over data centres, so that none loses all its engines at once.
std::vector<std::string> chooseNextLoads(std::span<const EngineState> engines, uint64_t wantedVersion, double maxShare);

}
