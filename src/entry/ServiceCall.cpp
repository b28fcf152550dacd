#include "entry/ServiceCall.h"

#include <QTimer>

namespace dragonfly::entry {

namespace {

    constexpr int statusServiceUnavailable = 503;
    constexpr size_t mostKeptAnswerBytes = 4096;
    constexpr size_t mostIdempotencyKeyBytes = 256;
    /// Headers of the caller that targets receive.
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
    if (!this->isGuarded()) {
        this->scope.shared.retries.noteFirstTry();
        this->nextAttempt();
        return;
    }
    const auto key = this->request.exchange->request().headers.valueOr("Idempotency-Key", "");
    if (key.empty() || key.size() > mostIdempotencyKeyBytes) {
        this->fail({ ErrorKind::IdempotencyKeyMissing,
            "Idempotency-Key: 1 to 256 bytes are required for a call that may not be repeated", Execution::NotRun,
            {} });
        return;
    }
    this->claim(key);
}

void ServiceCall::claim(std::string_view idempotencyKey)
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
                loop, [self, verdict = std::move(verdict)] { self->onVerdict(verdict); }, Qt::QueuedConnection);
        });
    });
}

void ServiceCall::onVerdict(const claims::Verdict& verdict)
{
    using std::holds_alternative;
    if (holds_alternative<claims::Granted>(verdict)) {
        this->claimHeld = true;
        this->scope.shared.retries.noteFirstTry();
        this->nextAttempt();
    } else if (const auto* finished = std::get_if<claims::Finished>(&verdict)) {
        this->answerAgain(finished->answer);
    } else if (holds_alternative<claims::InProgress>(verdict)) {
        this->fail({ ErrorKind::ClaimInProgress, "another request with this key has not ended", Execution::Unknown,
            std::chrono::seconds(1) });
    } else if (holds_alternative<claims::Lost>(verdict)) {
        this->fail({ ErrorKind::OutcomeUnknown, "the call with this key may have run; its outcome was lost",
            Execution::Unknown, {} });
    } else if (holds_alternative<claims::KeyReused>(verdict)) {
        this->fail(
            { ErrorKind::IdempotencyKeyReused, "this key was used for a different request", Execution::NotRun, {} });
    } else {
        const bool full = holds_alternative<claims::LedgerFull>(verdict);
        this->fail({ ErrorKind::ClaimUnavailable,
            full ? "no room for further claims" : "the call could not be claimed in time", Execution::NotRun,
            std::chrono::seconds(2) });
    }
}

void ServiceCall::answerAgain(const pb::StoredAnswer& answer)
{
    if (answer.body_omitted()) {
        this->fail(
            { ErrorKind::AnswerNotKept, "the call ran, but its answer was too large to be kept", Execution::Ran, {} });
        return;
    }
    this->ended = true;
    this->scope.shared.metrics.answered.Increment();
    recordEnd(this->scope.shared, this->request, "answered from the claim", false);
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
    // This instance may have been stopped for any time since it got the claim.
    if (Clock::now() >= this->request.deadline) {
        this->fail({ ErrorKind::DeadlineExceeded, "the deadline passed", execution, {} });
        return;
    }
    if (this->isGuarded() && this->request.exchange->callerGone()) {
        this->fail({ ErrorKind::DeadlineExceeded, "the caller went away before the call was sent", execution, {} });
        return;
    }
    auto choice = chooseNext(this->scope.shared, this->request, nullptr, 0, this->tried);
    if (!choice && !this->tried.empty()) {
        this->tried.clear();
        choice = chooseNext(this->scope.shared, this->request, nullptr, 0, {});
    }
    if (!choice) {
        this->fail({ ErrorKind::NoTarget, "no target offers this service now", execution, std::chrono::seconds(1) });
        return;
    }
    this->attempt.emplace();
    this->attempt->choice = *choice;
    this->attempt->id = attemptId(this->request, this->attempts++);
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
    this->tried.push_back(this->attempt->choice.target);
    this->attempt->load = TargetLoad(this->target().state, 0);
    const auto now = Clock::now();
    // A kept connection may be stale, and bytes sent into it have an unknown fate.
    const bool reuse = !this->isGuarded();
    const auto silence = this->isGuarded() ? this->request.deadline : now + shared.limits.progressTime;
    const http::CallOptions options { now + shared.limits.connectTime, std::min(silence, this->request.deadline),
        reuse };
    http::CallEvents events;
    events.onHead = [self = this->shared_from_this()](const http::ResponseHead& head) { self->onHead(head); };
    events.onBody = [self = this->shared_from_this()](std::string_view bytes) { self->onBody(bytes); };
    events.onComplete = [self = this->shared_from_this()] { self->onComplete(); };
    events.onFailure
        = [self = this->shared_from_this()](const http::CallFailure& failure) { self->onFailure(failure); };
    this->attempt->call
        = this->scope.targets.send(this->target().endpoint, this->targetRequest(), options, std::move(events));
}

void ServiceCall::onHead(const http::ResponseHead& head)
{
    noteAnswerHeaders(this->scope.shared, this->target(), head.headers);
    this->attempt->head = head;
}

void ServiceCall::onBody(std::string_view bytes)
{
    this->attempt->body.append(bytes);
    if (this->attempt->body.size() <= this->scope.shared.limits.answerBytes)
        return;
    this->attempt->call->cancel();
    this->mayHaveRun = true;
    this->endAttempt("answer too large", true);
    this->fail({ ErrorKind::TargetFailed, "the answer is larger than allowed", Execution::Unknown, {} });
}

void ServiceCall::onComplete()
{
    const auto& head = this->attempt->head;
    if (head.headers.valueOr("X-Request-Id", this->attempt->id) != this->attempt->id) {
        this->scope.shared.metrics.mismatchedAnswers.Increment();
        this->mayHaveRun = true;
        routing::recordFailure(*this->target().state, Clock::now());
        this->endAttempt("answer to another request", true);
        this->retryOrFail(
            { ErrorKind::OutcomeUnknown, "the target sent the answer to another request", Execution::Unknown, {} });
        return;
    }
    if (head.headers.valueOr("Dragonfly-Execution", "") == "not-run") {
        routing::recordFailure(*this->target().state, Clock::now());
        this->endAttempt("refused", true);
        const auto execution = this->mayHaveRun ? Execution::Unknown : Execution::NotRun;
        this->retryOrFail(
            { ErrorKind::TargetFailed, "the target refused to run the call", execution, std::chrono::seconds(1) });
        return;
    }
    if (!this->isGuarded() && head.status == statusServiceUnavailable) {
        this->mayHaveRun = true;
        routing::recordFailure(*this->target().state, Clock::now());
        this->endAttempt("unavailable", true);
        this->retryOrFail(
            { ErrorKind::TargetFailed, "the target is unavailable", Execution::Unknown, std::chrono::seconds(1) });
        return;
    }
    routing::recordSuccess(*this->target().state);
    this->answer();
}

void ServiceCall::onFailure(const http::CallFailure& failure)
{
    this->mayHaveRun |= failure.requestSent;
    if (!failure.requestSent && this->attempts > 1)
        this->scope.shared.retries.giveBack();
    routing::recordFailure(*this->target().state, Clock::now());
    this->endAttempt(failure.detail, true);
    const bool isLate = Clock::now() >= this->request.deadline;
    if (this->mayHaveRun && this->isGuarded())
        this->fail({ ErrorKind::OutcomeUnknown, failure.detail, Execution::Unknown, {} });
    else if (isLate)
        this->fail({ ErrorKind::DeadlineExceeded, "the deadline passed",
            this->mayHaveRun ? Execution::Unknown : Execution::NotRun, {} });
    else
        this->retryOrFail({ ErrorKind::TargetFailed, failure.detail,
            this->mayHaveRun ? Execution::Unknown : Execution::NotRun, std::chrono::seconds(1) });
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
    const bool mayRepeat = !this->isGuarded() || !this->mayHaveRun;
    if (!mayRepeat || this->attempts >= shared.limits.mostAttempts) {
        this->fail(error);
        return;
    }
    if (!shared.retries.take()) {
        shared.metrics.retriesDenied.Increment();
        this->fail(error);
        return;
    }
    shared.metrics.retries.Increment();
    QTimer::singleShot(
        retryDelay(this->attempts - 1), &this->scope.loop, [self = this->shared_from_this()] { self->nextAttempt(); });
}

void ServiceCall::answer()
{
    this->ended = true;
    if (this->claimHeld)
        this->keepOutcome();
    const auto head = std::move(this->attempt->head);
    const auto body = std::move(this->attempt->body);
    const auto name = this->target().name;
    this->endAttempt("answered", false);
    this->scope.shared.metrics.answered.Increment();
    recordEnd(this->scope.shared, this->request, "answered", false);
    this->request.exchange->respond(head.status,
        { { "Content-Type", std::string(head.headers.valueOr("Content-Type", "application/octet-stream")) },
            { "X-Request-Id", this->request.id }, { "Dragonfly-Target", name }, { "Dragonfly-Execution", "ran" } },
        body);
}

/// Keeps the answer for the caller's own repeats.
void ServiceCall::keepOutcome()
{
    pb::StoredAnswer answer;
    answer.set_status(static_cast<uint32_t>(this->attempt->head.status));
    answer.set_content_type(
        std::string(this->attempt->head.headers.valueOr("Content-Type", "application/octet-stream")));
    if (this->attempt->body.size() <= mostKeptAnswerBytes)
        answer.set_body(this->attempt->body);
    else
        answer.set_body_omitted(true);
    this->withLedger(
        [claim = this->claimRequest, answer](claims::ClaimLedger& ledger) { ledger.recordAnswer(claim, answer); });
}

/// Frees the key when the call surely did not run; else keeps it taken for good.
void ServiceCall::settleClaim(const Error& error)
{
    const bool unrun = error.execution == Execution::NotRun;
    this->withLedger([claim = this->claimRequest, unrun](claims::ClaimLedger& ledger) {
        if (unrun)
            ledger.release(claim);
        else
            ledger.markLost(claim);
    });
}

void ServiceCall::fail(const Error& error)
{
    if (this->ended)
        return;
    this->ended = true;
    if (this->claimHeld)
        this->settleClaim(error);
    answerError(this->scope.shared, this->request, error);
}

}
