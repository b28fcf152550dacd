#pragma once
// An HTTP/1.1 server on Qt sockets with limits on body size, header size, durations and connections.
//
// Boost.Beast parses the bytes; Qt's event loop does the input and output. The requests of a connection are
// dispatched strictly one at a time, so that the answers to pipelined requests never interleave.

#include "base/Base.h"
#include "base/BufferBudget.h"
#include "http/Message.h"

#include <QHash>
#include <QHostAddress>
#include <QObject>
#include <QPointer>
#include <QSocketNotifier>
#include <QTcpServer>
#include <QTimer>
#include <atomic>
#include <functional>
#include <memory>
#include <unordered_set>

namespace dragonfly::http {

struct ServerLimits {
    size_t bodyBytes = 8u << 20;
    uint32_t headerBytes = 16u << 10;
    std::chrono::milliseconds headerTimeout { 5000 }; ///< from the first byte of a request to the end of its headers
    std::chrono::milliseconds bodyTimeout { 30000 }; ///< from the end of the headers to the end of the body
    std::chrono::milliseconds idleTimeout { 60000 }; ///< between requests on a persistent connection
    /// Without progress of what is queued for a caller on a connection that closes; a caller may be suspended for some
    /// seconds.
    std::chrono::milliseconds sendTimeout { 10000 };
    /// From the end of sending to the caller's close; some round trips, so that nothing of the caller's is on its way.
    std::chrono::milliseconds lingerTimeout { 2000 };
    /// What all connections may hold together: requests, those that are open included, and what callers have not
    /// received of their answers. When it is exceeded, the connections that have held most for longest are given up,
    /// but none whose request is open; a request that would take more than half of what is left is refused. There is
    /// always room for a request of the largest size if it is the only one.
    size_t receivedBytes = 16u << 20;
    int connections = 4096;
    int connectionsPerAddress = 2048;
};

class ServerConnection;

/// One request and the answer to it.
///
/// Answer with either respond(), or beginStream(), write() and finish(). All methods must be called in the
/// thread of the connection. After the caller has disconnected they do nothing. An exchange that is destroyed before
/// its answer has ended is answered as a request that may have run, or its stream is aborted.
class Exchange {
public:
    Exchange(ServerConnection* connection, Request request);
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    const Request& request() const
    {
        return this->received;
    }
    /// Counts @p bytes that the handler holds for the request, until the exchange is destroyed. False if the limit on
    /// what is held leaves no room for them.
    bool tryHold(size_t bytes);
    std::string_view peerAddress() const
    {
        return this->address;
    }

    void respond(int status, const Headers& headers, std::string_view body);
    /// The same, for a body that may be large and is not copied.
    void respondWithBody(int status, const Headers& headers, std::string body);
    void beginStream(int status, const Headers& headers);
    void write(std::string_view chunk);
    void finish();
    /// Delivers what was written, then closes the connection without ending the answer, so that the caller detects that
    /// it is incomplete.
    void abort();

    /// Bytes of the answer that are not yet written to the network, because the caller reads slowly.
    int64_t unsentBytes() const;
    /// Whether the connection has been closed.
    bool callerGone() const;
    /// Whether the caller has closed, or ended its sending side, also if the event loop has not handled that yet.
    bool hasCallerClosed() const;

    std::function<void()> onCallerGone; ///< called when the caller disconnects before the answer has ended
    std::function<void()> onDrained; ///< called each time that some of the unsent bytes were written

private:
    QPointer<ServerConnection> connection;
    Request received;
    std::shared_ptr<BufferBudget> budget; ///< of the server, which the exchange may outlive
    BufferShare held; ///< the request, and what the handler holds for it
    size_t heldBytes = 0;
    std::string address;
    bool isEnded = false; ///< by respond(), finish() or abort()
};

using ExchangePointer = std::shared_ptr<Exchange>;
using Handler = std::function<void(const ExchangePointer&)>;
/// A request or connection that is refused before it reaches the handler.
struct Refusal {
    ErrorKind kind;
    std::string_view reason;
    std::string address; ///< of the caller
};
using RefusalObserver = std::function<void(const Refusal&)>;

/// What was received on a connection after it had been decided to close it, and was not read as requests.
struct DiscardedInput {
    std::string_view reason; ///< why the connection closed
    std::string address; ///< of the caller
    size_t bytes = 0;
    bool hasWholeHead = false; ///< the bytes may contain a request; the rest of a refused one may look like that too
};

/// What an operator has to see of a server's requests. All are optional.
struct RequestObserver {
    std::function<void()> onBegun; ///< a request was received whole
    std::function<void()> onEnded; ///< its answer has ended, or its caller has left
    /// A request's exchange was destroyed unanswered while its caller was connected.
    std::function<void(const Request&)> onUnanswered;
    std::function<void(const DiscardedInput&)> onInputDiscarded;
};

/// Accepts connections on one socket, in the event loop of the thread that created it.
class Server : public QTcpServer {
    Q_OBJECT
public:
    Server(const ServerLimits& limits, Handler handler, QObject* parent = nullptr);
    ~Server() override;

    /// Listens on @p endpoint, which several servers may share. Returns the endpoint with the actual port.
    Result<Endpoint> listenShared(const Endpoint& endpoint);

    RefusalObserver onRefusal;
    RequestObserver observer;
    /// Sets the limits for later connections and requests. Connections that are idle are kept for the longer of the
    /// previous and the new idle time, since callers may know either.
    void setLimits(const ServerLimits& limits);
    /// Stops listening. Connections that the system has established are accepted first; only those whose handshake ends
    /// between the last accept and the close are reset.
    void close();
    /// Answers further requests with "Connection: close", so that callers connect to another instance for the next.
    void announceClosing()
    {
        this->closing = true;
    }
    /// Closes idle connections now, and the others when their answers have ended.
    void drainConnections();

    /// Number of open connections. Thread-safe.
    int connectionCount() const
    {
        return this->openConnections.load(std::memory_order_relaxed);
    }

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    friend class ServerConnection;
    friend class Exchange;
    void release(const QString& address);
    void acceptWaiting();
    void onAcceptFailed();
    int connectionLimit() const;
    ServerConnection* findLongestWaiting(const QString* address) const;
    bool makeRoom(const QString* address);
    bool mayHold(size_t bytes) const
    {
        return this->held->mayPin(bytes);
    }

    ServerLimits limits;
    std::shared_ptr<BufferBudget> held; ///< what all connections and open requests hold
    std::unique_ptr<QSocketNotifier> acceptNotifier; ///< while it listens
    int descriptorLimit; ///< on connections, so that each open request can have another one to its target
    std::vector<char> readBuffer; ///< of the connection that is reading
    Handler handler;
    QHash<QString, int> connectionsByAddress;
    std::unordered_set<ServerConnection*> connections; ///< those that have a descriptor
    std::atomic<int> openConnections { 0 };
    bool closing = false; ///< heads of answers say "Connection: close"
    bool draining = false; ///< connections are closed as soon as they are idle
};

/// Answers with @p error: a JSON body, the execution header and, when known, Retry-After.
void respondWithError(Exchange& exchange, const Error& error, std::string_view requestId);
/// The JSON body of the answer for @p error.
std::string errorBody(const Error& error, std::string_view requestId);

}
