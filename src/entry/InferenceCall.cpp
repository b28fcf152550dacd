#include "entry/InferenceCall.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>

namespace dragonfly::entry {

namespace {

    constexpr size_t mostRefusalBytes = 4096;
    constexpr int statusOk = 200;
    constexpr int firstClientError = 400;
    constexpr int statusWrongWeights = 409;
    constexpr int statusTooManyRequests = 429;
    constexpr int firstServerError = 500;
    constexpr uint32_t costSmoothing = 32;
    constexpr uint32_t leastTokensToLearnFrom = 512;

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
    if (this->promptTokens > this->model().contextTokens) {
        this->fail({ ErrorKind::BadRequest, "the prompt is longer than the model's context", Execution::NotRun, {} });
        return;
    }
    this->request.exchange->onCallerGone = [self = this->weak_from_this()] {
        if (auto call = self.lock())
            call->callerGone();
    };
    this->request.exchange->onDrained = [self = this->weak_from_this()] {
        if (auto call = self.lock())
            call->watchSlowCaller();
    };
    this->request.explanation.promptTokens = this->promptTokens;
    this->scope.shared.retries.noteFirstTry();
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
    auto choice = chooseNext(shared, this->request, &this->chain, this->promptTokens, this->tried);
    if (!choice && !this->tried.empty()) {
        this->tried.clear();
        choice = chooseNext(shared, this->request, &this->chain, this->promptTokens, {});
    }
    if (!choice) {
        this->fail({ ErrorKind::NoTarget, "no target serves this model now", execution, std::chrono::seconds(1) });
        return;
    }
    if (!this->attempts && Clock::now() + choice->expectedFirstToken > this->request.deadline) {
        this->fail({ ErrorKind::Overloaded, "the queues are too long for the deadline", Execution::NotRun,
            std::chrono::seconds(1) });
        return;
    }
    this->attempt.emplace();
    this->attempt->target = choice->target;
    this->attempt->choice = *choice;
    this->attempt->id = attemptId(this->request, this->attempts++);
    this->attempt->queuedTokens = routing::queuedTokens(*this->target().state, Clock::now());
    this->attempt->trace = observe::childOf(this->request.trace);
    this->attempt->started = WallClock::now();
    this->send(this->target());
}

http::Request InferenceCall::engineRequest()
{
    EngineOrder order;
    order.attempt = this->attempt->id;
    order.cacheSalt = toHex(
        sha256(this->request.organisation->cacheScope + "\n" + this->model().name + "\n" + this->model().weights))
                          .substr(0, 32);
    order.weights = this->model().weights;
    const auto level = this->request.route->priorityLevel;
    order.priority = level < 0 ? this->request.organisation->priorityLevel : static_cast<uint32_t>(level);
    order.resumeTokens = this->answer.tokens();
    order.resumeText = this->answer.text();
    const auto* path = this->body.shape == InferenceShape::Chat ? "/v1/chat/completions" : "/v1/completions";
    return { "POST", path,
        { { "Content-Type", "application/json" }, { "X-Request-Id", this->attempt->id },
            { "traceparent", observe::toTraceparent(this->attempt->trace) } },
        toEngineBody(this->body, order) };
}

void InferenceCall::send(const routing::Target& target)
{
    auto& shared = this->scope.shared;
    shared.metrics.attempts.Increment();
    this->tried.push_back(this->attempt->target);
    const auto uncached = this->promptTokens - std::min(this->promptTokens, this->attempt->choice.cachedTokens);
    this->attempt->load = TargetLoad(target.state, uncached);
    const auto now = Clock::now();
    this->attempt->sentAt = now;
    // Remembered and told before it is true, so that requests for the same prefix follow it there at once.
    routing::recordPrefixes(shared.prefixes, this->chain, target, now);
    routing::enqueuePlacements(shared.placements, this->chain, this->attempt->choice, target);
    const auto request = this->engineRequest();
    if (this->attempt->choice.reach == routing::Reach::OtherRegion)
        shared.metrics.crossRegionBytes.Increment(static_cast<double>(request.body.size()));
    const http::CallOptions options { now + shared.limits.connectTime,
        std::min(now + shared.limits.progressTime, this->request.deadline), true };
    // The events keep this object alive; the connection drops them when the call ends.
    http::CallEvents events;
    events.onHead = [self = this->shared_from_this()](const http::ResponseHead& head) { self->onHead(head); };
    events.onBody = [self = this->shared_from_this()](std::string_view bytes) { self->onBody(bytes); };
    events.onComplete = [self = this->shared_from_this()] { self->onComplete(); };
    events.onFailure
        = [self = this->shared_from_this()](const http::CallFailure& failure) { self->onFailure(failure); };
    this->attempt->call = this->scope.targets.send(target.endpoint, request, options, std::move(events));
}

void InferenceCall::onHead(const http::ResponseHead& head)
{
    noteAnswerHeaders(this->scope.shared, this->target(), head.headers);
    this->attempt->status = head.status;
    this->attempt->refusedUnrun = head.headers.valueOr("Dragonfly-Execution", "") == "not-run";
    this->moveProgressDeadline();
    if (head.status != statusOk)
        return;
    if (head.headers.valueOr("X-Target-Weights", this->model().weights) != this->model().weights) {
        this->abandonAttempt("the engine answered with other weights");
        return;
    }
    if (!head.headers.valueOr("Content-Type", "").starts_with("text/event-stream")) {
        this->abandonAttempt("the engine did not answer with a stream");
    }
}

void InferenceCall::onBody(std::string_view bytes)
{
    this->moveProgressDeadline();
    if (this->attempt->status != statusOk) {
        if (this->attempt->refusal.size() < mostRefusalBytes)
            this->attempt->refusal.append(bytes);
        return;
    }
    if (this->attempt->choice.reach == routing::Reach::OtherRegion)
        this->scope.shared.metrics.crossRegionBytes.Increment(static_cast<double>(bytes.size()));
    const auto number = this->attempts;
    const bool fits = this->attempt->events.feed(bytes, [this, number](std::string_view data) {
        return this->onEvent(data) && this->attempt && this->attempts == number;
    });
    if (!fits && this->attempt && this->attempts == number) {
        this->abandonAttempt("the engine sent an event that is too large");
    }
}

/// Takes one event of the engine's stream; false when the attempt is over.
bool InferenceCall::onEvent(std::string_view data)
{
    if (data == "[DONE]")
        return true; // what counts is the finish reason; the connection is kept when the body has ended
    const auto document = QJsonDocument::fromJson(QByteArray(data.data(), static_cast<qsizetype>(data.size())));
    const auto event = document.object();
    if (event["id"].toString().toStdString() != this->attempt->id) {
        this->scope.shared.metrics.mismatchedAnswers.Increment();
        this->abandonAttempt("the engine sent the answer to another request");
        return false;
    }
    if (event.contains("usage"))
        this->takeUsage(event["usage"].toObject());
    return !event.contains("choices") || event["choices"].toArray().isEmpty() || this->takeChoice(event);
}

bool InferenceCall::takeChoice(const QJsonObject& event)
{
    if (!addedText(event).isEmpty()) {
        const auto next = this->answer.tokens();
        const auto index = event.contains("token_index") ? static_cast<uint32_t>(event["token_index"].toInt()) : next;
        if (index < next)
            return true; // the caller has it already
        if (index > next) {
            this->abandonAttempt("the engine left out a token");
            return false;
        }
        this->noteFirstToken();
    }
    this->answer.take(event, this->target().name);
    this->watchSlowCaller();
    return true;
}

/// Learns from what the engine says that it had cached, once for each request.
void InferenceCall::takeUsage(const QJsonObject& usage)
{
    if (this->answer.promptTokens())
        return;
    const auto promptTokens = static_cast<uint32_t>(usage["prompt_tokens"].toInt());
    const auto cachedTokens = static_cast<uint32_t>(usage["prompt_tokens_details"].toObject()["cached_tokens"].toInt());
    this->answer.setUsage(promptTokens, cachedTokens);
    auto& shared = this->scope.shared;
    const auto& choice = this->attempt->choice;
    shared.metrics.believedTokens.Increment(choice.cachedTokens);
    if (choice.isPreferred)
        shared.homeTrust.update(choice.cachedTokens, routing::sharedPrefixTokens(this->chain), cachedTokens);
    routing::updateCacheLifetime(*this->target().state, choice.cachedTokens, cachedTokens, choice.cachedAge);
    this->learnPrefillCost(promptTokens - std::min(promptTokens, cachedTokens) + this->attempt->queuedTokens);
}

/// Learns from the time that the target took for @p work tokens, those queued before included.
void InferenceCall::learnPrefillCost(uint32_t work)
{
    if (work < leastTokensToLearnFrom)
        return;
    const auto took = std::chrono::duration_cast<std::chrono::nanoseconds>(Clock::now() - this->attempt->sentAt);
    const auto perToken = static_cast<uint32_t>(took.count() / work);
    auto& known = this->target().state->nanosecondsPerToken;
    const auto before = known.load(std::memory_order_relaxed);
    const auto after = before ? before - before / costSmoothing + perToken / costSmoothing : perToken;
    known.store(after, std::memory_order_relaxed);
}

void InferenceCall::noteFirstToken()
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
    if (!this->answer.tokens()) {
        const std::chrono::duration<double> took = now - this->request.arrived;
        shared.metrics.firstTokenSeconds.Observe(took.count());
    }
}

/// Passes the pace of a slow caller on to the engine, so that unsent bytes stay bounded.
void InferenceCall::watchSlowCaller()
{
    if (!this->attempt || !this->attempt->call)
        return;
    const auto bound = static_cast<int64_t>(this->scope.shared.limits.slowCallerBytes);
    const auto unsent = this->request.exchange->unsentBytes();
    if (!this->paused && unsent > bound) {
        this->paused = true;
        this->attempt->call->setPaused(true);
        this->attempt->call->setDeadline(this->request.deadline);
    } else if (this->paused && unsent < bound / 2) {
        this->paused = false;
        this->attempt->call->setPaused(false);
        this->moveProgressDeadline();
    }
}

void InferenceCall::moveProgressDeadline()
{
    if (this->paused || !this->attempt || !this->attempt->call)
        return;
    const auto next = std::min(Clock::now() + this->scope.shared.limits.progressTime, this->request.deadline);
    this->attempt->call->setDeadline(next);
}

void InferenceCall::onComplete()
{
    if (this->answer.isWhole()) {
        this->endAttempt("answered", false);
        this->succeed();
        return;
    }
    const auto status = this->attempt->status;
    const auto refusal = this->attempt->refusal;
    if (status == statusOk) {
        this->mayHaveRun = true;
        this->attemptFailed("the engine ended its stream too early");
    } else if (status >= firstServerError || status == statusTooManyRequests || status == statusWrongWeights) {
        this->mayHaveRun |= !this->attempt->refusedUnrun;
        this->attemptFailed("the engine refused with status " + std::to_string(status));
    } else if (status >= firstClientError) {
        this->endAttempt("refused", true);
        this->fail({ ErrorKind::BadRequest, "the engine found the request wrong: " + refusal, Execution::NotRun, {} });
    } else {
        this->attemptFailed("unexpected status " + std::to_string(status));
    }
}

void InferenceCall::onFailure(const http::CallFailure& failure)
{
    if (this->answer.isWhole()) {
        this->endAttempt("answered", false);
        this->succeed();
        return;
    }
    this->mayHaveRun |= failure.requestSent;
    if (!failure.requestSent && this->attempts > 1)
        this->scope.shared.retries.giveBack();
    if (this->expired()) {
        this->endAttempt("deadline passed", true);
        const auto execution = this->mayHaveRun ? Execution::Unknown : Execution::NotRun;
        this->fail({ ErrorKind::DeadlineExceeded, "the deadline passed", execution, {} });
        return;
    }
    this->attemptFailed(failure.detail);
}

/// Leaves a target whose answer cannot be used.
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
    this->retryLater({ ErrorKind::TargetFailed, detail, execution, std::chrono::seconds(1) });
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

void InferenceCall::retryLater(const Error& lastError)
{
    auto& shared = this->scope.shared;
    if (this->attempts >= shared.limits.mostAttempts) {
        this->fail(lastError);
        return;
    }
    if (!shared.retries.take()) {
        shared.metrics.retriesDenied.Increment();
        this->fail(lastError);
        return;
    }
    shared.metrics.retries.Increment();
    if (this->answer.tokens())
        shared.metrics.streamsResumed.Increment();
    QTimer::singleShot(
        retryDelay(this->attempts - 1), &this->scope.loop, [self = this->shared_from_this()] { self->nextAttempt(); });
}

void InferenceCall::succeed()
{
    this->ended = true;
    auto& metrics = this->scope.shared.metrics;
    metrics.answered.Increment();
    metrics.promptTokens.Increment(this->answer.promptTokens());
    metrics.cachedTokens.Increment(this->answer.cachedTokens());
    this->request.explanation.cachedTokens = this->answer.cachedTokens();
    this->request.explanation.completionTokens = this->answer.tokens();
    this->answer.finish();
    recordEnd(this->scope.shared, this->request, "answered", false);
}

void InferenceCall::fail(Error error)
{
    if (this->ended)
        return;
    this->ended = true;
    if (!this->answer.hasBegun()) {
        answerError(this->scope.shared, this->request, error);
        return;
    }
    if (error.kind == ErrorKind::TargetFailed || error.kind == ErrorKind::NoTarget)
        error.kind = ErrorKind::StreamInterrupted;
    error.execution = Execution::Unknown;
    this->scope.shared.metrics.failed(error.kind).Increment();
    this->answer.interrupt(error);
    recordEnd(this->scope.shared, this->request, std::string(answerFor(error.kind).name), true);
}

void InferenceCall::callerGone()
{
    if (this->ended)
        return;
    this->ended = true;
    this->scope.shared.metrics.callersGone.Increment();
    if (this->attempt) {
        if (this->attempt->call)
            this->attempt->call->cancel(); // closing the connection makes the engine stop
        this->endAttempt("caller gone", true);
    }
    recordEnd(this->scope.shared, this->request, "caller gone", true);
}

}
