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

private:
    std::atomic<int64_t> thousandths { 10000 };
};

}
