#include "entry/ServiceCall.h"

#include <QTimer>

namespace dragonfly::entry {

namespace {

    constexpr int statusServiceUnavailable = 503;
    constexpr size_t maxStoredAnswerBytes = 4096;
    constexpr size_t maxIdempotencyKeyBytes = 256;
    /// Headers that are copied from the caller's request.
    constexpr std::string_view forwardedHeaders[] = { "Content-Type", "Accept", "Idempotency-Key" };

}

ServiceCall::ServiceCall(WorkerScope& scope, Request request)
    : scope(scope)
    , request(std::move(request))
{
}

const routing::Target& ServiceCall::target() const
{
    return this->request.view->targets[this->attempt->choice.target];
}

template <typename Work> void ServiceCall::withLedger(Work work)
{
    auto& ledger = this->scope.shared.ledger;
    QMetaObject::invokeMethod(
        &ledger, [&ledger, work = std::move(work)] { work(ledger); }, Qt::QueuedConnection);
}

void ServiceCall::start()
{
    this->scope.openCalls[this] = [call = this->weak_from_this()] {
        if (const auto self = call.lock())
            self->endForStop();
    };
    if (!this->needsClaim()) {
        this->scope.shared.retries.recordInitialAttempt();
        this->nextAttempt();
        return;
    }
    const auto key = this->request.exchange->request().headers.valueOr("Idempotency-Key", "");
    if (key.empty() || key.size() > maxIdempotencyKeyBytes) {
        this->fail({ ErrorKind::IdempotencyKeyMissing,
            "Idempotency-Key: 1 to 256 bytes are required on a non-idempotent route", Execution::NotRun, {} });
        return;
    }
    this->acquireClaim(key);
}

void ServiceCall::acquireClaim(std::string_view idempotencyKey)
{
    const auto& received = this->request.exchange->request();
    this->claimRequest
        = { claims::claimKey(this->request.organisation->name, this->request.route->name, idempotencyKey),
              claims::requestDigest(received.method + " " + received.target, received.body),
              sha256(this->request.id + randomId()).substr(0, 16) };
    auto* loop = &this->scope.loop;
    this->withLedger([claim = this->claimRequest, deadline = this->request.deadline, loop,
                         self = this->shared_from_this()](claims::ClaimLedger& ledger) {
        ledger.claim(claim, deadline, [loop, self](claims::Verdict verdict) {
            QMetaObject::invokeMethod(
                loop, [self, verdict = std::move(verdict)] { self->onClaimResult(verdict); }, Qt::QueuedConnection);
        });
    });
}

void ServiceCall::onClaimResult(const claims::Verdict& verdict)
{
    using std::holds_alternative;
    this->claimHeld = holds_alternative<claims::Granted>(verdict);
    if (this->ended) {
        if (this->claimHeld)
            this->resolveClaim({ ErrorKind::NoTarget, "", Execution::NotRun, {} });
    } else if (this->claimHeld) {
        this->scope.shared.retries.recordInitialAttempt();
        this->nextAttempt();
    } else if (const auto* finished = std::get_if<claims::Finished>(&verdict)) {
        this->sendStoredAnswer(finished->answer);
    } else if (holds_alternative<claims::InProgress>(verdict)) {
        this->fail({ ErrorKind::ClaimInProgress, "another request with this idempotency key is in progress",
            Execution::Unknown, std::chrono::seconds(1) });
    } else if (holds_alternative<claims::Lost>(verdict)) {
        this->fail({ ErrorKind::OutcomeUnknown,
            "the call with this idempotency key may have run; its outcome is unknown", Execution::Unknown, {} });
    } else if (holds_alternative<claims::KeyReused>(verdict)) {
        this->fail({ ErrorKind::IdempotencyKeyReused, "this idempotency key was used for a different request",
            Execution::NotRun, {} });
    } else {
        const bool full = holds_alternative<claims::LedgerFull>(verdict);
        this->fail(
            { ErrorKind::ClaimUnavailable, full ? "the claim ledger is full" : "no claim could be acquired in time",
                Execution::NotRun, std::chrono::seconds(2) });
    }
}

void ServiceCall::sendStoredAnswer(const pb::StoredAnswer& answer)
{
    if (answer.body_omitted()) {
        this->fail({ ErrorKind::AnswerNotKept, "the call ran, but its answer was too large to be stored",
            Execution::Ran, {} });
        return;
    }
    this->markEnded();
    this->scope.shared.metrics.answered.Increment();
    recordOutcome(this->scope.shared, this->request, "answered from the stored answer", false);
    this->request.exchange->respond(static_cast<int>(answer.status()),
        { { "Content-Type", answer.content_type() }, { "X-Request-Id", this->request.id },
            { "Dragonfly-Execution", "ran" }, { "Dragonfly-Repeated", "true" } },
        answer.body());
}

void ServiceCall::nextAttempt()
{
    if (this->ended)
        return;
    const auto execution = this->mayHaveRun ? Execution::Unknown : Execution::NotRun;
    // The process may have been suspended for any length of time since the claim was granted.
    if (Clock::now() >= this->request.deadline) {
        this->fail({ ErrorKind::DeadlineExceeded, "the deadline passed", execution, {} });
        return;
    }
    if (this->needsClaim() && this->request.exchange->callerGone()) {
        this->fail({ ErrorKind::DeadlineExceeded, "the caller disconnected before the call was sent", execution, {} });
        return;
    }
    auto choice = chooseNextTarget(this->scope.shared, this->request, nullptr, 0, this->triedTargets);
    if (!choice && !this->triedTargets.empty()) {
        this->triedTargets.clear();
        choice = chooseNextTarget(this->scope.shared, this->request, nullptr, 0, {});
    }
    if (!choice) {
        this->fail(
            { ErrorKind::NoTarget, "no target is available for this service", execution, std::chrono::seconds(1) });
        return;
    }
    this->attempt.emplace();
    this->attempt->choice = *choice;
    this->attempt->id = attemptId(this->request, this->attemptCount++);
    this->attempt->trace = observe::childOf(this->request.trace);
    this->attempt->started = WallClock::now();
    this->send();
}

http::Request ServiceCall::targetRequest() const
{
    const auto& received = this->request.exchange->request();
    http::Headers headers { { "X-Request-Id", this->attempt->id },
        { "traceparent", observe::toTraceparent(this->attempt->trace) },
        { "X-Organisation", this->request.organisation->name } };
    for (const auto name : forwardedHeaders) {
        if (const auto value = received.headers.find(name))
            headers.add(name, *value);
    }
    return { received.method, received.target, std::move(headers), received.body };
}

void ServiceCall::send()
{
    auto& shared = this->scope.shared;
    shared.metrics.attempts.Increment();
    this->triedTargets.push_back(this->attempt->choice.target);
    this->attempt->load = TargetLoad(this->target().state, 0);
    const auto now = Clock::now();
    // An idle connection may be stale: whether the target received bytes sent on it would be unknown.
    const bool reuseConnection = !this->needsClaim();
    const auto answerDeadline = this->needsClaim() ? this->request.deadline : now + shared.limits.progressTimeout;
    const http::CallOptions options { now + shared.limits.connectTimeout,
        std::min(answerDeadline, this->request.deadline), reuseConnection };
    http::CallEvents events;
    events.onHead = [self = this->shared_from_this()](const http::ResponseHead& head) { self->onHead(head); };
    events.onBody = [self = this->shared_from_this()](std::string_view bytes) { self->onBody(bytes); };
    events.onComplete = [self = this->shared_from_this()] { self->onComplete(); };
    events.onFailure
        = [self = this->shared_from_this()](const http::CallFailure& failure) { self->onFailure(failure); };
    events.onOverdue = [self = this->shared_from_this()] { self->onOverdue(); };
    this->attempt->call
        = this->scope.targets.send(this->target().endpoint, this->targetRequest(), options, std::move(events));
}

void ServiceCall::onHead(const http::ResponseHead& head)
{
    if (!isAnswerTo(head, this->attempt->id)) {
        this->onMismatchedAnswer();
        return;
    }
    if (!head.headers.find("X-Request-Id"))
        this->attempt->call->closeAfterAnswer(); // a later answer on the connection could not be told from a copy
    recordAnswerHeaders(this->scope.shared, this->target(), head.headers);
    this->attempt->head = head;
}

/// Abandons the attempt and closes its connection, on which answers no longer follow their requests.
void ServiceCall::onMismatchedAnswer()
{
    this->attempt->call->cancel();
    this->scope.shared.metrics.mismatchedAnswers.Increment();
    this->mayHaveRun = true;
    routing::recordFailure(*this->target().state, Clock::now());
    this->endAttempt("answer to another request", true);
    this->retryOrFail(
        { ErrorKind::OutcomeUnknown, "the target sent the answer to another request", Execution::Unknown, {} });
}

void ServiceCall::onBody(std::string_view bytes)
{
    this->attempt->body.append(bytes);
    if (this->attempt->body.size() <= this->scope.shared.limits.maxAnswerBytes)
        return;
    this->attempt->call->cancel();
    this->mayHaveRun = true;
    this->endAttempt("answer too large", true);
    this->fail({ ErrorKind::TargetFailed, "the answer exceeds the size limit", Execution::Unknown, {} });
}

void ServiceCall::onComplete()
{
    const auto& head = this->attempt->head;
    if (head.headers.valueOr("Dragonfly-Execution", "") == "not-run") {
        routing::recordFailure(*this->target().state, Clock::now());
        this->endAttempt("refused", true);
        const auto execution = this->mayHaveRun ? Execution::Unknown : Execution::NotRun;
        this->retryOrFail(
            { ErrorKind::TargetFailed, "the target refused to run the call", execution, std::chrono::seconds(1) });
        return;
    }
    if (!this->needsClaim() && head.status == statusServiceUnavailable) {
        this->mayHaveRun = true;
        routing::recordFailure(*this->target().state, Clock::now());
        this->endAttempt("unavailable", true);
        this->retryOrFail(
            { ErrorKind::TargetFailed, "the target is unavailable", Execution::Unknown, std::chrono::seconds(1) });
        return;
    }
    routing::recordSuccess(*this->target().state);
    this->succeed();
}

void ServiceCall::onFailure(const http::CallFailure& failure)
{
    this->mayHaveRun |= failure.requestSent;
    if (!failure.requestSent && this->attemptCount > 1)
        this->scope.shared.retries.refund();
    routing::recordFailure(*this->target().state, Clock::now());
    this->endAttempt(failure.detail, true);
    const bool deadlinePassed = Clock::now() >= this->request.deadline;
    if (this->mayHaveRun && this->needsClaim())
        this->fail({ ErrorKind::OutcomeUnknown, failure.detail, Execution::Unknown, {} });
    else if (deadlinePassed)
        this->fail({ ErrorKind::DeadlineExceeded, "the deadline passed",
            this->mayHaveRun ? Execution::Unknown : Execution::NotRun, {} });
    else
        this->retryOrFail({ ErrorKind::TargetFailed, failure.detail,
            this->mayHaveRun ? Execution::Unknown : Execution::NotRun, std::chrono::seconds(1) });
}

void ServiceCall::onOverdue()
{
    const auto& shared = this->scope.shared;
    const bool mayRetry = this->attemptCount < shared.limits.maxAttempts && !shared.retries.isExhausted();
    if (!mayRetry)
        this->attempt->call->setDeadline(this->request.deadline);
}

void ServiceCall::endAttempt(const std::string& outcome, bool failed)
{
    this->request.explanation.attempts.back().outcome = outcome;
    if (this->attempt->trace.sampled)
        this->scope.shared.spans.submit({ this->attempt->trace, "attempt", this->attempt->started, WallClock::now(),
            { { "target", this->target().name }, { "outcome", outcome } }, failed });
    this->attempt.reset();
}

void ServiceCall::retryOrFail(const Error& error)
{
    auto& shared = this->scope.shared;
    const bool canRetry = !this->needsClaim() || !this->mayHaveRun;
    if (!canRetry || this->attemptCount >= shared.limits.maxAttempts) {
        this->fail(error);
        return;
    }
    if (!shared.retries.tryAcquire()) {
        shared.metrics.retriesDenied.Increment();
        this->fail(error);
        return;
    }
    shared.metrics.retries.Increment();
    QTimer::singleShot(retryDelay(this->attemptCount - 1), &this->scope.loop,
        [self = this->shared_from_this()] { self->nextAttempt(); });
}

void ServiceCall::succeed()
{
    this->markEnded();
    if (this->claimHeld)
        this->storeAnswer();
    const auto head = std::move(this->attempt->head);
    const auto body = std::move(this->attempt->body);
    const auto name = this->target().name;
    this->endAttempt("answered", false);
    this->scope.shared.metrics.answered.Increment();
    recordOutcome(this->scope.shared, this->request, "answered", false);
    this->request.exchange->respond(head.status,
        { { "Content-Type", std::string(head.headers.valueOr("Content-Type", "application/octet-stream")) },
            { "X-Request-Id", this->request.id }, { "Dragonfly-Target", name }, { "Dragonfly-Execution", "ran" } },
        body);
}

void ServiceCall::storeAnswer()
{
    pb::StoredAnswer answer;
    answer.set_status(static_cast<uint32_t>(this->attempt->head.status));
    answer.set_content_type(
        std::string(this->attempt->head.headers.valueOr("Content-Type", "application/octet-stream")));
    if (this->attempt->body.size() <= maxStoredAnswerBytes)
        answer.set_body(this->attempt->body);
    else
        answer.set_body_omitted(true);
    this->withLedger(
        [claim = this->claimRequest, answer](claims::ClaimLedger& ledger) { ledger.recordAnswer(claim, answer); });
}

void ServiceCall::resolveClaim(const Error& error)
{
    const bool notRun = error.execution == Execution::NotRun;
    this->withLedger([claim = this->claimRequest, notRun](claims::ClaimLedger& ledger) {
        if (notRun)
            ledger.release(claim);
        else
            ledger.markLost(claim);
    });
}

void ServiceCall::fail(const Error& error)
{
    if (this->ended)
        return;
    this->markEnded();
    if (this->claimHeld)
        this->resolveClaim(error);
    answerError(this->scope.shared, this->request, error);
}

void ServiceCall::markEnded()
{
    this->ended = true;
    this->scope.openCalls.erase(this);
}

void ServiceCall::endForStop()
{
    if (this->attempt) {
        this->mayHaveRun |= this->attempt->call->requestSent();
        this->attempt->call->cancel();
        this->endAttempt("withdrawn: the instance stops", true);
    }
    Error error { ErrorKind::NoTarget, "the instance stops", Execution::NotRun, retryAfterStop };
    if (this->mayHaveRun)
        error = { this->needsClaim() ? ErrorKind::OutcomeUnknown : ErrorKind::TargetFailed, error.detail,
            Execution::Unknown, {} };
    logStopped(observe::RequestOutcome::Failed, this->request, error);
    this->fail(error);
}

}
