#pragma once
// A registered target and this instance's cached state of it.

#include "directory/Registration.h"
#include "routing/TargetState.h"

#include <memory>

namespace dragonfly::directory {

struct Target {
    Registration registration;
    /// Replaced when a new process registers under the same id, so that no state of the old process is applied to it.
    std::shared_ptr<routing::TargetState> state = std::make_shared<routing::TargetState>();
    Deadline refusingUntil; ///< the target refused a request; no requests are sent to it before
    bool isReplaced = false; ///< another target answers at its address
    bool isDoubted = false; ///< it refused a connection, so its process may have ended; until its next record

    /// A target that drains takes streams that can go on nowhere else before this; the epoch while it does not drain,
    /// or if this instance does not know since when it does.
    Deadline resumesUntil;

    bool isUsable(Clock::time_point now) const
    {
        return !this->registration.isDraining && !this->isReplaced && now >= this->refusingUntil;
    }
    /// Whether a stream that can go on at no usable target may go on here.
    bool mayResumeLate(Clock::time_point now) const
    {
        return !this->isReplaced && now >= this->refusingUntil && now < this->resumesUntil;
    }
    /// The version of the weights of @p model that the target runs; 0 if it does not run the model.
    uint64_t weightsOf(const std::string& model) const
    {
        const auto found = this->registration.weights.find(model);
        return found == this->registration.weights.end() ? 0 : found->second;
    }
};

using TargetPointer = std::shared_ptr<Target>;

}
