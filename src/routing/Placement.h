#pragma once
// The fact that a target was given a prefix, as instances tell it to each other.

#include "routing/PrefixMemory.h"

#include <boost/lockfree/queue.hpp>

namespace dragonfly::routing {

struct Placement {
    uint64_t prefix = 0;
    uint32_t target = 0; ///< hash of the target's name, shortened
    uint32_t incarnation = 0; ///< hash of its incarnation, shortened
    uint32_t tokens = 0; ///< prompt tokens that are believed to need prefill there
};

/// Carries placements from the worker threads to the control thread; what does not fit is dropped.
class PlacementQueue {
public:
    /// From any thread.
    void push(const Placement& placement)
    {
        this->queue.bounded_push(placement);
    }
    bool pop(Placement& placement)
    {
        return this->queue.pop(placement);
    }

private:
    static constexpr size_t capacity = 4096;
    boost::lockfree::queue<Placement> queue { capacity };
};

}
