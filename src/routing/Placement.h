#pragma once
// Placements: a placement states that a target received a prefix. Instances replicate placements to each other.

#include "routing/PrefixIndex.h"

#include <boost/lockfree/queue.hpp>

namespace dragonfly::routing {

struct Placement {
    uint64_t prefix = 0;
    uint32_t target = 0; ///< shortHash of the hash of the target's name
    uint32_t incarnation = 0; ///< shortHash of the target's incarnation
    uint32_t tokens = 0; ///< prompt tokens that are estimated to need prefill on the target
};

/// Carries placements from the worker threads to the control thread. Placements are dropped while it is full.
class PlacementQueue {
public:
    /// Callable from any thread.
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
