#pragma once
// The request limits that targets name in their answers, and when this instance may send them requests.

#include "directory/Incarnation.h"
#include "directory/Target.h"
#include "limits/SendShare.h"
#include "observe/Metrics.h"

#include <functional>
#include <map>
#include <optional>

namespace dragonfly::limits {

/// What one answer says about a limit.
struct NamedLimit {
    std::optional<double> perSecond; ///< requests a second from all instances together
    bool isInvalid = false; ///< a limit is named but cannot be read
};

class RequestLimits {
public:
    explicit RequestLimits(observe::Metrics& metrics);

    /// The place of this instance among all that may send requests to @p target.
    std::function<Standing(const directory::Registration& target)> standingOf;
    std::function<double()> random; ///< uniform from 0 to 1

    /// Applies an answer of @p target to a request that was sent at @p sentAt. An answer without a limit ends the limit
    /// only if its request was sent after the limit was last named: it was composed later then.
    void onAnswer(const directory::Registration& target, const NamedLimit& named, Clock::time_point sentAt,
        Clock::time_point now);
    /// Whether a request may be sent to @p target now.
    bool maySend(const directory::Registration& target, Clock::time_point now);
    /// Records a request that is sent to @p target. Returns whether a limit is in force there.
    bool recordSend(const directory::Registration& target, Clock::time_point now);
    /// When the next request may be sent to @p target.
    Clock::time_point nextSendAt(const directory::Registration& target, Clock::time_point now) const;

private:
    struct Entry {
        std::optional<double> perSecond; ///< the limit in force; unset if there is none
        Clock::time_point namedAt; ///< when an answer last named a limit
        bool isInvalidLogged = false;
        double loggedPerSecond = 0; ///< the value of the limit in the latest log line
        SendShare share; ///< in the limit in force, as are the members below
        Deadline shareUntil; ///< the share is computed again then, from the instances known by that time
        SendSchedule schedule;
    };

    Entry* findLimited(const directory::Registration& target);
    void setLimit(
        Entry& entry, const directory::Registration& target, std::optional<double> perSecond, Clock::time_point now);
    void updateShare(Entry& entry, const directory::Registration& target, Clock::time_point now) const;
    void dropUnused(Clock::time_point now);

    observe::Metrics& metrics;
    std::map<directory::Incarnation, Entry> entries; ///< targets that have named a limit
};

}
