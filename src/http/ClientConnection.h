#pragma once
// One client connection, which carries one call at a time.

#include "http/Client.h"

#include <QSocketNotifier>
#include <QTcpSocket>
#include <QTimer>
#include <boost/beast/http/basic_parser.hpp>

namespace dragonfly::http {

namespace internal {

    /// Collects the head and the body bytes of a response; the connection removes the body bytes as they arrive.
    class ResponseParser : public boost::beast::http::basic_parser<false> {
    public:
        ResponseHead head;
        bool headComplete = false;
        std::string body; ///< body bytes that were not delivered yet

    private:
        using Text = boost::beast::string_view;
        using Code = boost::beast::error_code;

        void on_request_impl(boost::beast::http::verb, Text, Text, int, Code&) override
        {
        }
        void on_response_impl(int status, Text, int, Code&) override
        {
            this->head.status = status;
        }
        void on_field_impl(boost::beast::http::field, Text name, Text value, Code&) override
        {
            this->head.headers.add({ name.data(), name.size() }, { value.data(), value.size() });
        }
        void on_header_impl(Code&) override
        {
            this->headComplete = true;
        }
        void on_body_init_impl(boost::optional<std::uint64_t> const&, Code&) override
        {
        }
        std::size_t on_body_impl(Text text, Code&) override
        {
            this->body.append(text.data(), text.size());
            return text.size();
        }
        void on_chunk_header_impl(std::uint64_t, Text, Code&) override
        {
        }
        std::size_t on_chunk_body_impl(std::uint64_t, Text text, Code&) override
        {
            this->body.append(text.data(), text.size());
            return text.size();
        }
        void on_finish_impl(Code&) override
        {
        }
    };

    /// Why the head that @p parser has completed is none of an answer, though it could be parsed; nothing if it is one.
    std::optional<std::string_view> problemOf(const ResponseParser& parser);

}

class ClientConnection : public QObject {
    Q_OBJECT
public:
    /// @param via opens tunnels to @p endpoint; nothing connects to it directly
    ClientConnection(ClientPool* pool, Endpoint endpoint, std::optional<Endpoint> via);
    ~ClientConnection() override;

    void start(uint64_t number, const Request& request, const CallOptions& options, CallEvents events);
    void cancel();
    void setDeadline(Deadline deadline);
    void setPaused(bool paused);
    /// Closes the connection when the current call is complete.
    void closeAfterAnswer()
    {
        this->closesAfterAnswer = true;
    }

    /// Whether a call can be started at @p now: the connection is idle and open, nothing was received on it since, and
    /// the target's idle timeout has not passed.
    bool isReusable(Clock::time_point now) const;
    Clock::time_point idleSince() const
    {
        return this->becameIdle;
    }
    bool requestSent() const
    {
        return this->sent;
    }
    uint64_t callNumber() const
    {
        return this->number;
    }
    /// Connections with the same key are interchangeable.
    static std::string keyOf(const Endpoint& endpoint, const std::optional<Endpoint>& via)
    {
        return via ? endpoint.toString() + " via " + via->toString() : endpoint.toString();
    }
    std::string key() const
    {
        return keyOf(this->endpoint, this->via);
    }

private:
    void onConnected();
    void readTunnelAnswer();
    void writeRequest();
    void writeMore();
    void prepareParser();
    bool skipInterimAnswer();
    void readMore();
    void parse();
    bool deliverParsed();
    void resumeReading();
    void onDisconnected();
    void endWithConnection();
    void watchForReset();
    void completeAtEndOfStream();
    void checkDeadline();
    bool reportOverdue();
    void armTimer();
    void complete();
    void fail(CallFailureKind kind, std::string detail);
    void close();

    ClientPool* pool;
    Endpoint endpoint;
    std::optional<Endpoint> via;
    bool isTunnelOpen = false; ///< the instance on the way has connected to the endpoint
    std::string tunnelHead; ///< received of its answer
    std::optional<int> tunnelStatus; ///< with which it refused
    QTcpSocket socket;
    QTimer timer;
    Deadline deadline;
    Deadline connectDeadline;
    uint64_t number = 0; ///< number of the current call; zero while idle
    std::string outgoing; ///< the serialized head of the request, until the request is written
    Body outgoingBody; ///< shared with the request, until it is written
    size_t written = 0; ///< bytes of both
    /// Enabled while the system takes no more of the request. The socket's own buffer is not used for it: the socket
    /// answers a failed write by discarding what has been received.
    std::unique_ptr<QSocketNotifier> writeNotifier;
    /// A write failed, so the connection was reset, or given up by the system. What was received can still be read; its
    /// end then looks orderly.
    bool hasWriteFailed = false;
    std::string unparsed; ///< received bytes that the parser has not consumed
    std::unique_ptr<internal::ResponseParser> parser;
    std::shared_ptr<CallEvents> events; ///< shared, so that a callback may cancel its own call
    Clock::time_point becameIdle;
    Deadline idleDeadline = Deadline::max(); ///< no reuse from then on: the target may close the connection
    /// Detects a reset, which Qt's socket reports like an orderly close, in the same event loop iteration.
    std::unique_ptr<QSocketNotifier> resetNotifier;
    bool wasReset = false;
    int interimAnswers = 0; ///< interim answers received in the current call
    bool headReported = false; ///< whether onHead was called for the current call
    bool sent = false; ///< whether the current request was written to the socket
    int requestsWritten = 0; ///< on this connection
    bool closesAfterAnswer = false;
    bool paused = false;
};

}
