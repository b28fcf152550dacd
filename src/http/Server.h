#pragma once
// An HTTP/1.1 server on Qt sockets with bounded bodies, headers, times and connections.
//
// Boost.Beast parses the bytes; Qt's event loop moves them. Requests on one connection are handed
// out strictly one at a time, so that pipelined answers can never interleave.

#include "base/Base.h"
#include "http/Message.h"

#include <QHash>
#include <QHostAddress>
#include <QObject>
#include <QPointer>
#include <QTcpServer>
#include <QTimer>
#include <atomic>
#include <functional>
#include <memory>

namespace dragonfly::http {

struct ServerLimits {
    size_t bodyBytes = 8u << 20;
    uint32_t headerBytes = 16u << 10;
    std::chrono::milliseconds headerTime { 5000 }; ///< from the first byte of a request to the end of its headers
    std::chrono::milliseconds bodyTime { 30000 }; ///< from the end of the headers to the end of the body
    std::chrono::milliseconds idleTime { 60000 }; ///< between requests on a kept connection
    int connections = 4096;
    int connectionsPerAddress = 2048;
};

class ServerConnection;

/// One request and the answer to it.
///
/// Use either respond(), or beginStream(), write() and finish(). All calls belong to the thread of the
/// connection. After the caller has gone every call is a no-op.
class Exchange {
public:
    Exchange(ServerConnection* connection, Request request);

    const Request& request() const
    {
        return this->received;
    }
    std::string_view peerAddress() const
    {
        return this->address;
    }

    void respond(int status, const Headers& headers, std::string_view body);
    void beginStream(int status, const Headers& headers);
    void write(std::string_view chunk);
    void finish();
    /// Closes the connection without ending the answer, so that the caller sees that it is not whole.
    void abort();

    /// Bytes that are waiting because the caller reads slowly.
    int64_t unsentBytes() const;
    bool callerGone() const;

    std::function<void()> onCallerGone;
    std::function<void()> onDrained; ///< called each time that the waiting bytes have shrunk

private:
    QPointer<ServerConnection> connection;
    Request received;
    std::string address;
};

using ExchangePointer = std::shared_ptr<Exchange>;
using Handler = std::function<void(const ExchangePointer&)>;
/// Called with the kind of a request that was refused before it reached the handler.
using RefusalObserver = std::function<void(ErrorKind)>;

/// Accepts connections on one socket, in the event loop of the thread that created it.
class Server : public QTcpServer {
    Q_OBJECT
public:
    Server(const ServerLimits& limits, Handler handler, QObject* parent = nullptr);
    ~Server() override;

    /// Listens on @p endpoint; several servers may share it. Returns the endpoint with its real port.
    Result<Endpoint> listenShared(const Endpoint& endpoint);

    RefusalObserver onRefusal;
    /// Limits for requests that have not begun.
    void setLimits(const ServerLimits& limits)
    {
        this->limits = limits;
    }
    /// Answers requests from now on with "Connection: close", so that callers go elsewhere for their next.
    void announceClosing()
    {
        this->closing = true;
    }
    /// Closes idle connections, and the others when their answers have ended.
    void stopKeepingConnections();

    /// From any thread.
    int connectionCount() const
    {
        return this->openConnections.load(std::memory_order_relaxed);
    }

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    friend class ServerConnection;
    void release(const QString& address);

    ServerLimits limits;
    Handler handler;
    QHash<QString, int> connectionsByAddress;
    std::atomic<int> openConnections { 0 };
    bool closing = false;
};

/// The answer to a refused request: a JSON body, the execution header and, when known, Retry-After.
void respondWithError(Exchange& exchange, const Error& error, std::string_view requestId);
std::string errorBody(const Error& error, std::string_view requestId);

}
