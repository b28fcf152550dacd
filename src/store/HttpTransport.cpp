#include "store/HttpTransport.h"

#include <algorithm>

namespace dragonfly::store {

namespace {

    /// Maximum wait for a connection, so that an endpoint that is down does not use up the deadline of a call.
    constexpr std::chrono::milliseconds connectTimeout { 500 };

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
    events.onBody = [reply](std::string_view bytes) { reply->body.append(bytes); };
    events.onComplete = [reply, done] { done(std::move(*reply)); };
    events.onFailure = [this, done](const http::CallFailure& failure) {
        ++this->endpointIndex;
        done(failure.requestSent ? StoreFailure::Unknown : StoreFailure::NotExecuted);
    };
    const auto connectDeadline = std::min(deadline, Clock::now() + connectTimeout);
    this->pool->send(this->endpoints[this->endpointIndex % this->endpoints.size()], request,
        { connectDeadline, deadline }, std::move(events));
}

}
