#pragma once
// Paces the steps of a drain.

#include "base/Base.h"

namespace dragonfly::daemon {

/// How often a drain looks whether its next step is due.
inline constexpr std::chrono::milliseconds drainPollInterval { 50 };

/// Delays a step of the drain by one pass of the event loop after a gap in which the loop did not run, so that what has
/// arrived meanwhile is read before anything is closed. A loop that is always late is not delayed any further.
class DrainClock {
public:
    /// Whether a step may be taken at @p now. To be called every drainPollInterval.
    bool mayStep(BootClock::time_point now)
    {
        const bool isLate = now - this->lastPass > 2 * drainPollInterval;
        this->lastPass = now;
        this->isDelayed = isLate && !this->isDelayed;
        return !this->isDelayed;
    }

private:
    BootClock::time_point lastPass = BootClock::now();
    bool isDelayed = false;
};

}
