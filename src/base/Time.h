#pragma once
// Clocks and deadlines. A deadline is stored as a time point of the steady clock, never as a remaining duration.

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

/// Time left until @p deadline, rounded up to a millisecond; zero once the deadline has passed.
inline std::chrono::milliseconds remaining(Deadline deadline, Clock::time_point now)
{
    if (deadline <= now)
        return std::chrono::milliseconds(0);
    return std::chrono::ceil<std::chrono::milliseconds>(deadline - now);
}

}
