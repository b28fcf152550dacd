#include "forward/RetryWindow.h"

#include <utility>

namespace dragonfly::forward {

namespace {

    /// Resolution of the sliding window: sends expire up to one bucket's duration late.
    constexpr int bucketsPerWindow = 20;

}

RetryWindow::Bucket& RetryWindow::currentBucket(Clock::time_point now)
{
    while (!this->buckets.empty() && this->buckets.front().expiry <= now)
        this->buckets.pop_front();
    const auto bucketDuration = this->limits.window / bucketsPerWindow;
    const bool isOpen = !this->buckets.empty() && this->buckets.back().expiry - this->limits.window > now;
    if (!isOpen)
        this->buckets.push_back({ now + this->limits.window + bucketDuration });
    return this->buckets.back();
}

void RetryWindow::recordFirstSend(Clock::time_point now)
{
    ++this->currentBucket(now).firstSends;
}

RetryCounts RetryWindow::counts(Clock::time_point now)
{
    this->currentBucket(now);
    RetryCounts counts;
    for (const auto& bucket : this->buckets) {
        counts.firstSends += bucket.firstSends;
        counts.retries += bucket.retries;
    }
    counts.granted = this->unusedGrants;
    return counts;
}

std::optional<RetryGrant> RetryWindow::tryAcquireRetry(Clock::time_point now)
{
    const auto counts = this->counts(now);
    if (counts.retries + counts.granted + 1 > this->limits.ratio * counts.firstSends + this->limits.allowance)
        return std::nullopt;
    return RetryGrant(*this);
}

RetryGrant::RetryGrant(RetryWindow& window)
    : window(&window)
{
    ++this->window->unusedGrants;
}

RetryGrant::RetryGrant(RetryGrant&& other) noexcept
    : window(std::exchange(other.window, nullptr))
{
}

RetryGrant& RetryGrant::operator=(RetryGrant&& other) noexcept
{
    const RetryGrant replaced(std::move(*this));
    this->window = std::exchange(other.window, nullptr);
    return *this;
}

RetryGrant::~RetryGrant()
{
    if (this->window)
        --this->window->unusedGrants;
}

void RetryGrant::use(Clock::time_point now)
{
    --this->window->unusedGrants;
    ++this->window->currentBucket(now).retries;
    this->window = nullptr;
}

}
