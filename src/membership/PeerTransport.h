#pragma once
// Sends messages between instances. A message may be lost; the transport never sends one twice.

#include "base/Base.h"
#include "peer.pb.h"

#include <functional>

namespace dragonfly::membership {

class PeerTransport {
public:
    virtual ~PeerTransport() = default;

    /// Sends without blocking. A message that cannot be queued is dropped.
    virtual void send(const std::string& address, const pb::PeerMessage& message) = 0;
    /// Closes the connection to @p address and drops the messages queued for it.
    virtual void drop(const std::string& address) = 0;

    /// Called for each message received.
    std::function<void(const pb::PeerMessage&)> onMessage;
};

}
