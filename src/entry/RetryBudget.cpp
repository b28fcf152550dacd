#include "entry/RetryBudget.h"

namespace dragonfly::entry {

namespace {

    constexpr int64_t thousandthsPerInitialAttempt = 100;
    constexpr int64_t thousandthsPerRetry = 1000;

}

void RetryBudget::recordInitialAttempt()
{
    this->add(thousandthsPerInitialAttempt);
}

void RetryBudget::refund()
{
    this->add(thousandthsPerRetry);
}

void RetryBudget::add(int64_t amount)
{
    auto value = this->balanceThousandths.load(std::memory_order_relaxed);
    while (value < maxThousandths
        && !this->balanceThousandths.compare_exchange_weak(value, value + amount, std::memory_order_relaxed)) { }
}

bool RetryBudget::isExhausted() const
{
    return this->balanceThousandths.load(std::memory_order_relaxed) < thousandthsPerRetry;
}

bool RetryBudget::tryAcquire()
{
    auto value = this->balanceThousandths.load(std::memory_order_relaxed);
    while (value >= thousandthsPerRetry) {
        if (this->balanceThousandths.compare_exchange_weak(
                value, value - thousandthsPerRetry, std::memory_order_relaxed))
            return true;
    }
    return false;
}

}
