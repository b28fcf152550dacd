#pragma once
// An HTTP/1.1 client on Qt sockets that sends each request exactly once.
//
// The client never retries a request: retries are left to its user. A connection carries one call at a time.
// It is closed instead of reused when its call was cancelled, timed out or left unread bytes, so a late
// answer is never attributed to another call.

#include "base/Base.h"
#include "http/Message.h"

#include <QObject>
#include <QPointer>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace dragonfly::http {

enum class CallFailureKind {
    ConnectFailed,
    Withheld, ///< CallEvents::mayWrite did not allow the request
    Closed, ///< the connection was closed or reset before the answer was complete
    Malformed,
    TimedOut,
};

struct CallFailure {
    CallFailureKind kind;
    bool requestSent; ///< whether any byte of the request was written to the socket
    std::string detail;
    bool isUnreached = false; ///< no connection was opened for the call
    std::optional<int> tunnelStatus = {}; ///< with which CallOptions::via refused the tunnel
};

/// Callbacks of a call. The last one is either onComplete or onFailure; after Call::cancel() none is called.
struct CallEvents {
    /// Asked right before the first byte of the request is written; the call fails if it returns false.
    std::function<bool()> mayWrite;
    std::function<void()> onSent; ///< the first byte of the request was written to the socket
    std::function<void(const ResponseHead&)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onComplete;
    std::function<void(const CallFailure&)> onFailure;
    /// The deadline passed after the request was sent. The call fails unless this moves the deadline into the future.
    std::function<void()> onOverdue;
};

struct CallOptions {
    Deadline connectDeadline; ///< for the connection to be established
    Deadline deadline; ///< for the whole answer, unless Call::setDeadline() moves it
    bool reuseConnection = true; ///< false opens a new connection, which cannot be stale
    /// Connections that became idle before this are not reused: the target may have closed them.
    Clock::time_point minIdleSince = Clock::time_point::min();
    std::optional<Endpoint> via = {}; ///< opens tunnels to the endpoint by CONNECT; nothing connects to it directly
};

class ClientConnection;

/// A handle to one call. Destroying it does not cancel the call.
class Call {
public:
    explicit Call(ClientConnection* connection, uint64_t number);

    /// Ends the call without further callbacks and closes its connection.
    void cancel();
    void setDeadline(Deadline deadline);
    bool requestSent() const;
    /// Pauses or resumes reading the answer, so that a slow reader slows the target down (back-pressure).
    void setPaused(bool paused);
    /// Closes the connection when the answer is complete, so that no other request is sent on it.
    void closeAfterAnswer();

private:
    /// The connection while it carries this call, otherwise null.
    ClientConnection* activeConnection() const;

    QPointer<ClientConnection> connection;
    uint64_t number;
};

/// A pool of connections to many endpoints, used from the event loop of one thread.
class ClientPool : public QObject {
    Q_OBJECT
public:
    explicit ClientPool(QObject* parent = nullptr);
    ~ClientPool() override;

    /// Sends @p request to @p endpoint. Callbacks run from the event loop, never from within send().
    Call send(const Endpoint& endpoint, const Request& request, const CallOptions& options, CallEvents events);

private:
    friend class ClientConnection;
    ClientConnection* acquireIdle(const std::string& key, Clock::time_point minIdleSince);
    void addIdle(ClientConnection* connection);
    void removeIdle(ClientConnection* connection);

    std::unordered_map<std::string, std::vector<QPointer<ClientConnection>>> idle; ///< by ClientConnection::key()
    uint64_t lastCallNumber = 0;
};

}
