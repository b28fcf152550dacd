#pragma once
// A monotonic clock that also counts the time during which the machine was suspended.
//
// What others may have decided while this process stood still has to be judged by this clock: the steady
// clock does not count suspension.

#include <chrono>
#include <ctime>

namespace dragonfly {

struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the name that clocks have

    static time_point now() noexcept
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

}
