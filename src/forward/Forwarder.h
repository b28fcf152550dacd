#pragma once
// Takes requests from callers, finds their route and organisation, and forwards them.

#include "forward/ForwardCall.h"

namespace dragonfly::forward {

class Forwarder {
public:
    explicit Forwarder(ForwardContext& context)
        : context(context)
    {
    }

    void handle(const http::ExchangePointer& exchange);

private:
    /// Finds the organisation of @p request; an error when it may not be taken.
    Status authenticate(ForwardRequest& request, BootClock::time_point now) const;
    void refuse(const http::ExchangePointer& exchange, const Description& description, const Error& error);

    ForwardContext& context;
};

}
