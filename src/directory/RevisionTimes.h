#pragma once
// Lower bounds of the times at which revisions of the platform's records were created.
//
// The records carry no times. An answer that contains all changes up to a revision shows that each later change was
// made after the answer was composed, however late the answer was received and processed.

#include "base/Base.h"

#include <deque>

namespace dragonfly::directory {

class RevisionTimes {
public:
    /// Records that the records had no higher revision than @p revision at @p at; the epoch, if unknown, is ignored.
    void observe(int64_t revision, BootClock::time_point at);
    /// A moment before the change with @p revision was made; the epoch if none is known.
    BootClock::time_point lowerBound(int64_t revision) const;

private:
    struct Observation {
        int64_t revision = 0;
        BootClock::time_point at;
    };

    std::deque<Observation> observations; ///< strictly increasing in both members
};

}
