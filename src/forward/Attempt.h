#pragma once
// One attempt to have a request answered by a target: what was sent and what has arrived of the answer.

#include "base/BufferBudget.h"
#include "directory/Incarnation.h"
#include "entry/TargetLoad.h"
#include "forward/TargetChooser.h"
#include "http/Http.h"
#include "quarantine/AnswerProgress.h"

namespace dragonfly::forward {

struct Attempt {
    uint32_t number = 0; ///< counted within the request, from 1
    TargetChoice choice;
    std::optional<http::Call> call;
    entry::TargetLoad load;
    Clock::time_point sentAt;
    Deadline connectDeadline; ///< a target to which no connection is open by then is given up
    Clock::time_point waitingSince; ///< of the last step: connecting, sent, bytes of the answer
    Deadline progressDeadline; ///< without progress by then, another target is asked too
    /// Of a backup that resumes a stream: when it becomes the only attempt, unless it has ended by then.
    Deadline takeoverDeadline = Deadline::max();
    std::optional<Endpoint> via; ///< the instance through which it leads; nothing for the own path
    std::string softwareVersion; ///< of the target when the attempt was made
    std::string weights; ///< description of the requested weights for the log line of the request
    backoff::SendPermit permit;
    backoff::Verdict verdict = backoff::Verdict::Open; ///< why its first byte was not written, if it was stopped then
    bool isSent = false; ///< a byte of the request was written
    bool isFirstRun = true; ///< no earlier attempt of the request ran at the same target
    http::ResponseHead head; ///< its status is 0 until it arrives
    AnswerMetadata answerMetadata;
    /// The body is relayed event by event, by a backup from its first complete event on. Any other is buffered and
    /// checked when it is complete.
    bool isRelayed = false;
    std::string body; ///< buffered bytes
    BufferShare bufferShare; ///< of the body, and of the partial event while its stream is relayed
    bool isConfirmed = false; ///< another instance confirmed that its replaced weights may still answer
    std::optional<BootClock::time_point> confirmationEndedAt;
    std::optional<std::chrono::milliseconds> firstEventAfter; ///< unset before a stream's first event
    quarantine::AnswerProgress progress;
};

/// Whether an engine has the request and has not begun to answer.
bool isAwaitingEngine(const Attempt& attempt);

/// Whether the answer may be due to another request than @p requestId. A refusal may come without any request id; on a
/// connection that carried other requests, it may be due to one of them.
bool isMismatchedAnswer(const Attempt& attempt, const std::string& requestId);

/// Whether the head is that of a success that can be relayed before the answer is complete.
bool isRelayableSuccess(const Attempt& attempt, const std::string& requestId);

}
