#pragma once
// The limits of requests that targets name in their answers.

#include "base/Base.h"
#include "directory/Incarnation.h"
#include "observe/Metrics.h"

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
    explicit RequestLimits(observe::Metrics& metrics)
        : metrics(metrics)
    {
    }

    /// Applies an answer of @p target to a request that was sent at @p sentAt. An answer without a limit ends the limit
    /// only if its request was sent after the limit was last named: it was composed later then.
    void onAnswer(
        const directory::Incarnation& target, const NamedLimit& named, Clock::time_point sentAt, Clock::time_point now);

private:
    struct Entry {
        std::optional<double> perSecond; ///< the limit in force; unset if there is none
        Clock::time_point namedAt; ///< when an answer last named a limit
        bool isInvalidLogged = false;
    };

    void dropUnused(Clock::time_point now);

    observe::Metrics& metrics;
    std::map<directory::Incarnation, Entry> entries; ///< targets that have named a limit
};

}
