#pragma once
// One call to the platform's service over HTTP: transport, time-outs and unknown outcomes, whatever the
// protocol that is spoken on top.

#include "http/Http.h"
#include "store/KeyValueStore.h"

namespace dragonfly::store {

struct HttpReply {
    int status = 0;
    std::string body;
};

using HttpOutcome = std::variant<HttpReply, StoreFailure>;

class HttpTransport {
public:
    /// @param endpoints addresses of the service; a failed call moves on to the next one
    HttpTransport(std::vector<Endpoint> endpoints, http::ClientPool* pool);

    /// Sends one call. A failure says whether the call may have taken effect.
    void call(const std::string& method, const std::string& target, const std::string& body, Deadline deadline,
        std::function<void(HttpOutcome)> done);

private:
    std::vector<Endpoint> endpoints;
    http::ClientPool* pool;
    size_t next = 0;
};

}
