#pragma once
// Clocks and deadlines. A deadline is stored as a time point of the steady clock, never as a remaining duration.

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace dragonfly {

using Clock = std::chrono::steady_clock;
using Deadline = Clock::time_point;
using WallClock = std::chrono::system_clock;

/// Milliseconds since the Unix epoch at @p time.
inline std::chrono::milliseconds unixTime(WallClock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
}

/// An age that another process states in milliseconds. Longer ones than any process has are bounded, so that no time
/// point overflows.
inline std::chrono::milliseconds statedAge(uint64_t milliseconds)
{
    constexpr std::chrono::milliseconds maxAge = std::chrono::hours(24 * 365);
    return std::chrono::milliseconds(std::min(milliseconds, static_cast<uint64_t>(maxAge.count())));
}

/// Time left until @p deadline, rounded up to a millisecond; zero once the deadline has passed.
inline std::chrono::milliseconds remaining(Deadline deadline, Clock::time_point now)
{
    if (deadline <= now)
        return std::chrono::milliseconds(0);
    return std::chrono::ceil<std::chrono::milliseconds>(deadline - now);
}

}
