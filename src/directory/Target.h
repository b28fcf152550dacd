#pragma once
// One registered target, with what this instance believes of it.

#include "directory/Registration.h"
#include "routing/TargetState.h"

#include <memory>

namespace dragonfly::directory {

struct Target {
    Registration registration;
    /// Replaced when another life of the target registers, so that no belief outlives the process it was about.
    std::shared_ptr<routing::TargetState> state = std::make_shared<routing::TargetState>();
    Deadline refusingUntil; ///< it refused work a moment ago, so it is not asked before
    bool isReplaced = false; ///< another process answers at its address

    bool isUsable(Clock::time_point now) const
    {
        return !this->registration.isDraining && !this->isReplaced && now >= this->refusingUntil;
    }
    /// The version of @p model that it runs; 0 when it does not run the model.
    uint64_t weightsOf(const std::string& model) const
    {
        const auto found = this->registration.weights.find(model);
        return found == this->registration.weights.end() ? 0 : found->second;
    }
};

using TargetPointer = std::shared_ptr<Target>;

}
