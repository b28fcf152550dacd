#pragma once
// Accepts connections to the admin address, for an HTTP server that bounds no request by itself.

#include "base/Base.h"

#include <QHttpServer>
#include <QTcpServer>

namespace dragonfly::daemon {

/// Closes connections on which more is received than a request to an operator's interface has.
class AdminListener : public QTcpServer {
    Q_OBJECT
public:
    /// Listens on @p address for @p server, which owns the listener. Returns the port; 0 if that failed.
    static uint16_t start(QHttpServer& server, const Endpoint& address);

protected:
    void incomingConnection(qintptr descriptor) override;
};

}
