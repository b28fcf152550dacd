#pragma once
// What is known of a request once its caller and route have been found.

#include "entry/Admission.h"
#include "entry/Context.h"

namespace dragonfly::entry {

/// Counts one request as under way until it is destroyed.
class Activity {
public:
    Activity() = default;
    explicit Activity(std::atomic<int>& count);
    ~Activity();
    Activity(Activity&& other) noexcept;
    Activity& operator=(Activity&& other) noexcept;

private:
    std::atomic<int>* count = nullptr;
};

/// One request on its way. Keeps its view, so that a change of configuration does not pull it away.
struct Request {
    Activity activity;
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

/// A text that names this attempt alone; targets send it back with their answer.
std::string attemptId(const Request& request, size_t attempt);

/// Chooses the target of the next attempt and writes the reasons into the request's explanation.
std::optional<routing::Choice> chooseNext(Context& shared, Request& request, const routing::PrefixChain* chain,
    uint32_t promptTokens, std::span<const uint32_t> excluded);

/// Waits before retry number @p retry: full jitter below a bound that doubles.
std::chrono::milliseconds retryDelay(size_t retry);

/// What a target's answer headers tell about it, put to use.
void noteAnswerHeaders(Context& shared, const routing::Target& target, const http::Headers& headers);

/// Ends a request with an error that has not been begun to answer.
void answerError(Context& shared, Request& request, const Error& error);

/// Counts, explains and traces a request that is over.
void recordEnd(Context& shared, Request& request, const std::string& outcome, bool failed);

}
