#pragma once
// A request after authentication and route lookup, and the steps that all kinds of calls share.

#include "entry/Admission.h"
#include "entry/Context.h"

namespace dragonfly::entry {

/// Includes one request in the count of active requests until it is destroyed.
class ActiveRequestGuard {
public:
    ActiveRequestGuard() = default;
    explicit ActiveRequestGuard(std::atomic<int>& count);
    ~ActiveRequestGuard();
    ActiveRequestGuard(ActiveRequestGuard&& other) noexcept;
    ActiveRequestGuard& operator=(ActiveRequestGuard&& other) noexcept;

private:
    std::atomic<int>* count = nullptr;
};

/// One request in progress. It shares ownership of its view, so that organisation and route stay valid when the
/// configuration changes.
struct Request {
    ActiveRequestGuard activeGuard;
    http::ExchangePointer exchange;
    std::string id;
    Clock::time_point arrived;
    Deadline deadline;
    routing::ViewPointer view;
    const routing::Organisation* organisation = nullptr;
    const routing::Route* route = nullptr;
    Admission admission;
    observe::TraceContext trace;
    Explanation explanation;
};

/// A unique identifier of an attempt; targets return it with their answer.
std::string attemptId(const Request& request, size_t attempt);

/// Chooses the target of the next attempt and records the decision in the request's explanation. @p chain is null for
/// calls to plain services.
std::optional<routing::Choice> chooseNextTarget(Context& shared, Request& request, const routing::PrefixChain* chain,
    uint32_t promptTokens, std::span<const uint32_t> excluded);

/// Delay before retry number @p retry, counted from 0: exponential backoff with full jitter.
std::chrono::milliseconds retryDelay(size_t retry);

/// Whether @p head begins the answer to attempt @p attemptId. An answer that names no request may be due to an earlier
/// one, unless its connection carried none.
bool isAnswerTo(const http::ResponseHead& head, std::string_view attemptId);

/// Updates the target's state from the headers of its answer: incarnation, weights, queue length and leaving.
void recordAnswerHeaders(Context& shared, const routing::Target& target, const http::Headers& headers);

/// Logs a request that a planned stop ended or refused.
void logStopped(observe::RequestOutcome outcome, const Request& request, const Error& error);

/// Ends a request with an error; only before any part of an answer was sent.
void answerError(Context& shared, Request& request, const Error& error);

/// Completes the explanation and the trace of a request that has ended.
void recordOutcome(Context& shared, Request& request, const std::string& outcome, bool failed);

}
