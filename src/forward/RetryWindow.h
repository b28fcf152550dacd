#pragma once
// Limits how many requests of one service this instance retries at another target.
//
// The retry budget is a ratio of retries to first sends over a sliding window, summed over all instances. Each
// instance keeps to the ratio of its own first sends plus a small allowance, so the sum stays within the budget
// without coordination. The allowance lets an instance retry before it has recorded any first sends.

#include "base/Base.h"

#include <deque>

namespace dragonfly::forward {

struct RetryBudgetLimits {
    double ratio = 0.17; ///< retries per first send
    double allowance = 2; ///< retries per window that are granted without any first sends
    std::chrono::milliseconds window { 10000 };
};

/// Counts the first sends and retries of one service over a sliding window.
class RetryWindow {
public:
    explicit RetryWindow(const RetryBudgetLimits& limits)
        : limits(limits)
    {
    }

    /// Records a request at its first attempt. Once for each request, however many attempts it has.
    void recordFirstSend(Clock::time_point now);
    /// Grants and records one retry; false when the budget is exhausted.
    bool tryAcquireRetry(Clock::time_point now);

private:
    struct Bucket {
        Deadline expiry; ///< when its newest send has left the window
        uint32_t firstSends = 0;
        uint32_t retries = 0;
    };

    Bucket& currentBucket(Clock::time_point now);

    RetryBudgetLimits limits;
    std::deque<Bucket> buckets; ///< oldest first
};

}
