#pragma once
// Carries messages between instances. Messages may be lost; none is sent twice by the transport.

#include "base/Base.h"
#include "peer.pb.h"

#include <functional>

namespace dragonfly::membership {

class PeerTransport {
public:
    virtual ~PeerTransport() = default;

    /// Sends without waiting. A message that cannot be queued is dropped.
    virtual void send(const std::string& address, const pb::PeerMessage& message) = 0;
    /// Forgets the connection to @p address.
    virtual void drop(const std::string& address) = 0;

    std::function<void(const pb::PeerMessage&)> onMessage;
};

}
