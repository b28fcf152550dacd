#include "store/HttpTransport.h"

#include <algorithm>

namespace dragonfly::store {

namespace {

    /// Maximum wait for a connection, so that an endpoint that is down does not use up the deadline of a call.
    constexpr std::chrono::milliseconds connectTimeout { 500 };
    /// Several times a page of the store, which is of about 1 MB and may end with a value of 1 MiB.
    constexpr size_t maxAnswerBytes = 8u << 20;

}

HttpTransport::HttpTransport(std::vector<Endpoint> endpoints, http::ClientPool* pool)
    : endpoints(std::move(endpoints))
    , pool(pool)
{
}

void HttpTransport::call(const std::string& method, const std::string& target, const std::string& body,
    Deadline deadline, std::function<void(HttpOutcome)> done)
{
    http::Request request { method, target, {}, body };
    if (!body.empty())
        request.headers.add("Content-Type", "application/json");
    auto reply = std::make_shared<HttpReply>();
    http::CallEvents events;
    events.onHead = [reply](const http::ResponseHead& head) {
        reply->status = head.status;
        reply->headers = head.headers;
    };
    const auto sent = std::make_shared<std::optional<http::Call>>();
    events.onBody = [this, reply, sent, done](std::string_view bytes) {
        reply->body.append(bytes);
        if (reply->body.size() <= maxAnswerBytes)
            return;
        (*sent)->cancel();
        ++this->endpointIndex;
        done(HttpReply { statusAnswerTooLarge, std::move(reply->headers), {} });
    };
    events.onComplete = [reply, done] { done(std::move(*reply)); };
    events.onFailure = [this, done](const http::CallFailure& failure) {
        ++this->endpointIndex;
        done(failure.requestSent ? StoreFailure::Unknown : StoreFailure::NotExecuted);
    };
    const auto connectDeadline = std::min(deadline, Clock::now() + connectTimeout);
    *sent = this->pool->send(this->endpoints[this->endpointIndex % this->endpoints.size()], request,
        { connectDeadline, deadline }, std::move(events));
}

}
