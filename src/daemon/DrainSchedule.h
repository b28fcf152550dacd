#pragma once
// The times of a drain, from SIGTERM until the process has ended by itself.

#include "base/Base.h"

#include <optional>

namespace dragonfly::daemon {

/// The length of each part of a drain.
struct DrainTimings {
    std::chrono::milliseconds notice { 0 }; ///< requests are still accepted, while load balancers learn of the drain
    std::chrono::milliseconds completion { 0 }; ///< open requests may complete
    std::chrono::milliseconds flush { 0 }; ///< the last answers may reach their callers
};

/// What an operator sets; the rest is derived.
struct DrainSettings {
    std::optional<std::chrono::milliseconds> grace; ///< from SIGTERM to SIGKILL
    std::optional<std::chrono::milliseconds> notice;
    std::optional<std::chrono::milliseconds> completion;
};

/// The parts of the drain, or why @p settings allow none. With a grace period, requests may complete until shortly
/// before its end.
Result<DrainTimings> drainTimingsFor(const DrainSettings& settings);

/// The longest time between two looks for signals. The times of a drain count from the look before the signal, so this
/// is what a punctual instance may lose of them.
std::chrono::milliseconds signalLookIntervalFor(const DrainTimings& timings);

/// The times of one drain. They hold while the process is stopped and while the machine is suspended.
struct DrainSchedule {
    BootClock::time_point closing; ///< requests are accepted until then
    BootClock::time_point end; ///< open requests may complete until then, and get a final answer
    BootClock::time_point exit; ///< the process ends, whether or not all callers have read their answers
};

/// @param signalledAt the earliest moment at which the signal can have come
DrainSchedule scheduleDrain(const DrainTimings& timings, BootClock::time_point signalledAt);

}
