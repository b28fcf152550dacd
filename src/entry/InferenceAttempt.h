#pragma once
// One attempt at an engine within a completion request.

#include "entry/EventStream.h"
#include "entry/Request.h"
#include "entry/TargetLoad.h"

#include <optional>

namespace dragonfly::entry {

/// What is known of the attempt under way.
struct InferenceAttempt {
    uint32_t target = 0;
    routing::Choice choice;
    std::string id;
    Clock::time_point sentAt;
    uint32_t queuedTokens = 0; ///< at the target, when it was chosen
    std::optional<http::Call> call;
    TargetLoad load;
    EventStreamReader events;
    int status = 0;
    std::string refusal; ///< body of an answer that is no stream
    bool refusedUnrun = false; ///< the target's own word that it did not run
    bool firstTokenSeen = false;
    observe::TraceContext trace;
    WallClock::time_point started;
};

}
