#pragma once
// An HTTP/1.1 client on Qt sockets that sends each request exactly once.
//
// Nothing below this interface ever repeats a request: a retry is the caller's decision. A connection
// carries one call at a time and is closed, never reused, when its call was cancelled, timed out, or
// left bytes behind; a late answer can therefore not be taken for another call's.

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
    Closed, ///< the connection ended before the answer was whole
    Malformed,
    TimedOut,
};

struct CallFailure {
    CallFailureKind kind;
    bool requestSent; ///< some byte of the request was handed to the socket
    std::string detail;
};

/// What happens to a call. onComplete and onFailure exclude each other and come last.
struct CallEvents {
    std::function<void(const ResponseHead&)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onComplete;
    std::function<void(const CallFailure&)> onFailure;
};

struct CallOptions {
    Deadline connectDeadline;
    Deadline deadline; ///< for the first byte of the answer; move it with Call::setDeadline()
    bool reuseConnection = true; ///< false opens a connection of its own, which cannot be stale
    /// Kept connections that went idle before this are not used: the target may have dropped them.
    Clock::time_point oldestIdle = Clock::time_point::min();
};

class ClientConnection;

/// A handle on one call. Destroying it does not end the call.
class Call {
public:
    explicit Call(ClientConnection* connection, uint64_t number);

    /// Ends the call without further events and closes its connection.
    void cancel();
    void setDeadline(Deadline deadline);
    bool requestSent() const;
    /// Stops or continues reading the answer, to pass a slow reader's pace on to the target.
    void setPaused(bool paused);

private:
    ClientConnection* current() const;

    QPointer<ClientConnection> connection;
    uint64_t number;
};

/// Connections to many endpoints, in the event loop of one thread.
class ClientPool : public QObject {
    Q_OBJECT
public:
    explicit ClientPool(QObject* parent = nullptr);
    ~ClientPool() override;

    /// Sends @p request to @p endpoint. Events come from the event loop, never from within send().
    Call send(const Endpoint& endpoint, const Request& request, const CallOptions& options, CallEvents events);

private:
    friend class ClientConnection;
    ClientConnection* takeIdle(const Endpoint& endpoint, Clock::time_point oldestIdle);
    void keepIdle(ClientConnection* connection);
    void forget(ClientConnection* connection);

    std::unordered_map<std::string, std::vector<QPointer<ClientConnection>>> idle;
    uint64_t lastCall = 0;
};

}
