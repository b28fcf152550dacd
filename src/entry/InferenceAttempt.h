#pragma once
// One attempt at an engine within a completion request.

#include "entry/EventStream.h"
#include "entry/Request.h"
#include "entry/TargetLoad.h"

#include <optional>

namespace dragonfly::entry {

/// State of the attempt in progress.
struct InferenceAttempt {
    uint32_t target = 0;
    routing::Choice choice;
    std::string id;
    Clock::time_point sentAt;
    uint32_t queuedTokens = 0; ///< queued prompt tokens at the target when it was chosen
    std::optional<http::Call> call;
    TargetLoad load;
    EventStreamReader events;
    int status = 0;
    std::string errorText; ///< body of an answer with an error status, truncated
    bool reportedNotRun = false; ///< the target reported that it did not execute the request
    bool firstTokenSeen = false;
    observe::TraceContext trace;
    WallClock::time_point started;
};

}
