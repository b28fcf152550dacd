#pragma once
// One accepted connection, which reads requests one at a time and writes the answers.

#include "http/DiscardedBytes.h"
#include "http/RequestParser.h"
#include "http/Server.h"
#include "http/StreamSocket.h"

#include <optional>

namespace dragonfly::http {

class ServerConnection : public QObject {
    Q_OBJECT
public:
    ServerConnection(Server* server, qintptr descriptor, QString address);
    ~ServerConnection() override;

    void sendResponse(int status, const Headers& headers, std::string body);
    void sendHead(int status, const Headers& headers);
    void sendChunk(std::string_view chunk);
    void sendLastChunk();
    void abort();
    /// Ends the answer to @p request, whose handler has released it without an answer.
    void endUnanswered(const Request& request);
    void closeWhenIdle();
    /// Whether the caller has closed, or ended its sending side, also if the event loop has not handled that yet.
    bool hasCallerClosed() const;
    /// Keeps an idle connection until the idle time of the server's limits has passed, unless it is kept for longer.
    void extendIdleTime();

    /// Since when nothing is done for the caller, who has sent no whole request or has all answers; nothing otherwise.
    std::optional<Clock::time_point> waitingForCallerSince() const;
    /// Whether a request has arrived on the idle connection that the event loop has not read. It is then not idle.
    bool noticeInput();
    /// Closes the connection, since another caller wants one.
    void closeForOther();
    const std::shared_ptr<BufferBudget>& budget() const
    {
        return this->server->held;
    }
    const QString& callerAddress() const
    {
        return this->address;
    }

    int64_t unsentBytes() const
    {
        return static_cast<int64_t>(this->socket.unsentBytes());
    }
    std::string addressText() const
    {
        return this->address.toStdString();
    }

private:
    /// What ends each state is bounded, whatever the caller does.
    enum class State {
        Idle, ///< until ServerLimits::idleTimeout
        Headers, ///< until headerTimeout
        Body, ///< until bodyTimeout
        Answering, ///< until the handler ends the answer; the request's deadline is the handler's
        Closing, ///< sends what is queued and discards what arrives, until sendTimeout or lingerTimeout
        ClosingUnread, ///< sends what is queued and reads nothing, until it is delivered, sendTimeout or lingerTimeout
        Closed,
    };

    enum class CloseReason {
        CallerCloses, ///< the head of its request said "close"
        AnswerCloses, ///< the head of the last answer said "close"
        Refused, ///< a request could not be read
        Aborted, ///< an answer was broken off
    };
    static std::string_view toString(CloseReason reason);

    void readMore();
    void readAvailable();
    void discardAvailable();
    void updateShare();
    void giveUp();
    void reset();
    void release();
    void onEnd();
    void reportDiscarded();
    void endRequest();
    void parse();
    bool feedParser();
    void dispatch();
    /// @param retryAfter zero: no Retry-After header
    void refuse(ErrorKind kind, std::string detail, std::chrono::seconds retryAfter = std::chrono::seconds(0));
    void send(std::string bytes);
    void onAnswerSent();
    bool hasWaitingInput() const;
    bool mayKeep() const;
    void closeBehindAnswer();
    void checkDelivery();
    void closeInOrder(CloseReason reason);
    void endSending();
    void checkSendProgress();
    void drop();
    int64_t unacknowledgedBytes() const;
    void checkDeadline();
    void setDeadline(std::chrono::milliseconds time);
    std::string headText(int status, const Headers& headers, std::string_view framing) const;

    Server* server;
    QString address;
    StreamSocket socket;
    QTimer timer;
    Deadline deadline;
    Clock::time_point idleSince = Clock::now(); ///< valid in Idle
    Clock::time_point inputSince; ///< valid in Headers and Body: when the request began
    Clock::time_point outputSince; ///< valid while there is something unsent: its last progress, or its begin
    Deadline firstRequestDeadline; ///< a drain does not close a connection without a request before
    State state = State::Idle;
    std::optional<RequestParser> parser;
    /// Received bytes that are not parsed yet. Before Answering, at most a read more than ServerLimits::headerBytes; a
    /// pipelined request stays here until the current answer has ended.
    std::string unparsed;
    size_t searchedBytes = 0; ///< of a head, those in which its end was looked for
    std::string_view input; ///< in parse(): what it has not consumed, instead of `unparsed`
    /// Of the connection itself, what was received and is not handed on, and what the caller has not received.
    BufferShare share;
    std::weak_ptr<Exchange> exchange;
    bool isReadingPaused = false; ///< in Answering: as much is unparsed as may be
    bool isReleased = false; ///< it counts no longer as one of the server's connections
    bool isRequestOpen = false; ///< from a request received whole to the end of its answer, or of its connection
    bool isHeadSent = false; ///< in Answering: of a stream
    bool hasCallerAskedToClose = false; ///< with its last request
    bool keepAlive = true; ///< false once the caller or the head of the current answer has said "close"
    bool sendingEnded
        = false; ///< in Closing and ClosingUnread: everything queued is with the system, and the end of the stream too
    Deadline deliveryDeadline; ///< in ClosingUnread: it closes then if nothing more was acknowledged
    int64_t unsentAtCheck = 0; ///< unacknowledgedBytes() when that deadline or the one of Closing was set
    CloseReason closeReason = CloseReason::AnswerCloses; ///< valid in Closing
    DiscardedBytes discarded; ///< in Closing
};

}
