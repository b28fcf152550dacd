#pragma once
// Divides the request limit of a target among the instances, without messages between them.
//
// Each instance ranks all known instances for each target in the same way, nearest first. A few senders, the first ones
// of the ranking, divide the limit evenly; few, because every sender may have one request more on its way at any
// time, whatever its share. The others send single requests at random times, far below the limit in sum, which show
// them whether it still holds. docs/LIMITS.md has the arithmetic.

#include "base/Base.h"

#include <cstddef>

namespace dragonfly::limits {

/// The place of one instance in the ranking of all instances for one target.
struct Standing {
    size_t rank = 0; ///< 0 is the first
    size_t instances = 1; ///< all known ones, with this one
    size_t local = 0; ///< those of the target's data centre
};

/// What one instance may send to a target.
struct SendShare {
    double perSecond = 0;
    double burst = 1; ///< requests that may follow each other at once after a pause
    bool isSender = true; ///< false: sends single requests at random times only
};

/// The share of an instance in a limit of @p limitPerSecond requests a second.
SendShare shareOf(double limitPerSecond, const Standing& standing);

/// When an instance may send its next request to a target.
struct SendSchedule {
    /// A sender: when the next request is due at the even rate of its share; a burst may precede it. Any other
    /// instance: the beginning of the window in which it may send one request.
    Clock::time_point nextAt;
};

/// The schedule of an instance that has just learned of its share. It begins without a burst.
/// @param random uniform from 0 to 1, as below
SendSchedule startSchedule(const SendShare& share, Clock::time_point now, double random);
/// Whether a request may be sent at @p now. Sets a new window if the last one has passed.
bool maySend(SendSchedule& schedule, const SendShare& share, Clock::time_point now, double random);
/// Records a request that is sent at @p now.
void recordSend(SendSchedule& schedule, const SendShare& share, Clock::time_point now, double random);
/// The earliest time at which the next request may be sent.
Clock::time_point nextSendAt(const SendSchedule& schedule, const SendShare& share);

}
