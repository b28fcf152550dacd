#include "entry/RetryBudget.h"

namespace dragonfly::entry {

namespace {

    constexpr int64_t earnedThousandths = 100;
    constexpr int64_t retryThousandths = 1000;
    constexpr int64_t mostThousandths = 20000;

}

void RetryBudget::noteFirstTry()
{
    auto value = this->thousandths.load(std::memory_order_relaxed);
    while (value < mostThousandths
        && !this->thousandths.compare_exchange_weak(value, value + earnedThousandths, std::memory_order_relaxed)) { }
}

bool RetryBudget::take()
{
    auto value = this->thousandths.load(std::memory_order_relaxed);
    while (value >= retryThousandths) {
        if (this->thousandths.compare_exchange_weak(value, value - retryThousandths, std::memory_order_relaxed))
            return true;
    }
    return false;
}

}
