#pragma once
// A monotonic clock that advances while the machine is suspended.
//
// Use it for the expiry of leases and proofs: other processes may take decisions while this machine is
// suspended, and the steady clock does not advance during that time.

#include "base/Time.h"

#include <chrono>
#include <ctime>

namespace dragonfly {

struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): fixed by the standard

    static time_point now() noexcept
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

/// The steady clock's deadline for @p time, not before it. Later than @p time by as long as the machine is suspended
/// meanwhile.
inline Deadline toDeadline(BootClock::time_point time)
{
    const auto left = time - BootClock::now();
    return Clock::now() + std::chrono::ceil<Clock::duration>(left);
}

/// For how long the machine has been suspended since it was started.
inline std::chrono::nanoseconds suspendedTime()
{
    return BootClock::now().time_since_epoch() - Clock::now().time_since_epoch();
}

}
