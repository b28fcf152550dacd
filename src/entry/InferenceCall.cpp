#include "entry/InferenceCall.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>

namespace dragonfly::entry {

namespace {

    constexpr size_t maxErrorTextBytes = 4096;
    constexpr int statusOk = 200;
    constexpr int firstClientError = 400;
    constexpr int statusWrongWeights = 409;
    constexpr int statusTooManyRequests = 429;
    constexpr int firstServerError = 500;
    /// Each sample has a weight of 1/32 in the moving average of the prefill cost.
    constexpr uint32_t costSmoothingDivisor = 32;
    constexpr uint32_t minTokensForCostSample = 512;

}

InferenceCall::InferenceCall(WorkerScope& scope, Request request, InferenceBody body)
    : scope(scope)
    , request(std::move(request))
    , body(std::move(body))
    , chain(routing::buildPrefixChain(this->body.prompt,
          routing::scopeSeed(this->request.organisation->cacheScope, this->model().name, this->model().weights)))
    , promptTokens(routing::tokensOf(this->chain.promptBytes))
    , answer(this->request.exchange, this->request.id, this->body)
{
}

const routing::Model& InferenceCall::model() const
{
    return this->request.view->models[this->request.route->model];
}

const routing::Target& InferenceCall::target() const
{
    return this->request.view->targets[this->attempt->target];
}

bool InferenceCall::expired() const
{
    return Clock::now() >= this->request.deadline;
}

void InferenceCall::start()
{
    this->scope.openCalls[this] = [call = this->weak_from_this()] {
        if (const auto self = call.lock())
            self->endForStop();
    };
    if (this->promptTokens > this->model().contextTokens) {
        this->fail({ ErrorKind::BadRequest, "the prompt is longer than the model's context", Execution::NotRun, {} });
        return;
    }
    this->request.exchange->onCallerGone = [self = this->weak_from_this()] {
        if (auto call = self.lock())
            call->onCallerGone();
    };
    this->request.exchange->onDrained = [self = this->weak_from_this()] {
        if (auto call = self.lock())
            call->updateBackpressure();
    };
    this->request.explanation.promptTokens = this->promptTokens;
    this->scope.shared.retries.recordInitialAttempt();
    this->nextAttempt();
}

void InferenceCall::nextAttempt()
{
    if (this->ended)
        return;
    const auto execution = this->mayHaveRun ? Execution::Unknown : Execution::NotRun;
    if (this->expired()) {
        this->fail({ ErrorKind::DeadlineExceeded, "the deadline passed", execution, {} });
        return;
    }
    auto& shared = this->scope.shared;
    auto choice = chooseNextTarget(shared, this->request, &this->chain, this->promptTokens, this->triedTargets);
    if (!choice && !this->triedTargets.empty()) {
        this->triedTargets.clear();
        choice = chooseNextTarget(shared, this->request, &this->chain, this->promptTokens, {});
    }
    if (!choice) {
        this->fail(
            { ErrorKind::NoTarget, "no target is available for this model", execution, std::chrono::seconds(1) });
        return;
    }
    if (!this->attemptCount && Clock::now() + choice->expectedFirstToken > this->request.deadline) {
        this->fail({ ErrorKind::Overloaded, "the expected time to the first token exceeds the deadline",
            Execution::NotRun, std::chrono::seconds(1) });
        return;
    }
    this->attempt.emplace();
    this->attempt->target = choice->target;
    this->attempt->choice = *choice;
    this->attempt->id = attemptId(this->request, this->attemptCount++);
    this->attempt->queuedTokens = routing::queuedTokens(*this->target().state, Clock::now());
    this->attempt->trace = observe::childOf(this->request.trace);
    this->attempt->started = WallClock::now();
    this->send(this->target());
}

http::Request InferenceCall::engineRequest()
{
    EngineOptions options;
    options.requestId = this->attempt->id;
    options.cacheSalt = toHex(
        sha256(this->request.organisation->cacheScope + "\n" + this->model().name + "\n" + this->model().weights))
                            .substr(0, 32);
    options.weights = this->model().weights;
    const auto level = this->request.route->priorityLevel;
    options.priority = level < 0 ? this->request.organisation->priorityLevel : static_cast<uint32_t>(level);
    options.resumeTokens = this->answer.completionTokens();
    options.resumeText = this->answer.text();
    const auto* path = this->body.shape == InferenceShape::Chat ? "/v1/chat/completions" : "/v1/completions";
    return { "POST", path,
        { { "Content-Type", "application/json" }, { "X-Request-Id", this->attempt->id },
            { "traceparent", observe::toTraceparent(this->attempt->trace) } },
        toEngineBody(this->body, options) };
}

void InferenceCall::send(const routing::Target& target)
{
    auto& shared = this->scope.shared;
    shared.metrics.attempts.Increment();
    this->triedTargets.push_back(this->attempt->target);
    const auto uncached = this->promptTokens - std::min(this->promptTokens, this->attempt->choice.cachedTokens);
    this->attempt->load = TargetLoad(target.state, uncached);
    const auto now = Clock::now();
    this->attempt->sentAt = now;
    // Recorded and announced to peers before the target has the prefix, so that concurrent requests with the same
    // prefix go to the same target.
    routing::recordPrefixes(shared.prefixes, this->chain, target, now);
    routing::enqueuePlacements(shared.placements, this->chain, this->attempt->choice, target);
    const auto request = this->engineRequest();
    if (this->attempt->choice.reach == routing::Reach::OtherRegion)
        shared.metrics.crossRegionBytes.Increment(static_cast<double>(request.body.size()));
    const http::CallOptions options { now + shared.limits.connectTimeout,
        std::min(now + shared.limits.progressTimeout, this->request.deadline), true };
    // The callbacks keep this object alive; the connection releases them when the call ends.
    http::CallEvents events;
    events.onHead = [self = this->shared_from_this()](const http::ResponseHead& head) { self->onHead(head); };
    events.onBody = [self = this->shared_from_this()](std::string_view bytes) { self->onBody(bytes); };
    events.onComplete = [self = this->shared_from_this()] { self->onComplete(); };
    events.onFailure
        = [self = this->shared_from_this()](const http::CallFailure& failure) { self->onFailure(failure); };
    events.onOverdue = [self = this->shared_from_this()] { self->onOverdue(); };
    this->attempt->call = this->scope.targets.send(target.endpoint, request, options, std::move(events));
}

void InferenceCall::onHead(const http::ResponseHead& head)
{
    // The events of a success name the request.
    if (head.status != statusOk && !isAnswerTo(head, this->attempt->id)) {
        this->scope.shared.metrics.mismatchedAnswers.Increment();
        this->abandonAttempt("the engine sent the answer to another request");
        return;
    }
    if (head.status != statusOk && !head.headers.find("X-Request-Id"))
        this->attempt->call->closeAfterAnswer(); // a later answer on the connection could not be told from a copy
    recordAnswerHeaders(this->scope.shared, this->target(), head.headers);
    this->attempt->status = head.status;
    this->attempt->reportedNotRun = head.headers.valueOr("Dragonfly-Execution", "") == "not-run";
    this->extendProgressDeadline();
    if (head.status != statusOk)
        return;
    if (head.headers.valueOr("X-Target-Weights", this->model().weights) != this->model().weights) {
        this->abandonAttempt("the engine answered with different weights");
        return;
    }
    if (!head.headers.valueOr("Content-Type", "").starts_with("text/event-stream")) {
        this->abandonAttempt("the engine did not answer with an event stream");
    }
}

void InferenceCall::onBody(std::string_view bytes)
{
    this->extendProgressDeadline();
    if (this->attempt->status != statusOk) {
        if (this->attempt->errorText.size() < maxErrorTextBytes)
            this->attempt->errorText.append(bytes);
        return;
    }
    if (this->attempt->choice.reach == routing::Reach::OtherRegion)
        this->scope.shared.metrics.crossRegionBytes.Increment(static_cast<double>(bytes.size()));
    const auto attemptNumber = this->attemptCount;
    const bool withinLimit = this->attempt->events.feed(bytes, [this, attemptNumber](std::string_view data) {
        return this->onEvent(data) && this->attempt && this->attemptCount == attemptNumber;
    });
    if (!withinLimit && this->attempt && this->attemptCount == attemptNumber) {
        this->abandonAttempt("the engine sent an event above the size limit");
    }
}

bool InferenceCall::onEvent(std::string_view data)
{
    if (data == "[DONE]")
        return true; // the finish reason completes the answer; the connection is reusable once the body has ended
    const auto document = QJsonDocument::fromJson(QByteArray(data.data(), static_cast<qsizetype>(data.size())));
    const auto event = document.object();
    if (event["id"].toString().toStdString() != this->attempt->id) {
        this->scope.shared.metrics.mismatchedAnswers.Increment();
        this->abandonAttempt("the engine sent the answer to another request");
        return false;
    }
    if (event.contains("usage"))
        this->handleUsage(event["usage"].toObject());
    return !event.contains("choices") || event["choices"].toArray().isEmpty() || this->handleChoice(event);
}

bool InferenceCall::handleChoice(const QJsonObject& event)
{
    if (!deltaText(event).isEmpty()) {
        // Tokens that the caller has are not skipped: an engine that begins again may have chosen others.
        const auto expectedIndex = this->answer.completionTokens();
        const bool continuesAnswer = expectedIndex && !this->attempt->firstTokenSeen;
        const bool isCounted = event.contains("token_index");
        const auto index = isCounted ? static_cast<uint32_t>(event["token_index"].toInt()) : expectedIndex;
        if (index != expectedIndex || (continuesAnswer && !isCounted)) {
            this->abandonAttempt("the engine did not continue at the next token");
            return false;
        }
        this->recordFirstToken();
    }
    this->answer.append(event, this->target().name);
    this->updateBackpressure();
    return true;
}

void InferenceCall::handleUsage(const QJsonObject& usage)
{
    if (this->answer.promptTokens())
        return;
    const auto promptTokens = static_cast<uint32_t>(usage["prompt_tokens"].toInt());
    const auto cachedTokens = static_cast<uint32_t>(usage["prompt_tokens_details"].toObject()["cached_tokens"].toInt());
    this->answer.setUsage(promptTokens, cachedTokens);
    auto& shared = this->scope.shared;
    const auto& choice = this->attempt->choice;
    shared.metrics.estimatedTokens.Increment(choice.cachedTokens);
    if (choice.isPreferred)
        shared.preferredHitRate.update(choice.cachedTokens, routing::sharedPrefixTokens(this->chain), cachedTokens);
    routing::updateCacheLifetime(*this->target().state, choice.cachedTokens, cachedTokens, choice.cachedAge);
    this->updatePrefillCost(promptTokens - std::min(promptTokens, cachedTokens) + this->attempt->queuedTokens);
}

void InferenceCall::updatePrefillCost(uint32_t tokens)
{
    if (tokens < minTokensForCostSample)
        return;
    const auto elapsed = std::chrono::duration_cast<std::chrono::nanoseconds>(Clock::now() - this->attempt->sentAt);
    const auto sample = static_cast<uint32_t>(elapsed.count() / tokens);
    auto& estimate = this->target().state->nanosecondsPerToken;
    const auto previous = estimate.load(std::memory_order_relaxed);
    const auto updated = previous ? previous - previous / costSmoothingDivisor + sample / costSmoothingDivisor : sample;
    estimate.store(updated, std::memory_order_relaxed);
}

void InferenceCall::recordFirstToken()
{
    if (this->attempt->firstTokenSeen)
        return;
    this->attempt->firstTokenSeen = true;
    this->attempt->load.promptDone();
    const auto now = Clock::now();
    auto& shared = this->scope.shared;
    routing::recordSuccess(*this->target().state);
    this->request.explanation.attempts.back().firstToken
        = std::chrono::duration_cast<std::chrono::microseconds>(now - this->attempt->sentAt);
    if (!this->answer.completionTokens()) {
        const std::chrono::duration<double> elapsed = now - this->request.arrived;
        shared.metrics.firstTokenSeconds.Observe(elapsed.count());
    }
}

void InferenceCall::updateBackpressure()
{
    if (!this->attempt || !this->attempt->call)
        return;
    const auto maxUnsent = static_cast<int64_t>(this->scope.shared.limits.maxUnsentBytes);
    const auto unsent = this->request.exchange->unsentBytes();
    if (!this->paused && unsent > maxUnsent) {
        this->paused = true;
        this->attempt->call->setPaused(true);
        this->attempt->call->setDeadline(this->request.deadline);
    } else if (this->paused && unsent < maxUnsent / 2) {
        this->paused = false;
        this->attempt->call->setPaused(false);
        this->extendProgressDeadline();
    }
}

void InferenceCall::extendProgressDeadline()
{
    if (this->paused || !this->attempt || !this->attempt->call)
        return;
    const auto deadline = std::min(Clock::now() + this->scope.shared.limits.progressTimeout, this->request.deadline);
    this->attempt->call->setDeadline(deadline);
}

void InferenceCall::onComplete()
{
    if (this->answer.isComplete()) {
        this->endAttempt("answered", false);
        this->succeed();
        return;
    }
    const auto status = this->attempt->status;
    const auto errorText = this->attempt->errorText;
    if (status == statusOk) {
        this->mayHaveRun = true;
        this->attemptFailed("the engine ended its stream before the answer was complete");
    } else if (status >= firstServerError || status == statusTooManyRequests || status == statusWrongWeights
        || (status >= firstClientError && this->answer.completionTokens())) {
        this->mayHaveRun |= !this->attempt->reportedNotRun;
        this->attemptFailed("the engine refused with status " + std::to_string(status));
    } else if (status >= firstClientError) {
        this->endAttempt("refused", true);
        const auto execution = this->mayHaveRun ? Execution::Unknown : Execution::NotRun;
        this->fail({ ErrorKind::BadRequest, "the engine rejected the request: " + errorText, execution, {} });
    } else {
        this->mayHaveRun |= !this->attempt->reportedNotRun;
        this->attemptFailed("unexpected status " + std::to_string(status));
    }
}

void InferenceCall::onFailure(const http::CallFailure& failure)
{
    if (this->answer.isComplete()) {
        this->endAttempt("answered", false);
        this->succeed();
        return;
    }
    this->mayHaveRun |= failure.requestSent;
    if (!failure.requestSent && this->attemptCount > 1)
        this->scope.shared.retries.refund();
    if (this->expired()) {
        this->endAttempt("deadline passed", true);
        const auto execution = this->mayHaveRun ? Execution::Unknown : Execution::NotRun;
        this->fail({ ErrorKind::DeadlineExceeded, "the deadline passed", execution, {} });
        return;
    }
    this->attemptFailed(failure.detail);
}

void InferenceCall::abandonAttempt(const std::string& detail)
{
    this->attempt->call->cancel();
    this->mayHaveRun = true;
    this->attemptFailed(detail);
}

void InferenceCall::attemptFailed(const std::string& detail)
{
    routing::recordFailure(*this->target().state, Clock::now());
    this->endAttempt(detail, true);
    const auto execution = this->mayHaveRun ? Execution::Unknown : Execution::NotRun;
    this->retryOrFail({ ErrorKind::TargetFailed, detail, execution, std::chrono::seconds(1) });
}

void InferenceCall::onOverdue()
{
    const auto& shared = this->scope.shared;
    const bool mayRetry = this->attemptCount < shared.limits.maxAttempts && !shared.retries.isExhausted();
    if (!mayRetry)
        this->attempt->call->setDeadline(this->request.deadline);
}

void InferenceCall::endAttempt(const std::string& outcome, bool failed)
{
    this->request.explanation.attempts.back().outcome = outcome;
    if (this->attempt->trace.sampled)
        this->scope.shared.spans.submit({ this->attempt->trace, "attempt", this->attempt->started, WallClock::now(),
            { { "target", this->target().name }, { "outcome", outcome } }, failed });
    this->attempt.reset();
    this->paused = false;
}

void InferenceCall::retryOrFail(const Error& lastError)
{
    auto& shared = this->scope.shared;
    if (this->attemptCount >= shared.limits.maxAttempts) {
        this->fail(lastError);
        return;
    }
    if (!shared.retries.tryAcquire()) {
        shared.metrics.retriesDenied.Increment();
        this->fail(lastError);
        return;
    }
    shared.metrics.retries.Increment();
    if (this->answer.completionTokens())
        shared.metrics.streamsResumed.Increment();
    QTimer::singleShot(retryDelay(this->attemptCount - 1), &this->scope.loop,
        [self = this->shared_from_this()] { self->nextAttempt(); });
}

void InferenceCall::succeed()
{
    this->markEnded();
    auto& metrics = this->scope.shared.metrics;
    metrics.answered.Increment();
    metrics.promptTokens.Increment(this->answer.promptTokens());
    metrics.cachedTokens.Increment(this->answer.cachedTokens());
    this->request.explanation.cachedTokens = this->answer.cachedTokens();
    this->request.explanation.completionTokens = this->answer.completionTokens();
    this->answer.complete();
    recordOutcome(this->scope.shared, this->request, "answered", false);
}

void InferenceCall::fail(Error error)
{
    if (this->ended)
        return;
    this->markEnded();
    if (!this->answer.hasStarted()) {
        answerError(this->scope.shared, this->request, error);
        return;
    }
    if (error.kind == ErrorKind::TargetFailed || error.kind == ErrorKind::NoTarget)
        error.kind = ErrorKind::StreamInterrupted;
    error.execution = Execution::Unknown;
    this->scope.shared.metrics.failed(error.kind).Increment();
    this->answer.interrupt(error);
    recordOutcome(this->scope.shared, this->request, std::string(answerFor(error.kind).name), true);
}

void InferenceCall::markEnded()
{
    this->ended = true;
    this->scope.openCalls.erase(this);
}

void InferenceCall::endForStop()
{
    const bool isComplete = this->answer.isComplete();
    if (this->attempt) {
        this->mayHaveRun |= this->attempt->call->requestSent();
        this->attempt->call->cancel();
        this->endAttempt(isComplete ? "answered" : "withdrawn: the instance stops", !isComplete);
    }
    if (isComplete) {
        this->succeed();
        return;
    }
    Error error { ErrorKind::NoTarget, "the instance stops", Execution::NotRun, retryAfterStop };
    if (this->mayHaveRun)
        error = { ErrorKind::TargetFailed, error.detail, Execution::Unknown, {} };
    logStopped(observe::RequestOutcome::Failed, this->request, error);
    this->fail(error);
}

void InferenceCall::onCallerGone()
{
    if (this->ended)
        return;
    this->markEnded();
    this->scope.shared.metrics.callersGone.Increment();
    if (this->attempt) {
        if (this->attempt->call)
            this->attempt->call->cancel(); // closes the connection, upon which the engine stops generating
        this->endAttempt("caller disconnected", true);
    }
    recordOutcome(this->scope.shared, this->request, "caller disconnected", true);
}

}
