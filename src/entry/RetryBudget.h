#pragma once
// Bounds retries to a share of first tries, so that failures cannot multiply the load.

#include <atomic>
#include <cstdint>

namespace dragonfly::entry {

/// Each first try earns a tenth of a retry; unused retries are kept up to a small reserve.
class RetryBudget {
public:
    void noteFirstTry();
    /// Takes one retry when there is one.
    bool take();
    /// Gives back a retry that never reached a target, and so put no load on any.
    void giveBack();

private:
    /// Covers the streams that a fresh instance runs on two targets, should both be lost at once.
    static constexpr int64_t mostThousandths = 20000;

    void add(int64_t earned);

    std::atomic<int64_t> thousandths { mostThousandths };
};

}
