#pragma once
// A target's registration record, as the target published it to the platform.

#include "base/Base.h"

#include <map>
#include <string>

namespace dragonfly::directory {

struct Registration {
    std::string id; ///< identifies one target; a restarted target may keep it
    std::string service;
    Endpoint endpoint;
    std::string dataCentre;
    /// Version of the software that the target runs, not of its weights; targets that name none share the empty one.
    std::string softwareVersion;
    uint32_t slots = 0; ///< maximum number of requests in one batch
    bool isDraining = false;
    int64_t startedUnixMs = 0; ///< distinguishes two processes with the same id; 0: unknown
    uint64_t sequence = 0; ///< a record of the same process with a lower number is older; 0: unknown
    std::map<std::string, uint64_t> weights; ///< version that the target runs, by model
};

/// The version of a model's weights that all engines of the model are to run.
struct WantedWeights {
    std::string model;
    uint64_t version = 0;
};

}
