#pragma once
// Which engines load the wanted weights next: plain values in, targets out.

#include "base/Base.h"

#include <span>
#include <string>
#include <vector>

namespace dragonfly::weights {

/// One engine that runs the model.
struct EngineState {
    std::string targetId;
    std::string dataCentre;
    uint64_t version = 0; ///< of the weights that it runs
    bool isLoading = false; ///< an order was given and its end has not been seen
    uint32_t inFlight = 0; ///< requests of this instance
};

/// Engines that should be ordered to load @p wanted now, the best first.
///
/// As many load at once as @p share of all engines allows, at least one; they are spread over data centres,
/// so that none loses all its engines at a time.
std::vector<std::string> chooseNextLoads(std::span<const EngineState> engines, uint64_t wanted, double share);

}
