#include "forward/RetryWindow.h"

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

bool RetryWindow::tryAcquireRetry(Clock::time_point now)
{
    auto& bucket = this->currentBucket(now);
    double firstSends = 0;
    double retries = 0;
    for (const auto& each : this->buckets) {
        firstSends += each.firstSends;
        retries += each.retries;
    }
    if (retries + 1 > this->limits.ratio * firstSends + this->limits.allowance)
        return false;
    ++bucket.retries;
    return true;
}

}
