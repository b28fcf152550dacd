#pragma once
// Bounds how often this instance sends requests of one service to a further target.
//
// The budget is shared by all instances and judged over a sliding window. Each instance may use the share
// that its own first sends earn, and a small allowance of its own; so the sum keeps to the whole without a
// word between them. A fresh instance has earned nothing yet.

#include "base/Base.h"

#include <deque>

namespace dragonfly::forward {

struct RetryBudgetLimits {
    double ratio = 0.17; ///< further sends for each first one
    double allowance = 2; ///< further sends in a window that nothing has to earn
    std::chrono::milliseconds window { 10000 };
};

class RetryWindow {
public:
    explicit RetryWindow(const RetryBudgetLimits& limits)
        : limits(limits)
    {
    }

    void noteFirst(Clock::time_point now);
    /// Takes one further send when the window has room for it.
    bool take(Clock::time_point now);

private:
    struct Bucket {
        Deadline expiry;
        uint32_t firsts = 0;
        uint32_t further = 0;
    };

    Bucket& currentBucket(Clock::time_point now);

    RetryBudgetLimits limits;
    std::deque<Bucket> buckets; ///< oldest first
};

}
