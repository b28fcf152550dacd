#include "forward/ForwardCall.h"

#include "base/Growth.h"
#include "forward/AnswerStatus.h"
#include "forward/StreamHead.h"

#include <QRandomGenerator>
#include <QTimer>
#include <algorithm>
#include <array>

namespace dragonfly::forward {

using backoff::Verdict;
using directory::RequestKind;
using observe::LogLevel;
using std::chrono::milliseconds;

namespace {

    /// Allows several round trips to another region.
    constexpr milliseconds connectTimeout { 400 };
    /// Non-repeatable requests use no connection that was idle for longer: the target or a middlebox may have dropped
    /// it, and the request could then not be retried.
    constexpr milliseconds maxIdleTime { 1000 };
    /// Longer for streams, since a new connection to another region delays the first token by a round trip.
    constexpr milliseconds maxIdleTimeForStreams { 4000 };
    /// A target that refused a request receives none for this time, which is about the time to work off its queue.
    constexpr milliseconds refusalBackoff { 250 };
    /// Longer for an engine that runs replaced weights, because it is probably loading the new ones. Its next
    /// registration ends the backoff early.
    constexpr milliseconds weightsLoadingBackoff { 1500 };
    /// A repeatable request is sent to a backup target after this multiple of the route's target latency without a
    /// response.
    constexpr int responseTimeoutFactor = 2;
    constexpr milliseconds minProgressTimeout { 350 };
    /// A request that waits at an engine is withdrawn this long before the engine's replaced weights may no longer
    /// answer. Covers the way to an engine in another region, which may be busy.
    constexpr milliseconds withdrawalMargin { 400 };
    /// The same for a resumable stream, after this multiple of the route's longest pause without an event.
    constexpr int stallTimeoutFactor = 4;
    /// How long a resumed stream may run at two targets. The platform allows 400 ms; the rest is for the way of the
    /// close to a target in another region, and for a busy instance.
    constexpr milliseconds maxOverlap { 250 };
    /// Shortest wait until a stream that no target takes is offered again. Bounds the work if a target that is ready to
    /// be chosen is lost to other requests again and again.
    constexpr milliseconds minOfferInterval { 20 };
    /// How long a stream that is taken up waits for the record of where it began, which takes two watches of 300 ms by
    /// way of a peer; and the part of its time that it waits at most, so that its caller can go elsewhere.
    constexpr milliseconds maxOriginWait { 1200 };
    constexpr int originTimeDivisor = 3;
    /// How long a new stream waits until it may begin at the version of the only targets: for one write of the record,
    /// and the delay after which streams begin at a version that was opened beside others.
    constexpr milliseconds maxVersionWait { 1600 };
    /// With less time left until the deadline, a retry could not succeed.
    constexpr milliseconds minRemainingForRetry { 30 };
    /// Limit on all attempts, of which those to unreachable targets cost time only. Bounds the request's log line.
    constexpr uint32_t maxAttempts = 16;
    /// A request that no target has received is refused after this part of its time, so that its caller can repeat it
    /// at another instance.
    constexpr int unsentTimeDivisor = 2;
    /// Limit on attempts of which bytes were sent, also when the request did not run.
    constexpr uint32_t maxSends = 4;
    /// Limit on an answer, or an event of a stream, that is buffered until it is complete. ForwardSettings::bufferBytes
    /// limits their sum.
    constexpr size_t maxBufferedBytes = 8u << 20;
    /// Backpressure: while more bytes than this wait for a slow caller, the target's answer is not read.
    constexpr int64_t pauseThresholdBytes = 128 << 10;
    /// Retry-After of a refused request: the time in which a busy target completes some requests.
    constexpr milliseconds retryAfterRefusal { 300 };

    /// Bound of the Retry-After of a request that no target's limit lets pass: another instance, which a retry may
    /// reach, may have more of its share left.
    constexpr milliseconds maxRetryAfterLimit { 1000 };

    /// Shared parts of a prompt that are looked at; prompts have a few, and reports carry all of them.
    constexpr size_t maxSharedParts = 64;
    /// Retry-After of a request with a quarantined part: long, because only an answer to a prompt with the part, or the
    /// expiry of the evidence after an hour, ends the quarantine.
    constexpr milliseconds retryAfterQuarantine { 30000 };

    constexpr uint32_t maxUrgency = 9;
    /// The organisation's priority takes precedence; the route's priority orders requests within it.
    constexpr uint32_t urgenciesPerPriority = 3;
    /// A sample has the weight 1/8 in the moving average of the prefill cost.
    constexpr uint32_t costSmoothingDivisor = 8;
    constexpr uint32_t minTokensForCostSample = 512;

    quarantine::Incarnation incarnationOf(const Attempt& attempt)
    {
        const auto& registration = attempt.choice.target->registration;
        return { registration.id, registration.startedUnixMs };
    }

    std::vector<quarantine::PartHash> sharedPartsOf(const RequestMetadata& metadata)
    {
        std::vector<quarantine::PartHash> parts;
        for (size_t i = 0; i + 1 < metadata.prompt.size() && i < maxSharedParts; ++i)
            parts.push_back(quarantine::hashOfPart(metadata.model, metadata.prompt[i].id));
        return parts;
    }

}

std::string_view toString(Awaited awaited)
{
    switch (awaited) {
    case Awaited::Origin:
        return "record of the stream's begin";
    case Awaited::NextTarget:
        return "next target";
    case Awaited::Connection:
        return "connection";
    case Awaited::AnswerBegin:
        return "begin of the answer";
    case Awaited::NextBytes:
        return "rest of the answer";
    case Awaited::NextEvent:
        return "next event";
    case Awaited::Caller:
        break;
    }
    return "the caller, who reads slowly";
}

ForwardCall::ForwardCall(ForwardContext& context, ForwardRequest request)
    : context(context)
    , request(std::move(request))
    , parts(sharedPartsOf(this->request.metadata))
    , events(this->request.route->isResumable ? this->request.metadata.lastEventId : std::string())
    , attemptEndedAt(this->request.arrived)
{
    ++this->context.activeRequests;
    this->context.calls.insert(this);
}

ForwardCall::~ForwardCall()
{
    --this->context.activeRequests;
    this->context.calls.erase(this);
    this->context.awaitingEngines.erase(this);
}

bool ForwardCall::isRepeatable() const
{
    const auto& route = *this->request.route;
    return route.kind == RequestKind::Idempotent || (this->isStream() && route.isResumable);
}

void ForwardCall::start()
{
    this->request.exchange->onCallerGone = [self = this->weak_from_this()] {
        if (auto call = self.lock())
            call->onCallerGone();
    };
    this->request.exchange->onDrained = [self = this->weak_from_this()] {
        if (auto call = self.lock())
            call->resumeReading();
    };
    const auto* organisation = this->request.organisation;
    const auto& metadata = this->request.metadata;
    this->binding.stream = streams::streamIdOf(organisation ? organisation->name : "", metadata.requestId);
    if (!isTakeUp(*this->request.route, metadata)) {
        this->nextAttempt();
        return;
    }
    this->arrivedAtBootClock = BootClock::now();
    this->resolveOrigin();
}

/// Binds a stream that is taken up to the version that began it, as soon as that is known.
void ForwardCall::resolveOrigin()
{
    const auto now = Clock::now();
    if (this->context.isStopping) {
        this->endForStop();
        return;
    }
    if (this->request.exchange->hasCallerClosed()) {
        this->onCallerGone();
        return;
    }
    const auto* organisation = this->request.organisation;
    const auto& resumed = this->request.metadata.resumedRequestId;
    const bool namesOther = !resumed.empty() && resumed != this->request.metadata.requestId;
    const auto stream = namesOther ? std::optional(streams::streamIdOf(organisation ? organisation->name : "", resumed))
                                   : std::nullopt;
    const auto origin = this->context.origins.originOf(*this->request.route, stream, this->arrivedAtBootClock);
    if (origin) {
        bindTo(this->binding, origin->version, toString(origin->source));
        this->nextAttempt();
        return;
    }
    const auto& arrived = this->request.arrived;
    const auto waitUntil
        = arrived + std::min<Clock::duration>(maxOriginWait, (this->request.deadline - arrived) / originTimeDivisor);
    if (now >= waitUntil || this->context.origins.hasReadUpTo(this->arrivedAtBootClock)) {
        this->context.metrics.takeUpsRefused.Increment();
        this->fail({ ErrorKind::NoTarget, "the software version at which the stream began is not known",
            Execution::NotRun, retryAfterRefusal });
        return;
    }
    this->continueAt(now + minOfferInterval, &ForwardCall::resolveOrigin);
}

/// Goes on with @p step at @p moment, and keeps the object alive until then.
void ForwardCall::continueAt(Clock::time_point moment, void (ForwardCall::*step)())
{
    this->keptAlive = this->shared_from_this();
    QTimer::singleShot(remaining(moment, Clock::now()), &this->context.loop, [waiting = this->weak_from_this(), step] {
        const auto call = waiting.lock();
        if (!call)
            return;
        if (const auto self = std::exchange(call->keptAlive, nullptr))
            (self.get()->*step)();
    });
}

/// Whether the request may be retried at another target.
bool ForwardCall::mayTryAnotherTarget() const
{
    const bool mayReturn = !this->attempt && this->isContinuation() && !this->withdrawnTargets.empty();
    const bool mayRun = this->runs < this->request.route->maxTargets || mayReturn;
    if ((this->mayHaveRun || this->attempt) && !(this->isRepeatable() && mayRun))
        return false;
    if (this->sends >= maxSends || this->isSuspected)
        return false;
    return remaining(this->request.deadline, Clock::now()) >= minRemainingForRetry;
}

void ForwardCall::nextAttempt()
{
    const auto now = Clock::now();
    if (now >= this->request.deadline) {
        this->fail({ ErrorKind::DeadlineExceeded, "the deadline passed", this->execution(), {} });
        return;
    }
    if (this->context.isStopping) {
        this->endForStop();
        return;
    }
    if (this->request.exchange->hasCallerClosed()) {
        this->onCallerGone();
        return;
    }
    if (this->failIfQuarantined())
        return;
    if (const auto conflict = this->isWithdrawnStream() ? std::nullopt : this->findStopConflict(now)) {
        this->fail({ ErrorKind::NoTarget, *conflict, this->execution(), retryAfterStop });
        return;
    }
    auto choice = this->chooseTarget(this->nextAttemptQuery(now));
    if (!choice) {
        if (!this->waitForOtherVersion(now) && !this->waitForTarget(now))
            this->failWithoutTarget(now);
        return;
    }
    if (this->sends && !this->acquireRetry(choice->target->registration, now)) {
        if (this->isWithdrawnStream() && this->offerAgainAt(now + refusalBackoff, now))
            return;
        this->fail({ ErrorKind::Overloaded, "the retry budget is exhausted", this->execution(), retryAfterRefusal });
        return;
    }
    this->send(this->attempt, std::move(*choice));
}

/// Prepares attempts at another software version while no target of those that received the request takes it. Returns
/// whether one can be made once its record is written.
bool ForwardCall::prepareOtherVersion(ChoiceQuery query)
{
    if (this->binding.isBound || this->binding.versions.empty())
        return false;
    if (this->binding.extension) {
        applyExtension(this->binding, this->context.origins);
        return true;
    }
    query.softwareVersions = nullptr;
    const auto choice = this->chooseTarget(query);
    if (!choice)
        return false;
    const auto& registration = choice->target->registration;
    extend(this->binding, this->context.origins, registration.service, registration.softwareVersion);
    return true;
}

bool ForwardCall::waitForOtherVersion(Clock::time_point now)
{
    return this->prepareOtherVersion(this->nextAttemptQuery(now)) && this->offerAgainAt(now + minOfferInterval, now);
}

/// Waits for a target that takes the next attempt of a continuation. Returns false if there is none in time.
bool ForwardCall::waitForTarget(Clock::time_point now)
{
    const auto query = this->nextAttemptQuery(now);
    if (!this->attemptCount && now < this->request.arrived + maxVersionWait && isAwaitingVersion(query))
        return this->offerAgainAt(now + minOfferInterval, now);
    if (!this->isContinuation() || (this->binding.isBound && isVersionGone(query)))
        return false;
    const auto next = nextSend(query);
    if (!next && !this->isWithdrawnStream() && !isAwaitingWeights(query))
        return false;
    // A target that registers, returns or loads weights meanwhile is found at the next offer.
    const auto opensAt = next ? next->at : now + refusalBackoff;
    if (opensAt > this->request.deadline - minRemainingForRetry)
        return false;
    return this->offerAgainAt(std::clamp(opensAt, now + minOfferInterval, now + refusalBackoff), now);
}

/// Begins the next attempt at @p offer; false if that is too late for it.
bool ForwardCall::offerAgainAt(Clock::time_point offer, Clock::time_point now)
{
    if (offer > this->request.deadline - minRemainingForRetry)
        return false;
    if (!std::exchange(this->isPauseLogged, true)) {
        const auto after = std::chrono::duration_cast<milliseconds>(now - this->request.arrived);
        this->appendToLog("no attempt allowed now, waits after " + std::to_string(after.count()) + " ms");
    }
    this->continueAt(offer, &ForwardCall::nextAttempt);
    return true;
}

ChoiceQuery ForwardCall::nextAttemptQuery(Clock::time_point now) const
{
    if (!this->isContinuation())
        return this->choiceQuery(now, this->triedTargets);
    const bool mayRunElsewhere = !this->mayHaveRun || this->runs < this->request.route->maxTargets;
    return this->choiceQuery(now, this->excludedTargets, mayRunElsewhere ? nullptr : &this->withdrawnTargets);
}

ChoiceQuery ForwardCall::choiceQuery(
    Clock::time_point now, const std::vector<std::string>& excluded, const std::vector<std::string>* only) const
{
    const bool isResumable = this->request.route->isResumableStream();
    return { this->context.directory, *this->request.routes, *this->request.route, this->request.metadata,
        this->request.organisation, this->context.settings.place, this->context.settings.regions,
        this->context.prefixIndex, excluded, this->context.gate, this->context.settings.replacedWeightsTtl,
        QRandomGenerator::global()->generate64(), now, BootClock::now(), isResumable ? &this->context.origins : nullptr,
        isResumable ? this->binding.allowed() : nullptr, false, only };
}

std::optional<TargetChoice> ForwardCall::chooseTarget(const ChoiceQuery& query) const
{
    const auto& policy = this->context.settings.policy;
    auto choice = forward::chooseTarget(policy, query);
    if (choice || !this->binding.isBound)
        return choice;
    auto late = query;
    late.isLate = true;
    return forward::chooseTarget(policy, late);
}

void ForwardCall::failWithoutTarget(Clock::time_point now)
{
    const std::vector<std::string> none;
    const auto query = this->choiceQuery(now, none);
    if (this->binding.isBound && isVersionGone(query)) {
        this->fail({ ErrorKind::NoTarget, "no target of the software version at which the stream began",
            this->execution(), retryAfterRefusal });
        return;
    }
    const auto next = nextSend(query);
    if (!next || next->reason == Verdict::Open || next->reason == Verdict::Leaving) {
        this->fail({ ErrorKind::NoTarget, "no usable target for this request", this->execution(), retryAfterRefusal });
        return;
    }
    const auto wait = remaining(next->at, now);
    if (next->reason == Verdict::BackingOff)
        this->fail({ ErrorKind::Overloaded, "every usable target has asked for time", this->execution(), wait });
    else
        this->fail({ ErrorKind::Overloaded,
            next->reason == Verdict::NoRoom ? "no usable target has room"
                                            : "every usable target is at its request limit",
            this->execution(), std::clamp(wait, retryAfterRefusal, maxRetryAfterLimit) });
}

/// Whether the request has a grant for a retry at @p target. A grant that no attempt has used yet stays valid within
/// its service.
bool ForwardCall::acquireRetry(const directory::Registration& target, Clock::time_point now)
{
    auto& window = this->context.retryWindowOf(target.service);
    if (this->retryGrant && this->retryGrant->isOf(window))
        return true;
    this->retryGrant = window.tryAcquireRetry(now);
    if (this->retryGrant)
        return true;
    const bool isAskedAgain = this->attempt || this->isWithdrawnStream();
    if (isAskedAgain && std::exchange(this->isDenialLogged, true))
        return false;
    this->context.metrics.retriesDenied.Increment();
    const auto after = std::chrono::duration_cast<milliseconds>(now - this->request.arrived);
    const auto counts = window.counts(now);
    this->appendToLog("retry at " + target.id + " denied after " + std::to_string(after.count()) + " ms ("
        + std::to_string(counts.retries) + " retries sent, " + std::to_string(counts.granted) + " granted, "
        + std::to_string(counts.firstSends) + " first sends)");
    return false;
}

/// Why a planned stop leaves too little time for a further attempt, if it does.
std::optional<std::string> ForwardCall::findStopConflict(Clock::time_point now) const
{
    if (!this->context.stop)
        return std::nullopt;
    const auto& route = *this->request.route;
    const AttemptTimes times { route.kind, this->isRepeatable(), route.targetLatency, this->request.arrived,
        this->request.deadline };
    return forward::findStopConflict(*this->context.stop, times, now, BootClock::now());
}

Dispatch ForwardCall::dispatchFor(const TargetChoice& choice) const
{
    const auto& route = *this->request.route;
    const auto* organisation = this->request.organisation;
    Dispatch dispatch;
    dispatch.targetId = choice.target->registration.id;
    if (organisation)
        dispatch.organisation = organisation->name;
    const auto& stop = this->context.stop;
    const auto deadline = stop ? std::min(this->request.deadline, toDeadline(stop->end)) : this->request.deadline;
    dispatch.timeLeft = remaining(deadline, Clock::now());
    dispatch.cacheSalt = choice.cacheSalt;
    dispatch.weightsVersion = choice.weightsVersion;
    if (choice.weightsVersion) {
        const auto organisationPriority = organisation ? organisation->priority.value_or(0) : 0;
        // Each is bounded before the sum, which could overflow.
        dispatch.urgency = std::min(
            std::min(organisationPriority, maxUrgency) * urgenciesPerPriority + std::min(route.priority, maxUrgency),
            maxUrgency);
    }
    dispatch.fetchCacheFrom = choice.fetchCacheFrom;
    dispatch.saveCacheTo = choice.saveCacheTo;
    dispatch.resumeAfter = this->resumeAfter();
    return dispatch;
}

/// Grants the attempt the time for its next progress. Returns when onOverdue() is called.
Deadline ForwardCall::startProgressTimeout(Attempt& attempt)
{
    attempt.progressDeadline = this->responseDeadline();
    return this->attemptDeadline(attempt);
}

/// When onOverdue() is called: no progress was made, or the engine must have begun to answer.
Deadline ForwardCall::attemptDeadline(const Attempt& attempt) const
{
    auto deadline = attempt.progressDeadline;
    if (this->backup && &attempt == &*this->attempt)
        deadline = std::min(deadline, this->backup->takeoverDeadline);
    return isAwaitingEngine(attempt) ? std::min(deadline, this->beginDeadline(attempt)) : deadline;
}

bool ForwardCall::isConfirmed(const Attempt& attempt) const
{
    return this->context.directory.isReplacedVersionConfirmed(
        this->request.metadata.model, attempt.choice.weightsVersion);
}

/// When an engine must have begun to answer, because its weights were replaced and may not answer for longer.
Deadline ForwardCall::beginDeadline(const Attempt& attempt) const
{
    const auto& directory = this->context.directory;
    const auto replacement = directory.replacementOf(this->request.metadata.model, attempt.choice.weightsVersion);
    if (!replacement)
        return Deadline::max();
    const auto ttl = this->context.settings.replacedWeightsTtl;
    if (replacement->isTimeKnown())
        return toDeadline(replacement->notBefore + ttl - withdrawalMargin);
    if (!attempt.isConfirmed)
        return toDeadline(replacement->notAfter + directory::unconfirmedWeightsPeriod);
    // A confirmation ends a margin before the weights may no longer answer. Learning of that end takes up to half of
    // the margin.
    auto expiry = replacement->notAfter + ttl;
    if (const auto confirmationEndedAt = attempt.confirmationEndedAt)
        expiry = std::min(expiry, *confirmationEndedAt + directory::replacedWeightsMargin / 2);
    return toDeadline(expiry - withdrawalMargin);
}

/// The version, and for replaced weights how long ago this instance takes them to have been replaced.
std::string ForwardCall::describeWeights(uint64_t version) const
{
    const auto replacement = this->context.directory.replacementOf(this->request.metadata.model, version);
    const auto text = std::to_string(version);
    if (!version || !replacement)
        return text;
    if (!replacement->isTimeKnown())
        return text + " replaced before the start";
    const auto age = std::chrono::duration_cast<milliseconds>(BootClock::now() - replacement->notBefore);
    return text + " replaced " + std::to_string(age.count()) + " ms ago";
}

void ForwardCall::updateBeginDeadline()
{
    for (auto* slot : { &this->attempt, &this->backup }) {
        if (!*slot || !isAwaitingEngine(**slot) || !(*slot)->call)
            continue;
        auto& attempt = **slot;
        if (this->isConfirmed(attempt))
            attempt.isConfirmed = true;
        else if (attempt.isConfirmed && !attempt.confirmationEndedAt)
            attempt.confirmationEndedAt = BootClock::now();
        attempt.call->setDeadline(this->attemptDeadline(attempt));
    }
}

const std::vector<quarantine::PartHash>& ForwardCall::quarantineParts(bool withOwn)
{
    if (!withOwn || std::exchange(this->hasOwnPart, true))
        return this->parts;
    const auto& received = this->request.exchange->request();
    const auto& metadata = this->request.metadata;
    quarantine::RequestIdentity identity { received.method, metadata.host, received.target, {}, metadata.model, {},
        received.body };
    if (this->request.organisation)
        identity.caller = this->request.organisation->name;
    for (const auto& part : metadata.prompt)
        identity.prompt.push_back(part.id);
    this->parts.push_back(quarantine::hashOfRequest(identity));
    return this->parts;
}

bool ForwardCall::failIfQuarantined()
{
    auto& quarantine = this->context.quarantine;
    const auto part = quarantine.refuse(this->quarantineParts(quarantine.holdsRequests()), Clock::now());
    if (!part)
        return false;
    this->failQuarantined(*part);
    return true;
}

void ForwardCall::failQuarantined(quarantine::PartHash part)
{
    this->fail({ ErrorKind::PromptQuarantined, quarantine::describe(part) + " crashes targets", this->execution(),
        retryAfterQuarantine });
}

/// Whether the attempt has no answer yet and may be ended to keep its request from the target.
bool ForwardCall::isWithdrawable(const Attempt& attempt) const
{
    const bool mustComplete = this->request.route->kind == RequestKind::NonIdempotent && attempt.isSent;
    return isAwaitingEngine(attempt) || (!attempt.head.status && !mustComplete);
}

void ForwardCall::onPromptsQuarantined()
{
    if (!this->attempt || !this->attempt->call)
        return;
    auto& quarantine = this->context.quarantine;
    const auto part = quarantine.withdraw(this->quarantineParts(quarantine.holdsRequests()));
    if (!part)
        return;
    const auto outcome = "withdrawn: " + quarantine::describe(*part) + " is quarantined";
    if (this->backup && this->isWithdrawable(*this->backup))
        this->withdrawBackup(outcome);
    if (!this->isWithdrawable(*this->attempt))
        return;
    this->mayHaveRun = this->mayHaveRun || this->attempt->call->requestSent();
    this->attempt->call->cancel();
    this->endAttempt(this->attempt, outcome);
    if (this->backup)
        this->promoteBackup();
    else
        this->failQuarantined(*part);
}

void ForwardCall::endForStop()
{
    if (this->ended)
        return;
    constexpr const char* outcome = "withdrawn: the instance stops";
    this->withdrawBackup(outcome);
    if (this->attempt) {
        this->mayHaveRun = this->mayHaveRun || this->attempt->isSent;
        if (this->attempt->call)
            this->attempt->call->cancel();
        this->endAttempt(this->attempt, outcome);
    }
    this->fail({ ErrorKind::NoTarget, "the instance stops", this->execution(), retryAfterStop });
}

bool ForwardCall::hasOpenAttempt(const quarantine::Incarnation& incarnation, Clock::time_point since) const
{
    if (this->readingPaused)
        return false;
    return std::ranges::any_of(std::array { &this->attempt, &this->backup }, [&](const Slot* slot) {
        return *slot && (*slot)->call && (*slot)->sentAt < since && (*slot)->call->requestSent()
            && incarnationOf(**slot) == incarnation;
    });
}

void ForwardCall::addSilentTargets(std::set<std::string>& silent, Clock::time_point now) const
{
    if (this->readingPaused)
        return;
    for (const auto* slot : { &this->attempt, &this->backup }) {
        if (*slot && !(*slot)->via && (*slot)->isSent && (*slot)->waitingSince + paths::silenceTime <= now)
            silent.insert((*slot)->choice.target->registration.endpoint.toString());
    }
}

Awaited ForwardCall::awaited(const Slot& slot) const
{
    if (!slot) {
        const bool isOriginUnknown = isTakeUp(*this->request.route, this->request.metadata) && !this->binding.isBound;
        return isOriginUnknown ? Awaited::Origin : Awaited::NextTarget;
    }
    if (!slot->isSent)
        return Awaited::Connection;
    if (!slot->head.status)
        return Awaited::AnswerBegin;
    if (this->readingPaused)
        return Awaited::Caller;
    return slot->isRelayed ? Awaited::NextEvent : Awaited::NextBytes;
}

std::optional<OpenRequest> ForwardCall::openRequest() const
{
    if (this->ended)
        return std::nullopt;
    const auto& slot = this->attempt;
    return OpenRequest { this->request.metadata.requestId, slot ? slot->choice.target->registration.id : "",
        this->backup ? this->backup->choice.target->registration.id : "", this->awaited(slot),
        slot ? slot->waitingSince : this->attemptEndedAt, this->request.arrived, this->request.deadline };
}

std::optional<Error> ForwardCall::reportBrokenAttempt(const Attempt& attempt, const http::CallFailure& failure)
{
    if (failure.kind != http::CallFailureKind::Closed || !failure.requestSent)
        return std::nullopt;
    const auto& progress = attempt.progress;
    const quarantine::BrokenAttempt broken { incarnationOf(attempt), this->request.metadata.requestId,
        this->quarantineParts(true), progress.hasBegun(), progress.isBeginning() };
    const auto suspected = this->context.quarantine.findSuspected(broken);
    this->context.quarantine.onAttemptBroken(broken);
    if (!suspected)
        return std::nullopt;
    const std::string what = quarantine::isRequest(*suspected) ? "the same request, " : "prompts with part ";
    return Error { ErrorKind::TargetFailed,
        failure.detail + "; not retried: other targets ended when they began " + what + quarantine::toText(*suspected),
        Execution::Unknown, {} };
}

void ForwardCall::recordProgress(Attempt& attempt)
{
    attempt.waitingSince = Clock::now();
    if (!attempt.via)
        this->context.paths.onHeard(attempt.choice.target->registration.endpoint, attempt.waitingSince);
    const bool isOwnAnswer = !this->isMismatched(attempt) && !attempt.answerMetadata.notRun;
    auto& quarantine = this->context.quarantine;
    if (isOwnAnswer && attempt.progress.onBytes(attempt.waitingSince))
        quarantine.onSound(this->quarantineParts(quarantine.needsOwnPart()));
}

/// When a backup is sent for want of progress; the request's own deadline if no further attempt is allowed, or while
/// the target cannot make progress because the caller reads slowly.
Deadline ForwardCall::responseDeadline() const
{
    const bool mayRetry = this->isRepeatable() && this->runs < this->request.route->maxTargets;
    if (!mayRetry || this->readingPaused)
        return this->request.deadline;
    const auto& route = *this->request.route;
    const bool isMidStream = this->attempt && this->attempt->firstEventAfter && route.maxEventGap;
    const auto expected
        = isMidStream ? *route.maxEventGap * stallTimeoutFactor : route.targetLatency * responseTimeoutFactor;
    return std::min(this->request.deadline, Clock::now() + std::max(expected, minProgressTimeout));
}

void ForwardCall::send(Slot& slot, TargetChoice choice)
{
    const auto now = Clock::now();
    const auto& registration = choice.target->registration;
    this->context.metrics.attempts.Increment();
    if (!this->attemptCount++)
        this->context.retryWindowOf(registration.service).recordFirstSend(now);
    this->triedTargets.push_back(registration.id);
    this->excludedTargets.push_back(registration.id);
    const auto permit = this->context.gate.admit(registration, now);
    const auto request = this->context.dialect.dispatch(this->request.exchange->request(), this->dispatchFor(choice));
    const auto& metadata = this->request.metadata;
    const auto uncachedTokens
        = metadata.promptTokens - std::min(metadata.promptTokens, choice.policyChoice.cachedTokens);
    auto& attempt = slot.emplace();
    attempt.number = this->attemptCount;
    attempt.load = entry::TargetLoad(choice.target->state, uncachedTokens);
    attempt.sentAt = now;
    attempt.permit = permit;
    attempt.softwareVersion = registration.softwareVersion;
    if (this->request.route->isResumableStream())
        recordAttempt(this->binding, this->context.origins, registration.service, registration.softwareVersion);
    attempt.weights = this->describeWeights(choice.weightsVersion);
    attempt.waitingSince = now;
    const auto endpoint = registration.endpoint;
    attempt.choice = std::move(choice);
    attempt.isFirstRun = std::ranges::find(this->withdrawnTargets, registration.id) == this->withdrawnTargets.end();
    if (attempt.isFirstRun)
        ++this->runs;
    if (isAwaitingEngine(attempt))
        attempt.isConfirmed = this->isConfirmed(attempt);
    this->updateAwaiting();
    const auto deadline = this->startProgressTimeout(attempt);
    attempt.connectDeadline = std::min(now + connectTimeout, attempt.progressDeadline);
    http::CallOptions options { attempt.connectDeadline, deadline };
    if (!this->isRepeatable())
        options.minIdleSince = now - (this->isStream() ? maxIdleTimeForStreams : maxIdleTime);
    options.reuseConnection = this->canIdentifyAnswerFrom(endpoint);
    this->triedEndpoints.push_back(endpoint);
    options.via = this->context.paths.viaFor(endpoint, now);
    attempt.via = options.via;
    const auto self = this->shared_from_this();
    const auto number = attempt.number;
    attempt.bufferShare = BufferShare(this->context.buffers, [weak = this->weak_from_this(), number] {
        if (const auto call = weak.lock())
            call->onBufferLimit(number);
    });
    http::CallEvents events;
    events.mayWrite = [self, number] { return self->mayWrite(*self->slotOf(number)); };
    events.onSent = [self, number] { self->onSent(self->slotOf(number)); };
    events.onHead = [self, number](const http::ResponseHead& head) { self->onHead(self->slotOf(number), head); };
    events.onBody = [self, number](std::string_view bytes) { self->onBody(self->slotOf(number), bytes); };
    events.onComplete = [self, number] { self->onComplete(self->slotOf(number)); };
    events.onFailure
        = [self, number](const http::CallFailure& failure) { self->onFailure(self->slotOf(number), failure); };
    events.onOverdue = [self, number] { self->onOverdue(self->slotOf(number)); };
    attempt.call = this->context.targets.send(endpoint, request, options, std::move(events));
}

/// Whether the caller still waits and the target still takes the request, which may have waited since it was chosen.
bool ForwardCall::mayWrite(Attempt& attempt)
{
    if (this->request.exchange->hasCallerClosed())
        return false;
    const auto& target = *attempt.choice.target;
    const bool isResumedLate = this->binding.isBound && target.mayResumeLate(Clock::now());
    const bool isGone = (target.registration.isDraining && !isResumedLate) || target.isReplaced;
    attempt.verdict
        = isGone ? Verdict::Leaving : this->context.gate.confirm(target.registration, attempt.permit, Clock::now());
    return attempt.verdict == Verdict::Open;
}

/// Whether the request id tells the answer of @p endpoint to the next attempt from answers to all that was sent before
/// on a connection to it. Targets that succeed each other at an address share connections.
bool ForwardCall::canIdentifyAnswerFrom(const Endpoint& endpoint) const
{
    const auto& tried = this->triedEndpoints;
    return !this->request.metadata.requestId.empty() && std::find(tried.begin(), tried.end(), endpoint) == tried.end();
}

/// Whatever becomes of the attempt, the target counts it as an arrival from now on.
void ForwardCall::onSent(Slot& slot)
{
    slot->isSent = true;
    slot->waitingSince = Clock::now();
    ++this->sends;
    if (auto& quarantine = this->context.quarantine; quarantine.holdsRequests())
        quarantine.onSent(this->quarantineParts(true));
    if (&slot == &this->backup && this->isStream() && !this->resumeAfter().empty()) {
        slot->takeoverDeadline = Clock::now() + maxOverlap;
        this->attempt->call->setDeadline(this->attemptDeadline(*this->attempt));
    }
    if (!this->retryGrant)
        return;
    this->retryGrant->use(Clock::now());
    this->retryGrant.reset();
    this->context.metrics.retries.Increment();
}

void ForwardCall::onHead(Slot& slot, const http::ResponseHead& head)
{
    auto& received = *slot;
    received.head = head;
    received.answerMetadata = this->context.dialect.parseAnswer(head);
    this->updateAwaiting();
    this->updateTarget(received);
    if (this->isMismatched(received)) {
        this->onMismatchedAnswer(slot);
        return;
    }
    this->recordProgress(received);
    if (!this->isStream() || !isEventStream(head) || !isRelayableSuccess(received, this->request.metadata.requestId))
        return; // buffered until it is complete, then validated
    received.isRelayed = true;
    if (&slot == &this->attempt)
        this->beginRelay();
}

/// Relays the current attempt's stream from now on, and what was buffered of it.
void ForwardCall::beginRelay()
{
    this->mayHaveRun = true;
    if (!this->streamBegun) {
        this->streamBegun = true;
        const auto& head = this->attempt->head;
        this->request.exchange->beginStream(head.status, this->context.dialect.answerHeaders(head));
    }
    this->attempt->call->setDeadline(this->startProgressTimeout(*this->attempt));
    const auto buffered = std::exchange(this->attempt->body, {});
    if (!buffered.empty())
        this->relayEvents(buffered);
}

void ForwardCall::onOverdue(Slot& slot)
{
    const auto now = Clock::now();
    const bool mustEnd
        = now >= this->request.deadline || (isAwaitingEngine(*slot) && now >= this->beginDeadline(*slot));
    if (mustEnd)
        return; // the call fails
    if (&slot == &this->attempt && this->backup && now >= this->backup->takeoverDeadline) {
        this->endOverlap(now);
        return;
    }
    slot->progressDeadline = this->request.deadline;
    if (&slot == &this->attempt) {
        if (!this->binding.extension) // otherwise it was recorded when the wait for the extension began
            routing::recordFailure(*this->attempt->choice.target->state, now);
        this->startBackup();
    }
    slot->call->setDeadline(this->attemptDeadline(*slot));
}

void ForwardCall::startBackup()
{
    if (this->context.isStopping || this->backup || !this->canContinueElsewhere() || !this->mayTryAnotherTarget())
        return;
    const auto now = Clock::now();
    auto& quarantine = this->context.quarantine;
    if (quarantine.refuse(this->quarantineParts(quarantine.holdsRequests()), now))
        return;
    if (const auto conflict = this->findStopConflict(now)) {
        if (!std::exchange(this->isStopLogged, true))
            this->appendToLog("no other target asked: " + *conflict);
        return;
    }
    const auto query = this->choiceQuery(now, this->triedTargets);
    auto choice = this->chooseTarget(query);
    if (!choice && this->prepareOtherVersion(query)) {
        this->attempt->progressDeadline = now + minOfferInterval;
        return;
    }
    if (choice && this->acquireRetry(choice->target->registration, now)) {
        this->send(this->backup, std::move(*choice));
        return;
    }
    if (!choice && !std::exchange(this->isWaitLogged, true))
        this->appendToLog(
            "no other usable target while " + this->attempt->choice.target->registration.id + " made no progress");
    this->startProgressTimeout(*this->attempt); // another target may be usable by then
}

void ForwardCall::withdrawOther(const Slot& slot, const std::string& outcome)
{
    if (&slot == &this->attempt) {
        this->withdrawBackup("withdrawn: the target before made progress");
        return;
    }
    this->mayHaveRun = true;
    this->allowAgain(*this->attempt);
    this->attempt->call->cancel();
    this->endAttempt(this->attempt, outcome);
    if (this->streamBegun)
        this->context.metrics.streamsResumed.Increment();
    this->promoteBackup();
}

/// Ends the time in which a stream that is resumed runs at two targets. The target before is withdrawn only if another
/// attempt can follow that of the backup, which may still be refused.
void ForwardCall::endOverlap(Clock::time_point now)
{
    if (this->reserveAttemptAfterBackup(now)) {
        this->withdrawOther(this->backup, "no progress; the stream goes on at another target");
        return;
    }
    this->withdrawBackup("withdrawn: no attempt could follow it");
    this->startProgressTimeout(*this->attempt);
    this->attempt->call->setDeadline(this->attemptDeadline(*this->attempt));
}

/// Whether the request could be sent to some target if the current attempt were withdrawn and the backup refused. The
/// retry is granted then, and stays reserved until the backup makes progress.
bool ForwardCall::reserveAttemptAfterBackup(Clock::time_point now)
{
    const bool hasSends = this->sends < maxSends && !this->isSuspected;
    if (!hasSends || remaining(this->request.deadline, now) < minRemainingForRetry || this->findStopConflict(now))
        return false;
    const auto& current = this->attempt->choice.target->registration.id;
    auto excluded = this->excludedTargets;
    std::erase(excluded, current);
    auto withdrawn = this->withdrawnTargets;
    withdrawn.push_back(current);
    const bool mayRunElsewhere = this->runs < this->request.route->maxTargets;
    const auto choice = this->chooseTarget(this->choiceQuery(now, excluded, mayRunElsewhere ? nullptr : &withdrawn));
    return choice && this->acquireRetry(choice->target->registration, now);
}

/// Lets a further attempt reach the target of @p attempt, which did not fail.
void ForwardCall::allowAgain(const Attempt& attempt)
{
    const auto& id = attempt.choice.target->registration.id;
    std::erase(this->excludedTargets, id);
    if (attempt.isSent && attempt.isFirstRun)
        this->withdrawnTargets.push_back(id);
}

/// The target of @p attempt does not run the request after all.
void ForwardCall::discountRun(const Attempt& attempt)
{
    if (attempt.isFirstRun)
        --this->runs;
}

void ForwardCall::withdrawBackup(const std::string& outcome)
{
    if (!this->backup)
        return;
    if (this->backup->isSent)
        this->mayHaveRun = true;
    else
        this->discountRun(*this->backup);
    this->allowAgain(*this->backup);
    this->backup->call->cancel();
    this->endAttempt(this->backup, outcome);
}

/// Makes the backup the current attempt, which has ended.
void ForwardCall::promoteBackup()
{
    this->events.dropPartial();
    this->attempt = std::move(this->backup);
    this->backup.reset();
    this->updateAwaiting();
    this->attempt->call->setDeadline(this->startProgressTimeout(*this->attempt));
    if (this->attempt->isRelayed)
        this->beginRelay();
}

void ForwardCall::updateAwaiting()
{
    const auto isAwaiting = [](const Slot& slot) { return slot && isAwaitingEngine(*slot); };
    if (isAwaiting(this->attempt) || isAwaiting(this->backup))
        this->context.awaitingEngines.insert(this);
    else
        this->context.awaitingEngines.erase(this);
}

/// Abandons the attempt and closes its connection, on which answers no longer follow their requests.
void ForwardCall::onMismatchedAnswer(Slot& slot)
{
    slot->call->cancel();
    this->context.metrics.mismatchedAnswers.Increment();
    this->mayHaveRun = true;
    routing::recordFailure(*slot->choice.target->state, Clock::now());
    this->attemptFailed(slot, "answer to another request",
        { ErrorKind::TargetFailed, "the target sent the answer to another request", Execution::Unknown, {} });
}

/// Updates the target's weights version and identity from the head of an answer.
void ForwardCall::updateTarget(const Attempt& attempt)
{
    const auto& answer = attempt.answerMetadata;
    auto& target = *attempt.choice.target;
    const auto& model = this->request.metadata.model;
    applyStatement(this->context.gate, target.registration, answer, this->request.metadata.requestId, Clock::now());
    if (this->isMismatched(attempt))
        return;
    if (answer.weightsVersion && !model.empty() && target.weightsOf(model) < *answer.weightsVersion)
        target.registration.weights[model] = *answer.weightsVersion;
    if (answer.notRun && !answer.targetId.empty() && answer.targetId != target.registration.id) {
        target.isReplaced = true;
        observe::logChange(LogLevel::Warning, "target id mismatch",
            { { "expected", target.registration.id }, { "found", answer.targetId },
                { "address", target.registration.endpoint.toString() } });
        return;
    }
    this->context.limits.onAnswer(
        target.registration, { answer.requestLimit, answer.hasInvalidLimit }, attempt.sentAt, Clock::now());
    limits::RoomAnswer room { attempt.sentAt, answer.notRun && attempt.head.status == statusUnavailable, {} };
    if (answer.load)
        room.report = { answer.load->running, answer.load->waiting, answer.load->slots };
    this->context.gate.onRoomAnswer(
        target.registration, { answer.refusalLimit, answer.hasInvalidRefusalLimit }, room, Clock::now());
}

void ForwardCall::onBody(Slot& slot, std::string_view bytes)
{
    this->takeBody(slot, bytes);
    this->context.buffers.enforce(); // may end this call too
}

void ForwardCall::takeBody(Slot& slot, std::string_view bytes)
{
    auto& received = *slot;
    this->recordProgress(received);
    if (received.isRelayed && &slot == &this->attempt) {
        this->relayEvents(bytes);
        return;
    }
    appendTo(received.body, bytes, received.head.contentLength);
    this->updateBufferShare(slot);
    if (received.isRelayed && endsEvent(received.body, bytes.size()))
        this->takeOverWithEvent();
    else if (received.body.size() > maxBufferedBytes)
        this->onTooLarge(slot, "answer");
}

void ForwardCall::updateBufferShare(Slot& slot)
{
    const auto eventBytes = &slot == &this->attempt && slot->isRelayed ? this->events.bufferBytes() : 0;
    slot->bufferShare.set(slot->body.capacity() + eventBytes);
}

/// Abandons the attempt @p number, whose buffer is the largest when all buffers together pass their limit.
void ForwardCall::onBufferLimit(uint32_t number)
{
    auto& slot = this->slotOf(number);
    if (!slot || slot->number != number || this->ended)
        return;
    const auto now = Clock::now();
    const auto bytes = std::to_string(slot->body.capacity() + this->events.bufferBytes());
    this->context.metrics.attemptsOverBufferLimit.Increment();
    if (this->context.bufferLines.tryAcquire(true, now))
        observe::logChange(LogLevel::Warning, "attempt ended for the buffer limit",
            { { "request", this->request.metadata.requestId }, { "target", slot->choice.target->registration.id },
                { "bytes", bytes }, { "limit", std::to_string(this->context.buffers.limit()) } });
    this->abandon(slot, "ended for the buffer limit with " + bytes + " bytes",
        "the answer is larger than the buffers allow at present");
}

/// Abandons the attempt, since @p what does not end within the buffer's limit.
void ForwardCall::onTooLarge(Slot& slot, const std::string& what)
{
    this->abandon(slot, what + " too large", "the " + what + " is larger than allowed");
}

void ForwardCall::abandon(Slot& slot, const std::string& outcome, const std::string& detail)
{
    slot->call->cancel();
    this->mayHaveRun = true;
    routing::recordFailure(*slot->choice.target->state, Clock::now());
    this->attemptFailed(slot, outcome, { ErrorKind::TargetFailed, detail, Execution::Unknown, {} });
}

void ForwardCall::relayEvents(std::string_view bytes)
{
    const auto complete = this->events.feed(bytes);
    this->updateBufferShare(this->attempt);
    if (!complete.empty())
        this->relayComplete(complete);
    if (const auto fault = this->events.fault())
        this->onUnusableStream(this->attempt, *fault);
    else if (this->events.partialBytes() > maxBufferedBytes)
        this->onTooLarge(this->attempt, "event");
}

/// Abandons the attempt, whose further events cannot be relayed.
void ForwardCall::onUnusableStream(Slot& slot, EventFault fault)
{
    const std::string detail(toString(fault));
    slot->call->cancel();
    this->mayHaveRun = true;
    routing::recordFailure(*slot->choice.target->state, Clock::now());
    this->attemptFailed(slot, detail, { ErrorKind::StreamInterrupted, detail, Execution::Unknown, {} });
}

void ForwardCall::takeOverWithEvent()
{
    auto continued = this->events;
    continued.dropPartial();
    continued.feed(this->backup->body);
    if (continued.count() > this->events.count())
        this->withdrawOther(this->backup);
    else if (const auto fault = continued.fault())
        this->onUnusableStream(this->backup, *fault);
}

void ForwardCall::relayComplete(std::string_view complete)
{
    this->withdrawOther(this->attempt);
    this->recordFirstEvent();
    this->request.exchange->write(complete);
    if (this->request.exchange->unsentBytes() > pauseThresholdBytes && !this->readingPaused) {
        this->readingPaused = true;
        this->attempt->call->setPaused(true);
    }
    this->attempt->call->setDeadline(this->startProgressTimeout(*this->attempt));
}

void ForwardCall::recordFirstEvent()
{
    if (this->attempt->firstEventAfter)
        return;
    const auto now = Clock::now();
    this->retryGrant.reset(); // reserved in case that the target refuses
    this->attempt->firstEventAfter = std::chrono::duration_cast<milliseconds>(now - this->attempt->sentAt);
    this->attempt->load.promptDone();
    const auto& choice = this->attempt->choice;
    if (this->request.route->isResumableStream())
        recordEvent(
            this->binding, this->context.origins, choice.target->registration.service, this->attempt->softwareVersion);
    rememberPrompt(this->context.prefixIndex, choice, now);
    routing::recordSuccess(*choice.target->state);
    const std::chrono::duration<double> took = now - this->request.arrived;
    this->context.metrics.firstTokenSeconds.Observe(took.count());
    this->recordDelay(now);
    const auto prompt = this->request.metadata.promptTokens;
    const auto uncachedTokens = prompt - std::min(prompt, choice.policyChoice.cachedTokens);
    if (uncachedTokens < minTokensForCostSample || choice.policyChoice.cachedTokens || choice.fetchCacheFrom)
        return;
    auto& cost = choice.target->state->nanosecondsPerToken;
    const auto sample = static_cast<uint32_t>((now - this->attempt->sentAt).count() / uncachedTokens);
    const auto average = cost.load(std::memory_order_relaxed);
    cost.store(average ? average - average / costSmoothingDivisor + sample / costSmoothingDivisor : sample,
        std::memory_order_relaxed);
}

/// Records the delay of the first event beyond the time expected for this request's own work.
void ForwardCall::recordDelay(Clock::time_point now)
{
    const auto& choice = this->attempt->choice;
    const auto expected = choice.policyChoice.expectedFirstToken - choice.policyChoice.queueTime;
    const auto took = now - this->attempt->sentAt;
    routing::recordDelay(
        *choice.target->state, std::chrono::duration_cast<std::chrono::microseconds>(took - expected), now);
}

void ForwardCall::resumeReading()
{
    if (!this->readingPaused || this->request.exchange->unsentBytes() > pauseThresholdBytes / 2)
        return;
    this->readingPaused = false;
    if (!this->attempt || !this->attempt->call)
        return;
    this->attempt->call->setPaused(false);
    this->attempt->call->setDeadline(this->startProgressTimeout(*this->attempt));
}

void ForwardCall::onComplete(Slot& slot)
{
    const auto& answer = slot->answerMetadata;
    const auto status = slot->head.status;
    auto& state = *slot->choice.target->state;
    if (answer.notRun) {
        this->onNotRun(slot);
        return;
    }
    this->mayHaveRun = true;
    const bool isUnusable = (isSuccess(status) && !answer.isStamped) || answer.isEncoded || impliesNotRun(status);
    if (auto& quarantine = this->context.quarantine; !isUnusable && quarantine::provesSoundness(slot->head))
        quarantine.onSound(this->quarantineParts(quarantine.needsOwnPart()));
    const bool isTargetFailure = isUnusable || status >= firstServerError;
    if (isTargetFailure)
        routing::recordFailure(state, Clock::now());
    const bool mayContinueElsewhere
        = this->isRepeatable() && this->mayTryAnotherTarget() && !this->findStopConflict(Clock::now());
    const bool isContinuedElsewhere = this->backup.has_value() || mayContinueElsewhere;
    if (slot->isRelayed) {
        this->completeStream(slot);
    } else if (isTargetFailure && (isUnusable || isContinuedElsewhere)) {
        this->attemptFailed(slot, "status " + std::to_string(status),
            { ErrorKind::TargetFailed, "the target's answer cannot be relayed", Execution::Unknown, {} });
    } else if (this->streamBegun) {
        this->attemptFailed(slot, "status " + std::to_string(status),
            { ErrorKind::StreamInterrupted, "the stream could not be resumed", Execution::Unknown, {} });
    } else {
        this->withdrawOther(slot);
        this->relayBufferedAnswer();
    }
}

/// Handles a target's statement that it did not run the request.
void ForwardCall::onNotRun(Slot& slot)
{
    auto& target = *slot->choice.target;
    const auto status = slot->head.status;
    const auto& model = this->request.metadata.model;
    const bool isLoading
        = slot->choice.weightsVersion && target.weightsOf(model) < this->context.directory.wantedWeights(model);
    target.refusingUntil = Clock::now() + (isLoading ? weightsLoadingBackoff : refusalBackoff);
    this->discountRun(*slot);
    std::erase(this->excludedTargets, target.registration.id);
    this->attemptFailed(slot, "refused " + std::to_string(status),
        { ErrorKind::Overloaded, "the target refused to run the request", this->execution(), retryAfterRefusal });
}

void ForwardCall::completeStream(Slot& slot)
{
    const bool endsWithinEvent = &slot == &this->attempt ? this->events.hasPartial() : !slot->body.empty();
    if (endsWithinEvent) {
        this->attemptFailed(slot, "stream ended within an event",
            { ErrorKind::StreamInterrupted, "the stream ended within an event", Execution::Unknown, {} });
        return;
    }
    // The target before is still open and may go on, or nothing marks the end of this answer, which may be cut off.
    const bool isContradicted = &slot == &this->backup && this->streamBegun;
    if (isContradicted || (this->events.isAwaitingContinuation() && slot->head.endsWithConnection)) {
        this->attemptFailed(slot, "stream ended before an event",
            { ErrorKind::StreamInterrupted, "the stream ended before an event", Execution::Unknown, {} });
        return;
    }
    this->withdrawOther(slot);
    this->endAttempt(this->attempt, "answered");
    this->request.exchange->finish();
    this->end("answered", statusOk);
}

void ForwardCall::relayBufferedAnswer()
{
    const auto status = this->attempt->head.status;
    const auto headers = this->context.dialect.answerHeaders(this->attempt->head);
    auto body = std::move(this->attempt->body);
    if (status < firstServerError)
        routing::recordSuccess(*this->attempt->choice.target->state);
    this->endAttempt(this->attempt, "answered " + std::to_string(status));
    this->request.exchange->respondWithBody(status, headers, std::move(body));
    this->end("answered", status);
}

void ForwardCall::onFailure(Slot& slot, const http::CallFailure& failure)
{
    const bool isWithdrawn
        = failure.requestSent && isAwaitingEngine(*slot) && Clock::now() >= this->beginDeadline(*slot);
    if (failure.kind == http::CallFailureKind::Withheld) {
        this->onWithheld(slot);
        return;
    }
    if (!isWithdrawn)
        routing::recordFailure(*slot->choice.target->state, Clock::now());
    if (failure.requestSent)
        this->mayHaveRun = true;
    else
        this->discountRun(*slot);
    if (isWithdrawn)
        this->allowAgain(*slot);
    if (failure.isUnreached && !slot->via && Clock::now() < slot->connectDeadline)
        slot->choice.target->isDoubted = true;
    if (this->hasOtherPath(*slot, failure) || this->mayBeReachedLater(*slot, failure)) {
        std::erase(this->excludedTargets, slot->choice.target->registration.id);
        std::erase(this->triedTargets, slot->choice.target->registration.id);
    }
    const bool isPastDeadline = Clock::now() >= this->request.deadline;
    const auto kind = isPastDeadline ? ErrorKind::DeadlineExceeded : ErrorKind::TargetFailed;
    const auto detail = isWithdrawn ? "withdrawn: the target's weights may no longer answer" : failure.detail;
    if (const auto error = this->reportBrokenAttempt(*slot, failure)) {
        this->isSuspected = true;
        this->attemptFailed(slot, error->detail, *error);
        return;
    }
    const auto ownPart = this->hasOwnPart ? ", " + quarantine::describe(this->parts.back()) : "";
    this->attemptFailed(slot, detail + ownPart, { kind, detail, this->execution(), retryAfterRefusal });
}

/// Reports the failure to the paths. Returns whether the target may be reached on another one.
bool ForwardCall::hasOtherPath(const Attempt& attempt, const http::CallFailure& failure)
{
    auto& paths = this->context.paths;
    const auto& endpoint = attempt.choice.target->registration.endpoint;
    const auto now = Clock::now();
    if (failure.kind == http::CallFailureKind::Closed && !attempt.head.status && !attempt.via)
        paths.onBroken(endpoint, now);
    if (!failure.isUnreached || this->attemptCount >= maxAttempts)
        return false;
    const auto status = failure.tunnelStatus;
    return paths.onUnreached(
        endpoint, attempt.via, status ? std::optional(paths::answerOf(*status)) : std::nullopt, now);
}

/// Whether a target to which no connection was opened in time may receive a further attempt: connections open slowly
/// while a target's queue of connections is full, or its machine or link loses packets.
bool ForwardCall::mayBeReachedLater(const Attempt& attempt, const http::CallFailure& failure) const
{
    const auto now = Clock::now();
    const bool isUnreached = failure.kind == http::CallFailureKind::ConnectFailed && !failure.requestSent
        && now >= attempt.connectDeadline;
    if (!isUnreached || this->attemptCount >= maxAttempts)
        return false;
    const auto& arrived = this->request.arrived;
    return this->streamBegun || now < arrived + (this->request.deadline - arrived) / unsentTimeDivisor;
}

/// The target no longer took requests, or the caller had left, when the first byte was due, which is no failure of the
/// target.
void ForwardCall::onWithheld(Slot& slot)
{
    if (this->request.exchange->hasCallerClosed()) {
        this->onCallerGone();
        return;
    }
    this->discountRun(*slot);
    this->context.metrics.attemptsWithheld.Increment();
    const auto outcome = "withheld: the target " + std::string(backoff::toString(slot->verdict));
    this->attemptFailed(slot, outcome, { ErrorKind::Overloaded, outcome, this->execution(), retryAfterRefusal });
}

void ForwardCall::attemptFailed(Slot& slot, const std::string& outcome, const Error& error)
{
    const bool wasBackup = &slot == &this->backup;
    this->endAttempt(slot, outcome);
    if (wasBackup) {
        this->startProgressTimeout(*this->attempt); // the next backup, if any, is made after that
        this->attempt->call->setDeadline(this->attemptDeadline(*this->attempt));
        return;
    }
    if (this->backup) {
        this->promoteBackup();
        return;
    }
    this->events.dropPartial();
    if (!this->canContinueElsewhere() || !this->mayTryAnotherTarget()) {
        this->fail(error);
        return;
    }
    if (this->streamBegun)
        this->context.metrics.streamsResumed.Increment();
    this->nextAttempt();
}

void ForwardCall::endAttempt(Slot& slot, const std::string& outcome)
{
    this->attemptEndedAt = Clock::now();
    const auto& choice = slot->choice;
    const auto took = std::chrono::duration_cast<milliseconds>(this->attemptEndedAt - slot->sentAt);
    const auto firstEvent = slot->firstEventAfter;
    if (!slot->isSent)
        this->context.metrics.attemptsUnsent.Increment();
    this->appendToLog(choice.target->registration.id + " (" + std::string(routing::toString(choice.policyChoice.reason))
        + ", " + std::to_string(choice.candidates) + " candidates"
        + (choice.withheld ? ", " + std::to_string(choice.withheld) + " take none now" : "") + ", software "
        + slot->softwareVersion + ", weights " + slot->weights + ", cached "
        + std::to_string(choice.policyChoice.cachedTokens) + "/" + std::to_string(this->request.metadata.promptTokens)
        + (choice.fetchCacheFrom ? ", fetched" : "") + ", "
        + (firstEvent ? "first event after " + std::to_string(firstEvent->count()) + " of " : "")
        + std::to_string(took.count()) + " ms, " + (slot->via ? "through " + slot->via->toString() + ", " : "")
        + (slot->isSent ? "sent" : "not sent") + "): " + outcome);
    slot.reset();
    if (&slot == &this->attempt)
        this->readingPaused = false;
    this->updateAwaiting();
}

void ForwardCall::appendToLog(const std::string& entry)
{
    if (!this->attemptLog.empty())
        this->attemptLog += ';';
    this->attemptLog += entry;
}

void ForwardCall::fail(const Error& error)
{
    if (this->ended)
        return;
    for (auto* slot : { &this->attempt, &this->backup }) {
        if (!*slot)
            continue;
        this->mayHaveRun = this->mayHaveRun || (*slot)->isSent;
        (*slot)->call->cancel();
        this->endAttempt(*slot, "given up with the request");
    }
    this->context.metrics.failed(this->streamBegun ? ErrorKind::StreamInterrupted : error.kind).Increment();
    if (this->streamBegun) {
        // Closing the connection without a final chunk shows the caller that the stream is incomplete.
        this->request.exchange->abort();
        this->end(std::string(answerFor(ErrorKind::StreamInterrupted).name) + ": " + error.detail, 0);
        return;
    }
    // The answer may state "not run" only if no target can have run the request. Otherwise its status and headers
    // must not imply it.
    auto reported = error;
    if (this->mayHaveRun && reported.execution == Execution::NotRun)
        reported.execution = Execution::Unknown;
    if (reported.execution != Execution::NotRun) {
        if (impliesNotRun(answerFor(reported.kind).status))
            reported.kind = ErrorKind::TargetFailed;
        reported.retryAfter = milliseconds(0);
    } else if (reported.kind == ErrorKind::TargetFailed) {
        reported.kind = ErrorKind::NoTarget;
    }
    http::respondWithError(*this->request.exchange, reported, this->request.metadata.requestId);
    this->end(std::string(answerFor(reported.kind).name) + ": " + error.detail, answerFor(reported.kind).status);
}

void ForwardCall::end(const std::string& outcome, int status)
{
    this->ended = true;
    this->keptAlive.reset(); // the caller of this function holds the object too
    this->retryGrant.reset();
    if (status >= statusOk && status < firstRedirect)
        this->context.metrics.answered.Increment();
    const auto took = Clock::now() - this->request.arrived;
    const auto configAge = this->request.configAge;
    observe::logRequest(status >= statusOk && status < firstRedirect ? observe::RequestOutcome::Answered
                                                                     : observe::RequestOutcome::Failed,
        { { "request", this->request.metadata.requestId }, { "route", this->request.route->name },
            { "config", std::to_string(this->request.routes->version()) },
            { "config_age_ms", configAge ? std::to_string(configAge->count()) : "unproved" },
            { "resumes", this->request.metadata.resumedRequestId },
            { "software", this->binding.isBound ? *this->binding.versions.begin() : "any" },
            { "software_from", this->binding.source }, { "status", std::to_string(status) }, { "outcome", outcome },
            { "execution", std::string(toString(this->execution())) },
            { "took_ms", std::to_string(std::chrono::duration_cast<milliseconds>(took).count()) },
            { "attempts", this->attemptLog } });
}

void ForwardCall::onCallerGone()
{
    if (this->ended)
        return;
    if (!std::exchange(this->isCallerGone, true))
        this->context.metrics.callersGone.Increment();
    // A non-idempotent request that was sent runs to completion: cancelling the call would not undo it.
    const bool mustComplete = this->request.route->kind == RequestKind::NonIdempotent && this->attempt
        && this->attempt->call && this->attempt->call->requestSent();
    if (mustComplete)
        return;
    for (auto* slot : { &this->backup, &this->attempt }) {
        if (!*slot)
            continue;
        this->mayHaveRun = this->mayHaveRun || (*slot)->isSent;
        if ((*slot)->call)
            (*slot)->call->cancel();
        this->endAttempt(*slot, "the caller disconnected");
    }
    this->end("the caller disconnected", 0);
}

}
