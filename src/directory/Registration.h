#pragma once
// What a target says of itself in the platform's list.

#include "base/Base.h"

#include <map>
#include <string>

namespace dragonfly::directory {

struct Registration {
    std::string id; ///< names one target; a restarted one may keep it
    std::string service;
    Endpoint endpoint;
    std::string dataCentre;
    uint32_t slots = 0;
    bool isDraining = false;
    int64_t startedUnixMs = 0; ///< tells two lives of one id apart; 0 while unknown
    std::map<std::string, uint64_t> weights; ///< model to the version that it runs
};

/// The version of a model's weights that the operators want everywhere.
struct NamedWeights {
    std::string model;
    uint64_t version = 0;
};

}
