#include "forward/ForwardCall.h"

#include <QRandomGenerator>
#include <algorithm>

namespace dragonfly::forward {

using directory::RequestKind;
using observe::LogLevel;
using std::chrono::milliseconds;

namespace {

    constexpr int statusOk = 200;
    constexpr int firstRedirect = 300;
    constexpr int statusRequestTimeout = 408;
    constexpr int statusMisdirected = 421;
    constexpr int statusTooManyRequests = 429;
    constexpr int firstServerError = 500;
    constexpr int statusUnavailable = 503;

    /// Longest wait for a connection: several round trips to another region.
    constexpr milliseconds connectTime { 400 };
    /// Kept connections that were idle for longer carry no request that may not be repeated: the target, or
    /// something on the way, may have dropped them.
    constexpr milliseconds soundIdleTime { 1000 };
    /// The same for streams: a new connection to another region delays the first token by a round trip.
    constexpr milliseconds soundIdleTimeOfStreams { 4000 };
    /// A target that refused is not asked again for this time: about as long as it takes to work off a queue.
    constexpr milliseconds refusalPause { 250 };
    /// The same for an engine that is behind with its weights, and so probably loads new ones. Its new
    /// registration ends the pause sooner.
    constexpr milliseconds loadingPause { 1500 };
    /// Silence after which a repeatable request is sent elsewhere, as a multiple of the route's target latency.
    constexpr int silenceFactor = 2;
    constexpr milliseconds shortestSilence { 350 };
    /// A resumable stream that has begun goes on elsewhere after this multiple of its longest pause.
    constexpr int stallFactor = 4;
    /// A deadline that is nearer leaves no time for another target.
    constexpr milliseconds shortestAttempt { 30 };
    /// Targets that one request is offered to at most, whatever they answer.
    constexpr uint32_t mostSends = 4;
    /// Largest answer that is held back until it is whole.
    constexpr size_t mostWholeBytes = 8u << 20;
    /// Bytes waiting for a slow caller at which its target is paused.
    constexpr int64_t slowCallerBytes = 128 << 10;
    /// When a caller that was refused may come back: the time in which a busy target works off some requests.
    constexpr milliseconds retryAfterRefusal { 300 };

    constexpr uint32_t mostUrgency = 9;
    /// An organisation's priority goes before the route's; routes are told apart within it.
    constexpr uint32_t urgenciesPerRank = 3;
    constexpr uint32_t costSmoothing = 8;
    constexpr uint32_t leastTokensToLearnFrom = 512;

    /// Statuses that promise the caller that its request did not run.
    bool promisesNotRun(int status)
    {
        return status == statusRequestTimeout || status == statusMisdirected || status == statusTooManyRequests
            || status == statusUnavailable;
    }

}

ForwardCall::ForwardCall(ForwardContext& context, ForwardRequest request)
    : context(context)
    , request(std::move(request))
{
    ++this->context.activeRequests;
}

ForwardCall::~ForwardCall()
{
    --this->context.activeRequests;
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
            call->callerGone();
    };
    this->request.exchange->onDrained = [self = this->weak_from_this()] {
        if (auto call = self.lock())
            call->watchSlowCaller();
    };
    this->nextAttempt();
}

/// Whether another target may be asked after at least one was.
bool ForwardCall::mayAskFurtherTarget()
{
    if (this->mayHaveRun && (!this->isRepeatable() || this->runs >= this->request.route->mostTargets))
        return false;
    if (this->sends >= mostSends)
        return false;
    return remaining(this->request.deadline, Clock::now()) >= shortestAttempt;
}

void ForwardCall::nextAttempt()
{
    const auto now = Clock::now();
    if (now >= this->request.deadline) {
        this->fail({ ErrorKind::DeadlineExceeded, "the deadline passed", this->execution(), {} });
        return;
    }
    const ChoiceQuery query { this->context.directory, *this->request.routes, *this->request.route,
        this->request.description, this->request.organisation, this->context.settings.place,
        this->context.settings.regions, this->context.memory, this->tried, this->context.settings.weightsTime,
        QRandomGenerator::global()->generate64(), now };
    auto choice = chooseTarget(this->context.settings.policy, query);
    if (!choice) {
        this->fail({ ErrorKind::NoTarget, "no target takes this request now", this->execution(), retryAfterRefusal });
        return;
    }
    if (this->sends && !this->context.retriesOf(choice->target->registration.service).take(now)) {
        this->context.metrics.retriesDenied.Increment();
        this->fail({ ErrorKind::Overloaded, "the budget of retries is used up", this->execution(), retryAfterRefusal });
        return;
    }
    this->send(std::move(*choice));
}

Dispatch ForwardCall::dispatchFor(const TargetChoice& choice) const
{
    const auto& route = *this->request.route;
    const auto* organisation = this->request.organisation;
    Dispatch dispatch;
    dispatch.targetId = choice.target->registration.id;
    if (organisation)
        dispatch.organisation = organisation->name;
    dispatch.timeLeft = remaining(this->request.deadline, Clock::now());
    dispatch.cacheSalt = choice.cacheSalt;
    dispatch.weightsVersion = choice.weightsVersion;
    if (choice.weightsVersion) {
        const auto rank = organisation ? organisation->priority.value_or(0) : 0;
        dispatch.urgency = std::min(rank * urgenciesPerRank + route.priority, mostUrgency);
    }
    dispatch.fetchCacheFrom = choice.fetchCacheFrom;
    dispatch.saveCacheTo = choice.saveCacheTo;
    dispatch.resumeAfter
        = this->events.lastId().empty() ? this->request.description.lastEventId : this->events.lastId();
    return dispatch;
}

/// When the attempt is given up for another one, or the request's own deadline when it will not be.
Deadline ForwardCall::progressDeadline() const
{
    const bool mayGoOn = this->isRepeatable() && this->runs < this->request.route->mostTargets;
    if (!mayGoOn)
        return this->request.deadline;
    const auto& route = *this->request.route;
    const bool isFlowing = this->attempt && this->attempt->firstEventAfter && route.longestPause;
    const auto expected = isFlowing ? *route.longestPause * stallFactor : route.targetLatency * silenceFactor;
    return std::min(this->request.deadline, Clock::now() + std::max(expected, shortestSilence));
}

void ForwardCall::send(TargetChoice choice)
{
    const auto now = Clock::now();
    const auto& registration = choice.target->registration;
    auto& metrics = this->context.metrics;
    metrics.attempts.Increment();
    if (this->sends)
        metrics.retries.Increment();
    else
        this->context.retriesOf(registration.service).noteFirst(now);
    this->tried.push_back(registration.id);
    const auto request = this->context.dialect.dispatch(this->request.exchange->request(), this->dispatchFor(choice));
    const auto& description = this->request.description;
    const auto uncached = description.promptTokens - std::min(description.promptTokens, choice.choice.cachedTokens);
    this->attempt = Attempt {};
    this->attempt->load = entry::TargetLoad(choice.target->state, uncached);
    this->attempt->sentAt = now;
    const auto endpoint = registration.endpoint;
    this->attempt->choice = std::move(choice);
    ++this->runs;
    http::CallOptions options { now + connectTime, this->progressDeadline() };
    if (!this->isRepeatable())
        options.oldestIdle = now - (this->isStream() ? soundIdleTimeOfStreams : soundIdleTime);
    http::CallEvents events;
    events.onHead = [self = this->shared_from_this()](const http::ResponseHead& head) { self->onHead(head); };
    events.onBody = [self = this->shared_from_this()](std::string_view bytes) { self->onBody(bytes); };
    events.onComplete = [self = this->shared_from_this()] { self->onComplete(); };
    events.onFailure
        = [self = this->shared_from_this()](const http::CallFailure& failure) { self->onFailure(failure); };
    this->attempt->call = this->context.targets.send(endpoint, request, options, std::move(events));
}

void ForwardCall::onHead(const http::ResponseHead& head)
{
    this->attempt->head = head;
    this->attempt->note = this->context.dialect.readAnswer(head);
    this->noteAnswer();
    const bool isSuccess = head.status >= statusOk && head.status < firstRedirect;
    const auto& note = this->attempt->note;
    if (!this->isStream() || !isSuccess || this->isForeignAnswer() || !note.isStamped || note.isEncoded)
        return; // held back until it is whole, then judged
    this->mayHaveRun = true;
    if (!this->streamBegun) {
        this->streamBegun = true;
        this->request.exchange->beginStream(head.status, this->context.dialect.answerHeaders(head));
    }
    this->attempt->call->setDeadline(this->progressDeadline());
}

/// Whether the answer belongs to another request, or was not made by the target that was asked.
bool ForwardCall::isForeignAnswer() const
{
    const auto& note = this->attempt->note;
    if (note.notRun && note.requestId.empty())
        return false;
    return note.requestId != this->request.description.requestId;
}

/// Learns from the head of an answer what the target says of itself.
void ForwardCall::noteAnswer()
{
    const auto& note = this->attempt->note;
    auto& target = *this->attempt->choice.target;
    const auto& model = this->request.description.model;
    if (this->isForeignAnswer())
        return;
    if (note.weightsVersion && !model.empty() && target.weightsOf(model) < *note.weightsVersion)
        target.registration.weights[model] = *note.weightsVersion;
    if (note.notRun && !note.targetId.empty() && note.targetId != target.registration.id) {
        target.isReplaced = true;
        observe::logChange(LogLevel::Warning, "another target answers at the address",
            { { "expected", target.registration.id }, { "found", note.targetId },
                { "address", target.registration.endpoint.toString() } });
    }
}

void ForwardCall::onBody(std::string_view bytes)
{
    if (this->streamBegun && this->mayHaveRun && this->attempt->head.status == statusOk && !this->isForeignAnswer()) {
        this->relayEvents(bytes);
        return;
    }
    this->attempt->body.append(bytes);
    if (this->attempt->body.size() <= mostWholeBytes)
        return;
    this->attempt->call->cancel();
    this->mayHaveRun = true;
    this->attemptFailed(
        "answer too large", { ErrorKind::TargetFailed, "the answer is larger than allowed", Execution::Unknown, {} });
}

void ForwardCall::relayEvents(std::string_view bytes)
{
    const auto whole = this->events.feed(bytes);
    if (whole.empty())
        return;
    this->noteFirstEvent();
    this->request.exchange->write(whole);
    if (this->request.exchange->unsentBytes() > slowCallerBytes && !this->paused) {
        this->paused = true;
        this->attempt->call->setPaused(true);
    }
    this->attempt->call->setDeadline(this->progressDeadline());
}

void ForwardCall::noteFirstEvent()
{
    if (this->attempt->firstEventAfter)
        return;
    const auto now = Clock::now();
    this->attempt->firstEventAfter = std::chrono::duration_cast<milliseconds>(now - this->attempt->sentAt);
    this->attempt->load.promptDone();
    const auto& choice = this->attempt->choice;
    rememberPrompt(this->context.memory, choice, now);
    routing::noteSuccess(*choice.target->state);
    const std::chrono::duration<double> took = now - this->request.arrived;
    this->context.metrics.firstTokenSeconds.Observe(took.count());
    this->noteDelay(now);
    const auto prompt = this->request.description.promptTokens;
    const auto work = prompt - std::min(prompt, choice.choice.cachedTokens);
    if (work < leastTokensToLearnFrom || choice.choice.cachedTokens || choice.fetchCacheFrom)
        return;
    auto& cost = choice.target->state->nanosecondsPerToken;
    const auto seen = static_cast<uint32_t>((now - this->attempt->sentAt).count() / work);
    const auto before = cost.load(std::memory_order_relaxed);
    cost.store(before ? before - before / costSmoothing + seen / costSmoothing : seen, std::memory_order_relaxed);
}

/// Tells the target's state by how much the first event came later than this request's own work explains.
void ForwardCall::noteDelay(Clock::time_point now)
{
    const auto& choice = this->attempt->choice;
    const auto expected = choice.choice.expectedFirstToken - choice.choice.queueTime;
    const auto took = now - this->attempt->sentAt;
    routing::noteDelay(
        *choice.target->state, std::chrono::duration_cast<std::chrono::microseconds>(took - expected), now);
}

void ForwardCall::watchSlowCaller()
{
    if (!this->paused || this->request.exchange->unsentBytes() > slowCallerBytes / 2)
        return;
    this->paused = false;
    if (this->attempt && this->attempt->call)
        this->attempt->call->setPaused(false);
}

void ForwardCall::onComplete()
{
    const auto& note = this->attempt->note;
    const auto status = this->attempt->head.status;
    auto& state = *this->attempt->choice.target->state;
    if (this->isForeignAnswer()) {
        this->context.metrics.mismatchedAnswers.Increment();
        this->mayHaveRun = true;
        routing::noteFailure(state, Clock::now());
        this->attemptFailed("answer to another request",
            { ErrorKind::TargetFailed, "the target sent the answer to another request", Execution::Unknown, {} });
        return;
    }
    if (note.notRun) {
        this->onNotRun();
        return;
    }
    this->mayHaveRun = true;
    const bool isSuccess = status >= statusOk && status < firstRedirect;
    const bool isFalse = (isSuccess && !note.isStamped) || note.isEncoded || promisesNotRun(status);
    const bool mayRepeat = isFalse || status >= firstServerError;
    if (mayRepeat)
        routing::noteFailure(state, Clock::now());
    if (this->streamBegun && isSuccess && !isFalse) {
        this->finishStream();
    } else if (mayRepeat && (isFalse || (this->isRepeatable() && this->mayAskFurtherTarget()))) {
        this->attemptFailed("status " + std::to_string(status),
            { ErrorKind::TargetFailed, "the target's answer cannot be passed on", Execution::Unknown, {} });
    } else if (this->streamBegun) {
        this->attemptFailed("status " + std::to_string(status),
            { ErrorKind::StreamInterrupted, "the stream could not be resumed", Execution::Unknown, {} });
    } else {
        this->answerWhole();
    }
}

/// The target's own word that it did not run the request.
void ForwardCall::onNotRun()
{
    auto& target = *this->attempt->choice.target;
    const auto status = this->attempt->head.status;
    const auto& model = this->request.description.model;
    const bool isLoading = this->attempt->choice.weightsVersion
        && target.weightsOf(model) < this->context.directory.wantedWeights(model);
    target.refusingUntil = Clock::now() + (isLoading ? loadingPause : refusalPause);
    ++this->sends;
    --this->runs;
    this->attemptFailed("refused " + std::to_string(status),
        { ErrorKind::Overloaded, "the target refused to run the request", this->execution(), retryAfterRefusal });
}

void ForwardCall::finishStream()
{
    if (this->events.hasPartial()) {
        this->attemptFailed("stream ended within an event",
            { ErrorKind::StreamInterrupted, "the stream ended within an event", Execution::Unknown, {} });
        return;
    }
    this->endAttempt("answered");
    this->request.exchange->finish();
    this->end("answered", statusOk);
}

void ForwardCall::answerWhole()
{
    const auto status = this->attempt->head.status;
    const auto headers = this->context.dialect.answerHeaders(this->attempt->head);
    const auto body = std::move(this->attempt->body);
    if (status < firstServerError)
        routing::noteSuccess(*this->attempt->choice.target->state);
    this->endAttempt("answered " + std::to_string(status));
    this->request.exchange->respond(status, headers, body);
    this->end("answered", status);
}

void ForwardCall::onFailure(const http::CallFailure& failure)
{
    routing::noteFailure(*this->attempt->choice.target->state, Clock::now());
    if (failure.requestSent) {
        ++this->sends;
        this->mayHaveRun = true;
    } else {
        --this->runs;
    }
    const bool isLate = Clock::now() >= this->request.deadline;
    const auto kind = isLate ? ErrorKind::DeadlineExceeded : ErrorKind::TargetFailed;
    this->attemptFailed(failure.detail, { kind, failure.detail, this->execution(), retryAfterRefusal });
}

void ForwardCall::attemptFailed(const std::string& outcome, const Error& error)
{
    this->endAttempt(outcome);
    this->events.dropPartial();
    const bool canResume = !this->streamBegun || this->request.route->isResumable;
    if (!canResume || !this->mayAskFurtherTarget()) {
        this->fail(error);
        return;
    }
    if (this->streamBegun)
        this->context.metrics.streamsResumed.Increment();
    this->nextAttempt();
}

void ForwardCall::endAttempt(const std::string& outcome)
{
    const auto& choice = this->attempt->choice;
    const auto took = std::chrono::duration_cast<milliseconds>(Clock::now() - this->attempt->sentAt);
    const auto firstEvent = this->attempt->firstEventAfter;
    if (!this->trail.empty())
        this->trail += ';';
    this->trail += choice.target->registration.id + " (" + std::string(routing::toString(choice.choice.reason)) + ", "
        + std::to_string(choice.candidates) + " candidates, weights " + std::to_string(choice.weightsVersion)
        + ", cached " + std::to_string(choice.choice.cachedTokens) + "/"
        + std::to_string(this->request.description.promptTokens) + (choice.fetchCacheFrom ? ", fetched" : "") + ", "
        + (firstEvent ? "first event after " + std::to_string(firstEvent->count()) + " of " : "")
        + std::to_string(took.count()) + " ms): " + outcome;
    this->attempt.reset();
}

void ForwardCall::fail(const Error& error)
{
    if (this->ended)
        return;
    this->context.metrics.failed(error.kind).Increment();
    if (this->streamBegun) {
        // The caller must not take the part that it has for the whole.
        this->request.exchange->abort();
        this->end(std::string(answerFor(ErrorKind::StreamInterrupted).name) + ": " + error.detail, 0);
        return;
    }
    // "Not run" may be said only when it is true; otherwise the answer promises nothing.
    auto told = error;
    if (told.execution != Execution::NotRun) {
        if (promisesNotRun(answerFor(told.kind).status))
            told.kind = ErrorKind::TargetFailed;
        told.retryAfter = milliseconds(0);
    } else if (told.kind == ErrorKind::TargetFailed) {
        told.kind = ErrorKind::NoTarget;
    }
    http::respondWithError(*this->request.exchange, told, this->request.description.requestId);
    this->end(std::string(answerFor(told.kind).name) + ": " + error.detail, answerFor(told.kind).status);
}

void ForwardCall::end(const std::string& outcome, int status)
{
    this->ended = true;
    if (status >= statusOk && status < firstRedirect)
        this->context.metrics.answered.Increment();
    const auto took = Clock::now() - this->request.arrived;
    const auto configAge = this->request.configAge;
    observe::logDecision(
        status >= statusOk && status < firstRedirect ? observe::Decision::Answered : observe::Decision::Failed,
        { { "request", this->request.description.requestId }, { "route", this->request.route->name },
            { "config", std::to_string(this->request.routes->version()) },
            { "config_age_ms", configAge ? std::to_string(configAge->count()) : "unproved" },
            { "status", std::to_string(status) }, { "outcome", outcome },
            { "execution", std::string(toString(this->execution())) },
            { "took_ms", std::to_string(std::chrono::duration_cast<milliseconds>(took).count()) },
            { "attempts", this->trail } });
}

void ForwardCall::callerGone()
{
    if (this->ended)
        return;
    this->context.metrics.callersGone.Increment();
    // A request that may not be repeated and is under way runs to its end: breaking it off undoes nothing.
    const bool runsOn = this->request.route->kind == RequestKind::NonIdempotent && this->attempt && this->attempt->call
        && this->attempt->call->requestSent();
    if (runsOn)
        return;
    if (this->attempt) {
        if (this->attempt->call)
            this->attempt->call->cancel();
        this->endAttempt("the caller went away");
    }
    this->end("the caller went away", 0);
}

}
