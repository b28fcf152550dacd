#include "forward/RetryWindow.h"

namespace dragonfly::forward {

namespace {

    /// Buckets of a window: what has just left the window may still count for one of them.
    constexpr int bucketsPerWindow = 20;

}

RetryWindow::Bucket& RetryWindow::currentBucket(Clock::time_point now)
{
    while (!this->buckets.empty() && this->buckets.front().expiry <= now)
        this->buckets.pop_front();
    const auto step = this->limits.window / bucketsPerWindow;
    const bool isOpen = !this->buckets.empty() && this->buckets.back().expiry - this->limits.window > now;
    if (!isOpen)
        this->buckets.push_back({ now + this->limits.window + step });
    return this->buckets.back();
}

void RetryWindow::noteFirst(Clock::time_point now)
{
    ++this->currentBucket(now).firsts;
}

bool RetryWindow::take(Clock::time_point now)
{
    auto& bucket = this->currentBucket(now);
    double firsts = 0;
    double further = 0;
    for (const auto& each : this->buckets) {
        firsts += each.firsts;
        further += each.further;
    }
    if (further + 1 > this->limits.ratio * firsts + this->limits.allowance)
        return false;
    ++bucket.further;
    return true;
}

}
