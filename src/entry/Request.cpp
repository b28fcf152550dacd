#include "entry/Request.h"

#include <QRandomGenerator>
#include <charconv>
#include <utility>

namespace dragonfly::entry {

namespace {

    constexpr std::chrono::milliseconds initialBackoff { 20 };
    constexpr size_t maxBackoffDoublings = 5;

}

ActiveRequestGuard::ActiveRequestGuard(std::atomic<int>& count)
    : count(&count)
{
    count.fetch_add(1, std::memory_order_relaxed);
}

ActiveRequestGuard::~ActiveRequestGuard()
{
    if (this->count)
        this->count->fetch_sub(1, std::memory_order_relaxed);
}

ActiveRequestGuard::ActiveRequestGuard(ActiveRequestGuard&& other) noexcept
    : count(std::exchange(other.count, nullptr))
{
}

ActiveRequestGuard& ActiveRequestGuard::operator=(ActiveRequestGuard&& other) noexcept
{
    std::swap(this->count, other.count);
    return *this;
}

std::string attemptId(const Request& request, size_t attempt)
{
    return request.id + "-" + std::to_string(attempt);
}

std::optional<routing::Choice> chooseNextTarget(Context& shared, Request& request, const routing::PrefixChain* chain,
    uint32_t promptTokens, std::span<const uint32_t> excluded)
{
    const auto start = Clock::now();
    const uint64_t random = QRandomGenerator::global()->generate64();
    const routing::CandidateQuery query { *request.view, *request.route, shared.place, chain, &shared.prefixes, random,
        excluded, start };
    const auto gathered = routing::gatherCandidates(query);
    const auto& candidates = gathered.candidates;
    const routing::RoutingRequest routingRequest { promptTokens, gathered.knownTokens,
        chain ? routing::sharedPrefixTokens(*chain) : 0, shared.preferredHitRate.value(), random,
        request.route->prefer == pb::REUSE };
    const auto choice = routing::chooseTarget(shared.policy, candidates, routingRequest);
    const std::chrono::duration<double> elapsed = Clock::now() - start;
    shared.metrics.decisionSeconds.Observe(elapsed.count());
    if (!choice)
        return std::nullopt;
    request.explanation.attempts.push_back({ request.view->targets[choice->target].name, choice->reach, choice->reason,
        candidates.size(), choice->cachedTokens,
        std::chrono::duration_cast<std::chrono::microseconds>(choice->expectedFirstToken), {}, "in progress" });
    return choice;
}

std::chrono::milliseconds retryDelay(size_t retry)
{
    const auto backoff = initialBackoff * (1 << std::min(retry, maxBackoffDoublings));
    return std::chrono::milliseconds(QRandomGenerator::global()->bounded(static_cast<int>(backoff.count())));
}

bool isAnswerTo(const http::ResponseHead& head, std::string_view attemptId)
{
    const auto named = head.headers.find("X-Request-Id");
    return named ? *named == attemptId : head.isFirstOnConnection;
}

void recordAnswerHeaders(Context& shared, const routing::Target& target, const http::Headers& headers)
{
    auto& state = *target.state;
    if (const auto incarnation = headers.find("X-Target-Incarnation"))
        routing::updateIncarnation(state, fastHash(*incarnation));
    if (const auto weights = headers.find("X-Target-Weights"))
        state.weights.store(fastHash(*weights), std::memory_order_relaxed);
    if (const auto queued = headers.find("X-Target-Queued-Tokens")) {
        uint32_t tokens = 0;
        std::from_chars(queued->data(), queued->data() + queued->size(), tokens);
        routing::recordLoad(state, tokens, Clock::now());
    }
    if (headers.valueOr("X-Target-State", "") == "leaving" && routing::updateLeaving(state, true, Clock::now())
        && shared.onTargetLeaving)
        shared.onTargetLeaving(target.name);
}

void logStopped(observe::RequestOutcome outcome, const Request& request, const Error& error)
{
    const auto now = Clock::now();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - request.arrived);
    const auto& attempts = request.explanation.attempts;
    observe::logRequest(outcome,
        { { "request", request.id }, { "route", request.route ? request.route->name : "" },
            { "status", std::to_string(answerFor(error.kind).status) }, { "outcome", error.detail },
            { "execution", std::string(toString(error.execution)) }, { "took_ms", std::to_string(age.count()) },
            { "target", attempts.empty() ? "" : attempts.back().target } });
}

void answerError(Context& shared, Request& request, const Error& error)
{
    shared.metrics.failed(error.kind).Increment();
    recordOutcome(shared, request, std::string(answerFor(error.kind).name), true);
    http::respondWithError(*request.exchange, error, request.id);
}

void recordOutcome(Context& shared, Request& request, const std::string& outcome, bool failed)
{
    auto& explanation = request.explanation;
    explanation.requestId = request.id;
    explanation.took = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - request.arrived);
    explanation.outcome = outcome;
    if (request.organisation)
        explanation.organisation = request.organisation->name;
    if (request.route)
        explanation.route = request.route->name;
    if (request.view)
        explanation.configRevision = request.view->revision;
    if (request.trace.sampled)
        shared.spans.submit({ request.trace, "entry", explanation.started, WallClock::now(),
            { { "request.id", request.id }, { "outcome", outcome } }, failed });
    shared.explanations.add(std::move(explanation));
}

}
