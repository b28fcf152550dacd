#pragma once
// The targets that bear few refusals, by their answers, and when this instance may send them requests.

#include "directory/Incarnation.h"
#include "directory/Target.h"
#include "limits/RefusalBudget.h"
#include "observe/Metrics.h"

#include <functional>
#include <map>
#include <string>

namespace dragonfly::limits {

/// What one answer says about the refusals that its target bears.
struct NamedRefusalLimit {
    std::optional<double> perSecond; ///< refusals a second, caused by all instances together
    bool isInvalid = false; ///< a number is named but cannot be read
};

class BrittleTargets {
public:
    explicit BrittleTargets(observe::Metrics& metrics);

    /// The place of this instance among all that may send requests to @p target.
    std::function<Standing(const directory::Registration& target)> standingOf;
    std::function<double()> random; ///< uniform from 0 to 1

    /// Applies an answer of @p target. One without a number ends what holds only if its request was sent after a number
    /// was last named: it was composed later then.
    void onAnswer(const directory::Registration& target, const NamedRefusalLimit& named, const RoomAnswer& answer,
        Clock::time_point now);
    /// Whether a request may be sent to @p target now.
    bool maySend(const directory::Registration& target, Clock::time_point now);
    /// Records a request that is sent to @p target.
    void recordSend(const directory::Registration& target, Clock::time_point now);
    /// When the next request may be sent to @p target.
    Clock::time_point nextSendAt(const directory::Registration& target, Clock::time_point now) const;

private:
    struct Entry {
        std::string service;
        std::optional<double> perSecond; ///< unset if the process bears any number
        Clock::time_point namedAt; ///< when an answer of the process last named a number, or its service's was taken
        bool isInvalidLogged = false;
        Deadline shareUntil; ///< the share is computed again then, from the instances known by that time
        RefusalBudget budget;
    };
    /// What the targets of one service have in common. A process that has not answered yet is treated by it.
    struct Service {
        double perSecond = 0;
        Clock::time_point namedAt;
        ServiceRoom room;
    };

    void endService(const std::string& service);
    Entry* findBrittle(const directory::Registration& target, Clock::time_point now);
    const Service* findService(const std::string& service, Clock::time_point now) const;
    bool isServiceFull(const std::string& service, Clock::time_point now) const;
    void setLimit(
        Entry& entry, const directory::Registration& target, std::optional<double> perSecond, Clock::time_point now);
    void updateShare(Entry& entry, const directory::Registration& target, Clock::time_point now) const;
    void dropUnused(Clock::time_point now);

    observe::Metrics& metrics;
    std::map<directory::Incarnation, Entry> entries; ///< processes that are or were brittle
    std::map<std::string, Service> services; ///< those of which a target has named a number
};

}
