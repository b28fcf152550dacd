#pragma once
// Carries connections of other instances to targets that those cannot reach themselves.
//
// An instance asks with an HTTP CONNECT for the address of a registered target. From then on bytes are passed on
// unread, and a close or reset of one side closes or resets the other.

#include "base/Base.h"

#include <QTcpServer>
#include <functional>

namespace dragonfly::paths {

/// How a request for a tunnel is answered.
enum class TunnelAnswer {
    Open,
    NoTarget, ///< no target to which requests may be sent has the address, or it takes no connection
    NoPath, ///< this instance has no path of its own, or carries as much as it may
};

/// The status line and the end of the head that state @p answer.
std::string_view toHead(TunnelAnswer answer);
/// Reads the status of such a head.
TunnelAnswer answerOf(int status);

class TunnelServer : public QTcpServer {
    Q_OBJECT
public:
    /// Listens on @p endpoint. Returns it with the actual port.
    Result<Endpoint> listenOn(const Endpoint& endpoint);

    /// Whether a tunnel may carry a request that has not been answered.
    bool isAnyBusy(Clock::time_point now) const;

    /// Whether a tunnel to @p target may be opened.
    std::function<TunnelAnswer(const Endpoint& target)> mayOpen;

protected:
    void incomingConnection(qintptr descriptor) override;
};

}
