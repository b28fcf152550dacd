#pragma once
// Forwards one request to a target and relays the answer, with retries at other targets.
//
// A non-repeatable request is retried only if no byte of it was sent, or if the target states that it did not run
// it. An interrupted resumable stream resumes at another target after the last complete event that the caller
// received, if that target sends events that follow it.
//
// A target that makes no progress may still be at work, so its attempt stays open while a backup attempt is made at
// another target. The first of the two that delivers an event or a complete answer goes on, and the other is withdrawn:
// a head alone may be all that a target sends. If no other target takes the request, the first one has until the
// request's deadline. A stream that is resumed runs at two targets for a moment only. Then it goes on at the backup
// alone, if another attempt is granted in case that the backup is refused or breaks; otherwise the backup is withdrawn.
// A target that was withdrawn did not fail, so a further attempt may be made there.

#include "forward/Attempt.h"
#include "forward/EventCursor.h"
#include "forward/ForwardContext.h"
#include "forward/StreamBinding.h"

namespace dragonfly::forward {

/// A request whose route and organisation have been resolved.
struct ForwardRequest {
    http::ExchangePointer exchange;
    RequestMetadata metadata;
    directory::RouteTablePointer routes; ///< the table in force on arrival; owns route and organisation
    const directory::Route* route = nullptr;
    const directory::Organisation* organisation = nullptr; ///< null for an anonymous request
    Clock::time_point arrived;
    Deadline deadline; ///< the caller receives a final answer or error by then
    std::optional<std::chrono::milliseconds> configAge; ///< since the configuration's last freshness proof
};

/// What an open request waits for.
enum class Awaited {
    Origin, ///< the record of where the stream that is taken up began
    NextTarget,
    Connection,
    AnswerBegin,
    NextBytes, ///< of an answer that is relayed when it is complete
    NextEvent,
    Caller, ///< reads slowly
};

std::string_view toString(Awaited awaited);

/// A request that has not ended.
struct OpenRequest {
    std::string id;
    std::string target; ///< of the current attempt; empty between two attempts
    std::string backupTarget; ///< of the backup attempt; empty if there is none
    Awaited waitsFor = Awaited::NextTarget;
    Clock::time_point waitingSince;
    Clock::time_point arrived;
    Deadline deadline;
};

/// The state of one forwarded request.
class ForwardCall : public std::enable_shared_from_this<ForwardCall> {
public:
    ForwardCall(ForwardContext& context, ForwardRequest request);
    ~ForwardCall();

    /// Starts the first attempt. The callbacks of an attempt keep the object alive until the request has ended.
    void start();
    /// Limits the wait for the engine to begin if its weights have been replaced since the request was sent.
    void updateBeginDeadline();
    /// Withdraws the request from targets that have not begun to answer if it, or a part of its prompt, is quarantined.
    /// A non-idempotent request to a plain service stays once it was sent.
    void onPromptsQuarantined();
    /// Withdraws the request and gives its caller a final answer, because the instance stops.
    void endForStop();
    /// Whether the request was sent to the process @p incarnation before @p since and its answer is still read.
    bool hasOpenAttempt(const quarantine::Incarnation& incarnation, Clock::time_point since) const;
    /// Adds the addresses of targets that received the request on the own path and have sent nothing for
    /// paths::silenceTime.
    void addSilentTargets(std::set<std::string>& silent, Clock::time_point now) const;
    /// nullopt once the request has ended.
    std::optional<OpenRequest> openRequest() const;

private:
    /// An attempt that is open, or none.
    using Slot = std::optional<Attempt>;

    void resolveOrigin();
    void continueAt(Clock::time_point moment, void (ForwardCall::*step)());
    void nextAttempt();
    std::optional<TargetChoice> chooseTarget(const ChoiceQuery& query) const;
    /// @param only the targets to choose from; null for all that are not @p excluded
    ChoiceQuery choiceQuery(Clock::time_point now, const std::vector<std::string>& excluded,
        const std::vector<std::string>* only = nullptr) const;
    ChoiceQuery nextAttemptQuery(Clock::time_point now) const;
    bool prepareOtherVersion(ChoiceQuery query);
    bool waitForOtherVersion(Clock::time_point now);
    bool waitForTarget(Clock::time_point now);
    bool offerAgainAt(Clock::time_point offer, Clock::time_point now);
    void failWithoutTarget(Clock::time_point now);
    bool mayTryAnotherTarget() const;
    bool canContinueElsewhere() const
    {
        return !this->streamBegun || (this->request.route->isResumable && this->events.canResume());
    }
    /// Whether the caller has a part of the stream, or an attempt was withdrawn at a target that did not fail. Targets
    /// that did not fail may then receive the request again.
    bool isContinuation() const
    {
        return this->isRepeatable() && (this->streamBegun || !this->withdrawnTargets.empty());
    }
    /// Whether a stream that has begun was withdrawn from a target, where it might have gone on. It is not broken while
    /// some target may still take it.
    bool isWithdrawnStream() const
    {
        return this->streamBegun && !this->withdrawnTargets.empty();
    }
    bool acquireRetry(const directory::Registration& target, Clock::time_point now);
    bool reserveAttemptAfterBackup(Clock::time_point now);
    void send(Slot& slot, TargetChoice choice);
    std::optional<std::string> findStopConflict(Clock::time_point now) const;
    Deadline startProgressTimeout(Attempt& attempt);
    Deadline attemptDeadline(const Attempt& attempt) const;
    Deadline responseDeadline() const;
    Deadline beginDeadline(const Attempt& attempt) const;
    bool isConfirmed(const Attempt& attempt) const;
    std::string describeWeights(uint64_t version) const;
    Dispatch dispatchFor(const TargetChoice& choice) const;
    /// The id of the last event that the caller has received; empty if the stream begins with its first.
    const std::string& resumeAfter() const
    {
        return this->events.lastId().empty() ? this->request.metadata.lastEventId : this->events.lastId();
    }
    Slot& slotOf(uint32_t number)
    {
        return this->attempt && this->attempt->number == number ? this->attempt : this->backup;
    }

    bool mayWrite(Attempt& attempt);
    void onSent(Slot& slot);
    void onHead(Slot& slot, const http::ResponseHead& head);
    void onBody(Slot& slot, std::string_view bytes);
    void takeBody(Slot& slot, std::string_view bytes);
    void onComplete(Slot& slot);
    void onFailure(Slot& slot, const http::CallFailure& failure);
    void onOverdue(Slot& slot);

    /// Sends the request to another target too, while the current attempt makes no progress.
    void startBackup();
    /// Makes @p slot the current and only attempt.
    /// @param outcome of the current attempt if it is the other one
    void withdrawOther(const Slot& slot, const std::string& outcome = "no progress; another target answered");
    void withdrawBackup(const std::string& outcome);
    void promoteBackup();
    void endOverlap(Clock::time_point now);
    void allowAgain(const Attempt& attempt);
    void discountRun(const Attempt& attempt);
    bool hasOtherPath(const Attempt& attempt, const http::CallFailure& failure);
    bool mayBeReachedLater(const Attempt& attempt, const http::CallFailure& failure) const;
    void beginRelay();

    void updateBufferShare(Slot& slot);
    void onBufferLimit(uint32_t number);
    void onTooLarge(Slot& slot, const std::string& what);
    void abandon(Slot& slot, const std::string& outcome, const std::string& detail);
    void relayEvents(std::string_view bytes);
    void onUnusableStream(Slot& slot, EventFault fault);
    /// Makes the backup the only open attempt if it has brought an event that continues the stream.
    void takeOverWithEvent();
    void relayComplete(std::string_view complete);
    void recordFirstEvent();
    void recordDelay(Clock::time_point now);
    void completeStream(Slot& slot);
    void relayBufferedAnswer();
    void onNotRun(Slot& slot);
    void onWithheld(Slot& slot);
    void updateTarget(const Attempt& attempt);
    bool isMismatched(const Attempt& attempt) const
    {
        return isMismatchedAnswer(attempt, this->request.metadata.requestId);
    }
    void onMismatchedAnswer(Slot& slot);
    bool canIdentifyAnswerFrom(const Endpoint& endpoint) const;

    /// Ends the attempt. The request then goes on with the other open attempt, or at another target, or fails with
    /// @p error.
    void attemptFailed(Slot& slot, const std::string& outcome, const Error& error);
    void endAttempt(Slot& slot, const std::string& outcome);
    void updateAwaiting();
    void appendToLog(const std::string& entry);
    void fail(const Error& error);
    void end(const std::string& outcome, int status);
    void onCallerGone();
    void resumeReading();

    /// The parts for which the request may be quarantined.
    /// @param withOwn adds the request's own part, a digest that covers the body
    const std::vector<quarantine::PartHash>& quarantineParts(bool withOwn);
    bool isWithdrawable(const Attempt& attempt) const;
    /// Ends the request if it must not be sent, because it or a part of its prompt is quarantined. Returns whether it
    /// did.
    bool failIfQuarantined();
    void failQuarantined(quarantine::PartHash part);
    /// Reports the attempt if the target closed its connection. Returns an error if the request may be the cause, so
    /// that it is not sent to another target.
    std::optional<Error> reportBrokenAttempt(const Attempt& attempt, const http::CallFailure& failure);
    void recordProgress(Attempt& attempt);
    Awaited awaited(const Slot& slot) const;

    bool isRepeatable() const;
    bool isStream() const
    {
        return this->request.route->kind == directory::RequestKind::Streaming;
    }
    Execution execution() const
    {
        return this->mayHaveRun ? Execution::Unknown : Execution::NotRun;
    }

    ForwardContext& context;
    ForwardRequest request;
    /// All parts of the prompt but the last, which no other request has; then the request's own, once it was needed.
    std::vector<quarantine::PartHash> parts;
    bool hasOwnPart = false;
    Slot attempt; ///< the current attempt: its answer is relayed
    /// Made while the current attempt makes no progress. Invariant: set only if the current attempt is, and nothing of
    /// its answer was relayed, which is buffered.
    Slot backup;
    uint32_t attemptCount = 0;
    /// Ids of the targets of all attempts but those that were not reached and may be reached later.
    std::vector<std::string> triedTargets;
    /// Ids of those that receive no further attempt of a continuation: they failed, or an attempt is open.
    std::vector<std::string> excludedTargets;
    /// Ids of those whose attempt was withdrawn for want of progress or for its weights, which are counted in runs
    /// once.
    std::vector<std::string> withdrawnTargets;
    std::vector<Endpoint> triedEndpoints; ///< of the targets of all attempts
    std::string attemptLog; ///< the ended attempts and denied retries, for the log line of the request
    bool isDenialLogged = false; ///< a denied retry was counted and logged; it may be denied again many times
    bool isStopLogged = false; ///< that a stop leaves no time for a backup was logged
    bool isWaitLogged = false; ///< that no target is usable for a backup was logged
    bool isPauseLogged = false; ///< that the request waits between two attempts was logged
    std::optional<RetryGrant> retryGrant; ///< granted for an attempt of which no byte was sent yet, or reserved for one
    uint32_t sends = 0; ///< attempts of which bytes were sent
    uint32_t runs = 0; ///< targets that run the request or may have run it
    EventCursor events;
    StreamBinding binding; ///< used on routes with resumable streams only
    BootClock::time_point arrivedAtBootClock; ///< of a stream that is taken up
    /// A target may have run the request. Invariant: a non-repeatable request has no further attempt once this is set.
    bool mayHaveRun = false;
    Clock::time_point attemptEndedAt; ///< of the last attempt; the arrival of the request before the first end
    bool streamBegun = false;
    bool isSuspected = false; ///< a target may have ended because of the prompt; no other target receives the request
    std::shared_ptr<ForwardCall> keptAlive; ///< this object, while it waits without an attempt
    bool readingPaused = false; ///< the caller reads slowly, so the answer to the current attempt is not read
    bool isCallerGone = false; ///< the request may go on at one target, but not at another
    bool ended = false;
};

}
