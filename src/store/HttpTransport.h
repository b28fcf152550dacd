#pragma once
// HTTP transport for calls to the platform's service: selects the address, sets timeouts and classifies failures.
// Independent of the protocol that the bodies follow.

#include "http/Http.h"
#include "store/KeyValueStore.h"

namespace dragonfly::store {

struct HttpReply {
    int status = 0;
    http::Headers headers;
    std::string body;
};

/// Status of the reply in place of an answer that is larger than is kept.
inline constexpr int statusAnswerTooLarge = 413;

using HttpOutcome = std::variant<HttpReply, StoreFailure>;

class HttpTransport {
public:
    /// @param endpoints addresses of the service; after a failed call, later calls use the next one
    HttpTransport(std::vector<Endpoint> endpoints, http::ClientPool* pool);

    /// Sends one call and passes the complete reply or the failure to @p done; never retries. A failure states whether
    /// the call may have taken effect.
    void call(const std::string& method, const std::string& target, const std::string& body, Deadline deadline,
        std::function<void(HttpOutcome)> done);

private:
    std::vector<Endpoint> endpoints;
    http::ClientPool* pool;
    size_t endpointIndex = 0; ///< of the endpoint in use, modulo their number; each failed call increments it
};

}
