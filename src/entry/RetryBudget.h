#pragma once
// Limits retries to a share of initial attempts, so that failures do not multiply the load on targets.

#include <atomic>
#include <cstdint>

namespace dragonfly::entry {

/// Each initial attempt adds a tenth of a retry to the budget, up to a maximum balance. Thread-safe.
class RetryBudget {
public:
    void recordInitialAttempt();
    /// Consumes one retry. Returns false when the budget is exhausted.
    bool tryAcquire();
    /// Whether tryAcquire() would fail now.
    bool isExhausted() const;
    /// Returns a retry that reached no target and so caused no load.
    void refund();

private:
    /// Initial and maximum balance. 20 retries cover the streams of two targets that fail at the same time on a new
    /// instance.
    static constexpr int64_t maxThousandths = 20000;

    void add(int64_t amount);

    std::atomic<int64_t> balanceThousandths { maxThousandths };
};

}
