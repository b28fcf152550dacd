#pragma once
// Whether a request that is open during a planned stop can still be sent to a target.

#include "base/Base.h"
#include "directory/Deployment.h"

#include <optional>

namespace dragonfly::forward {

/// The times of a planned stop.
struct StopTimes {
    BootClock::time_point signalledAt; ///< the earliest moment at which the stop can have been ordered
    BootClock::time_point end; ///< open requests get a final answer then
};

/// A request that is about to be sent, or sent again.
struct AttemptTimes {
    directory::RequestKind kind = directory::RequestKind::NonIdempotent;
    bool isRepeatable = false;
    std::chrono::milliseconds targetLatency { 0 }; ///< of the route
    Clock::time_point arrived; ///< of the request
    Deadline deadline; ///< of the request
};

/// Why the stop leaves too little time for the attempt, with the times that decide; nullopt if it leaves enough.
std::optional<std::string> findStopConflict(
    const StopTimes& stop, const AttemptTimes& attempt, Clock::time_point now, BootClock::time_point bootNow);

}
