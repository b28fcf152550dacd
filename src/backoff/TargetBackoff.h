#pragma once
// Whether one process of a target takes requests, as its own answers say.
//
// A process that is leaving takes no further requests. One that has asked for time takes none until its end. After
// that, all instances together first send one batch of requests, evenly spread over the return period, with the shares
// that limits/SendShare.h gives them; then the target takes requests as any other. docs/LIMITS.md has the arithmetic.

#include "limits/SendShare.h"

#include <optional>
#include <string_view>

namespace dragonfly::backoff {

/// What one answer says about further requests.
struct Statement {
    bool isLeaving = false;
    std::optional<std::chrono::duration<double>> backoff; ///< the target wants no requests for this time
    bool isInvalid = false; ///< something is stated that cannot be read
};

/// What sets the pace at which requests return to a target.
struct ReturnPace {
    uint32_t slots = 0; ///< requests that the target runs at the same time; 0: unknown
    limits::Standing standing;
};

/// What the answers of one process have said so far.
struct TargetBackoff {
    bool isLeaving = false; ///< final
    Deadline noneBefore; ///< no request is sent earlier; only grows
    Deadline fullFrom; ///< end of the return period, which begins at noneBefore
    limits::SendShare share; ///< in the return period, as is the schedule
    limits::SendSchedule schedule;
};

/// Whether requests may be sent to a target, or why not.
enum class Verdict {
    Open,
    Leaving,
    BackingOff, ///< the target has asked for time
    AtLimit, ///< this instance has used its share of the target's request limit
    NoRoom, ///< the target bears few refusals and may refuse the request for want of room
};

/// The verdict as the predicate of a target, for log lines.
std::string_view toString(Verdict verdict);

/// Applies the time of @p backoff without requests, stated in an answer that arrived at @p now. Returns whether the
/// target now takes requests later than before.
/// @param random uniform from 0 to 1, as below
bool extend(TargetBackoff& target, std::chrono::duration<double> backoff, const ReturnPace& pace, Clock::time_point now,
    double random);
/// Whether a request may be sent at @p now.
Verdict ask(TargetBackoff& target, Clock::time_point now, double random);
/// Records a request that is sent at @p now.
void recordSend(TargetBackoff& target, Clock::time_point now, double random);
/// Whether a request that was recorded at @p recordedAt, and has waited since, may still be sent at @p now.
Verdict askAgain(TargetBackoff& target, Clock::time_point recordedAt, Clock::time_point now, double random);
/// When callers that were refused may return: from then on the target takes requests as any other. Spread over the
/// length of the return period.
Clock::time_point returnTime(const TargetBackoff& target, double random);

}
