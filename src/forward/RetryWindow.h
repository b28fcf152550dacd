#pragma once
// Limits how many requests of one service this instance retries at another target.
//
// The retry budget is a ratio of retries to first sends over a sliding window, summed over all instances. Each
// instance keeps to the ratio of its own first sends plus a small allowance, so the sum stays within the budget
// without coordination. The allowance lets an instance retry before it has recorded any first sends.

#include "base/Base.h"

#include <deque>
#include <optional>

namespace dragonfly::forward {

struct RetryBudgetLimits {
    double ratio = 0.17; ///< retries per first send
    double allowance = 2; ///< retries per window that are granted without any first sends
    std::chrono::milliseconds window { 10000 };
};

class RetryWindow;

/// Permission to send one retry. It counts against the budget until it is destroyed; a use counts for the window's
/// duration. A retry of which no byte reached a target so takes nothing from the budget.
class RetryGrant {
public:
    explicit RetryGrant(RetryWindow& window);
    RetryGrant(RetryGrant&& other) noexcept;
    RetryGrant& operator=(RetryGrant&& other) noexcept;
    ~RetryGrant();

    bool isOf(const RetryWindow& window) const
    {
        return this->window == &window;
    }
    /// Records the retry as sent at @p now. At most once.
    void use(Clock::time_point now);

private:
    RetryWindow* window; ///< null once the grant was used or moved from
};

struct RetryCounts {
    uint32_t firstSends = 0;
    uint32_t retries = 0; ///< sent retries
    uint32_t granted = 0; ///< grants that were not used yet
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
    /// Grants one retry; nullopt when the budget is exhausted. The window must outlive the grant.
    std::optional<RetryGrant> tryAcquireRetry(Clock::time_point now);
    RetryCounts counts(Clock::time_point now);

private:
    friend class RetryGrant;

    struct Bucket {
        Deadline expiry; ///< when its newest send has left the window
        uint32_t firstSends = 0;
        uint32_t retries = 0;
    };

    Bucket& currentBucket(Clock::time_point now);

    RetryBudgetLimits limits;
    std::deque<Bucket> buckets; ///< oldest first
    uint32_t unusedGrants = 0;
};

}
