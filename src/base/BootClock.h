#pragma once
// A monotonic clock that advances while the machine is suspended.
//
// Use it for the expiry of leases and proofs: other processes may take decisions while this machine is
// suspended, and the steady clock does not advance during that time.

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

}
