#include "entry/RetryBudget.h"

namespace dragonfly::entry {

namespace {

    constexpr int64_t earnedThousandths = 100;
    constexpr int64_t retryThousandths = 1000;

}

void RetryBudget::noteFirstTry()
{
    this->add(earnedThousandths);
}

void RetryBudget::giveBack()
{
    this->add(retryThousandths);
}

void RetryBudget::add(int64_t earned)
{
    auto value = this->thousandths.load(std::memory_order_relaxed);
    while (value < mostThousandths
        && !this->thousandths.compare_exchange_weak(value, value + earned, std::memory_order_relaxed)) { }
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
