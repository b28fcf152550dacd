#pragma once
// Resolves the route and organisation of callers' requests and forwards them.

#include "forward/ForwardCall.h"

namespace dragonfly::forward {

class Forwarder {
public:
    explicit Forwarder(ForwardContext& context);

    /// Forwards the request of @p exchange, or answers it with an error.
    void handle(const http::ExchangePointer& exchange);
    /// To be called when the wanted weights or those of a target have changed, or when the machine was suspended.
    void updateBeginDeadlines();
    /// Gives all open requests a final answer, and refuses those that arrive later, because the instance stops.
    void endForStop();
    /// The requests that have not ended, the one that has waited longest first.
    std::vector<OpenRequest> openRequests() const;

    /// Whether a registered target has the address @p endpoint.
    bool isTargetAt(const Endpoint& endpoint) const;

private:
    void observePaths();
    /// Withdraws the calls that wait at an engine with a prompt part that has just been quarantined.
    void onPromptsQuarantined();
    /// Sets the organisation of @p request from its API key; an error when the key is unknown or cannot be verified.
    Status authenticate(ForwardRequest& request, BootClock::time_point now) const;
    void refuse(const http::ExchangePointer& exchange, const RequestMetadata& metadata, const Error& error);

    ForwardContext& context;
};

}
