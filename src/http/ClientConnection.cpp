#include "http/ClientConnection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cerrno>
#include <charconv>
#include <limits>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>

namespace dragonfly::http {

namespace beast = boost::beast::http;

namespace {

    constexpr qint64 readBufferBytes = 128 << 10;
    constexpr size_t maxTunnelHeadBytes = 256;
    constexpr uint32_t maxResponseHeaderBytes = 32 << 10;
    /// Limit on the received part of a chunk header or of trailers, for which the parser has none: that of a head.
    constexpr size_t maxUnparsedBytes = maxResponseHeaderBytes;

    /// Interim answers (1xx) accepted before the final answer.
    constexpr int maxInterimAnswers = 8;
    /// RFC 9110, section 15: lower and higher ones are invalid, and those below firstFinalStatus precede an answer.
    constexpr int lowestStatus = 100;
    constexpr int firstFinalStatus = 200;
    constexpr int highestStatus = 599;
    constexpr int statusSwitchingProtocols = 101; ///< only in answer to a request to switch, which is never sent
    /// Subtracted from the target's idle timeout, so that no request is on its way when the target closes.
    constexpr std::chrono::milliseconds idleMargin { 700 };

    /// Until when a connection that becomes idle at @p now may be reused, by "Keep-Alive: timeout=SECONDS" in @p head.
    /// Deadline::max() when the target announces no timeout.
    Deadline idleDeadlineFrom(const ResponseHead& head, Clock::time_point now)
    {
        constexpr std::string_view field = "timeout=";
        const auto value = head.headers.valueOr("Keep-Alive", "");
        const auto at = value.find(field);
        unsigned seconds = 0;
        if (at == std::string_view::npos)
            return Deadline::max();
        const auto digits = value.substr(at + field.size());
        if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc())
            return Deadline::max();
        return now + std::chrono::seconds(seconds) - idleMargin;
    }

    /// Whether the system holds bytes or the end of the connection for @p socket that the event loop has not handled.
    bool hasUnhandledInput(const QTcpSocket& socket)
    {
        char byte = 0;
        const auto count
            = ::recv(static_cast<int>(socket.socketDescriptor()), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
        return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Lets the close of @p socket discard the bytes that the other side has not acknowledged, which an orderly close
    /// delivers however late.
    void discardUndelivered(const QTcpSocket& socket)
    {
        const auto descriptor = static_cast<int>(socket.socketDescriptor());
        int undelivered = 0;
        if (::ioctl(descriptor, SIOCOUTQ, &undelivered) || !undelivered)
            return;
        const linger immediately { 1, 0 };
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    }

    bool isChunked(std::string_view transferEncoding)
    {
        return boost::beast::iequals({ transferEncoding.data(), transferEncoding.size() }, "chunked");
    }

    std::string serializeHead(const Endpoint& endpoint, const Request& request)
    {
        std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
        if (!request.headers.find("Host"))
            text.append("Host: ").append(endpoint.toString()).append("\r\n");
        for (const auto& field : request.headers)
            text.append(field.name).append(field.value.empty() ? ":" : ": ").append(field.value).append("\r\n");
        // Without a body, only the methods that usually carry one send a Content-Length.
        const bool sendsContentLength = !request.body.empty() || request.method == "POST" || request.method == "PUT";
        if (sendsContentLength)
            text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
        return text.append("\r\n");
    }

}

namespace internal {

    std::optional<std::string_view> problemOf(const ResponseParser& parser)
    {
        const auto& head = parser.head;
        if (head.status < lowestStatus || head.status > highestStatus || head.status == statusSwitchingProtocols)
            return "a status that no answer has";
        for (const auto& field : head.headers) {
            // A coding that is not known hides where the body ends (RFC 9112, section 6.3). None was asked for.
            if (boost::beast::iequals({ field.name.data(), field.name.size() }, "Transfer-Encoding")
                && !isChunked(field.value))
                return "an unknown transfer coding";
        }
        return std::nullopt;
    }

}

ClientConnection::ClientConnection(ClientPool* pool, Endpoint endpoint, std::optional<Endpoint> via)
    : QObject(pool)
    , pool(pool)
    , endpoint(std::move(endpoint))
    , via(std::move(via))
{
    this->socket.setReadBufferSize(readBufferBytes);
    this->timer.setSingleShot(true);
    connect(&this->timer, &QTimer::timeout, this, &ClientConnection::checkDeadline);
    connect(&this->socket, &QTcpSocket::connected, this, &ClientConnection::watchForReset);
    connect(&this->socket, &QTcpSocket::connected, this, &ClientConnection::onConnected);
    connect(&this->socket, &QTcpSocket::readyRead, this, &ClientConnection::readMore);
    connect(&this->socket, &QTcpSocket::disconnected, this, &ClientConnection::onDisconnected);
    connect(&this->socket, &QTcpSocket::errorOccurred, this, [this](QAbstractSocket::SocketError) {
        // On an open connection the disconnected signal follows after the last bytes have been read.
        if (this->socket.state() == QAbstractSocket::UnconnectedState)
            this->onDisconnected();
    });
}

ClientConnection::~ClientConnection()
{
    this->socket.disconnect(this);
    this->pool->removeIdle(this);
}

bool ClientConnection::isReusable(Clock::time_point now) const
{
    return now < this->idleDeadline && !this->number && this->socket.state() == QAbstractSocket::ConnectedState
        && !this->socket.bytesAvailable() && !hasUnhandledInput(this->socket);
}

void ClientConnection::start(uint64_t number, const Request& request, const CallOptions& options, CallEvents events)
{
    this->number = number;
    this->events = std::make_shared<CallEvents>(std::move(events));
    this->deadline = options.deadline;
    this->connectDeadline = std::min(options.connectDeadline, options.deadline);
    this->outgoing = serializeHead(this->endpoint, request);
    this->outgoingBody = request.body;
    this->prepareParser();
    this->interimAnswers = 0;
    this->headReported = false;
    this->sent = false;
    this->paused = false;
    this->unparsed.clear();
    if (this->socket.state() == QAbstractSocket::ConnectedState) {
        QMetaObject::invokeMethod(this, &ClientConnection::writeRequest, Qt::QueuedConnection);
    } else {
        const auto& next = this->via.value_or(this->endpoint);
        this->socket.connectToHost(QHostAddress(QString::fromStdString(next.host)), next.port);
    }
    this->armTimer();
}

void ClientConnection::prepareParser()
{
    this->parser = std::make_unique<internal::ResponseParser>();
    this->parser->header_limit(maxResponseHeaderBytes);
    this->parser->body_limit(std::numeric_limits<uint64_t>::max()); // boost::none refuses every body in Boost 1.74
}

/// Discards an interim answer and prepares the parser for the next answer. False when the head is incomplete or not
/// that of an interim answer.
bool ClientConnection::skipInterimAnswer()
{
    if (!this->parser->headComplete || this->parser->head.status >= firstFinalStatus)
        return false;
    ++this->interimAnswers;
    this->prepareParser();
    return true;
}

void ClientConnection::onConnected()
{
    if (!this->via) {
        this->writeRequest();
        return;
    }
    this->socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    const auto head = "CONNECT " + this->endpoint.toString() + " HTTP/1.1\r\n\r\n";
    this->socket.write(head.data(), static_cast<qint64>(head.size()));
    this->socket.flush();
}

void ClientConnection::readTunnelAnswer()
{
    constexpr std::string_view version = "HTTP/1.1 ";
    constexpr size_t statusDigits = 3;
    constexpr int statusOpen = 200;
    const auto bytes = this->socket.readAll();
    this->tunnelHead.append(bytes.constData(), static_cast<size_t>(bytes.size()));
    if (!this->tunnelHead.ends_with("\r\n\r\n") && this->tunnelHead.size() < maxTunnelHeadBytes)
        return;
    int status = 0;
    const auto statusText = std::string_view(this->tunnelHead).substr(0, version.size() + statusDigits + 1);
    if (statusText.starts_with(version) && statusText.ends_with(' '))
        std::from_chars(statusText.data() + version.size(), statusText.data() + statusText.size() - 1, status);
    if (status != statusOpen || !this->tunnelHead.ends_with("\r\n\r\n")) {
        this->tunnelStatus = status;
        this->fail(CallFailureKind::ConnectFailed, "no path through " + this->via->toString());
        return;
    }
    this->isTunnelOpen = true;
    this->writeRequest();
}

void ClientConnection::writeRequest()
{
    if (!this->number || this->sent)
        return;
    // The process may have been suspended since start(); an expired request is not sent.
    if (Clock::now() >= this->deadline) {
        this->fail(CallFailureKind::TimedOut, "the deadline passed before the request was sent");
        return;
    }
    if (this->socket.state() != QAbstractSocket::ConnectedState) {
        this->fail(CallFailureKind::ConnectFailed, "the idle connection was closed before the request was sent");
        return;
    }
    if (this->socket.bytesAvailable() || hasUnhandledInput(this->socket)) {
        this->fail(CallFailureKind::ConnectFailed, "the connection received bytes before the request was sent");
        return;
    }
    this->socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    const auto asked = this->events;
    if (asked->mayWrite && !asked->mayWrite()) {
        this->fail(CallFailureKind::Withheld, "not allowed when its first byte was due");
        return;
    }
    this->sent = true;
    ++this->requestsWritten;
    this->written = 0;
    this->writeMore();
    this->armTimer();
    const auto handlers = this->events;
    if (handlers && handlers->onSent)
        handlers->onSent();
}

/// Writes as much of the request as the system takes, in one call, so that a long one leaves time for other events.
void ClientConnection::writeMore()
{
    const auto& body = this->outgoingBody.text();
    const auto head = std::string_view(this->outgoing).substr(std::min(this->written, this->outgoing.size()));
    const auto bodyWritten = this->written - std::min(this->written, this->outgoing.size());
    // The system does not change what it sends.
    std::array<iovec, 2> parts { { { const_cast<char*>(head.data()), head.size() },
        { const_cast<char*>(body.data()) + bodyWritten, body.size() - bodyWritten } } };
    msghdr message {};
    message.msg_iov = parts.data();
    message.msg_iovlen = parts.size();
    const auto count
        = ::sendmsg(static_cast<int>(this->socket.socketDescriptor()), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count >= 0)
        this->written += static_cast<size_t>(count);
    else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
        this->hasWriteFailed = true; // the end of the connection is read after what was received before it
    if (this->hasWriteFailed || this->written == this->outgoing.size() + body.size()) {
        this->outgoing = {};
        this->outgoingBody = {};
        this->written = 0;
        if (this->writeNotifier)
            this->writeNotifier->setEnabled(false);
        return;
    }
    if (this->writeNotifier) {
        this->writeNotifier->setEnabled(true);
        return;
    }
    this->writeNotifier = std::make_unique<QSocketNotifier>(this->socket.socketDescriptor(), QSocketNotifier::Write);
    connect(this->writeNotifier.get(), &QSocketNotifier::activated, this, &ClientConnection::writeMore);
}

void ClientConnection::readMore()
{
    if (!this->number) {
        // Data without a request: the connection can no longer match answers to calls.
        this->close();
        return;
    }
    if (this->via && !this->isTunnelOpen) {
        this->readTunnelAnswer();
        return;
    }
    if (!this->sent) {
        this->fail(CallFailureKind::ConnectFailed, "the connection received bytes before the request was sent");
        return;
    }
    if (this->paused)
        return;
    const auto bytes = this->socket.readAll();
    this->unparsed.append(bytes.constData(), static_cast<size_t>(bytes.size()));
    this->parse();
    if (this->unparsed.empty())
        this->unparsed.shrink_to_fit(); // its capacity is that of a read, for each of many connections
}

void ClientConnection::parse()
{
    while (!this->unparsed.empty() && this->number) {
        boost::beast::error_code failure;
        const auto used = this->parser->put(boost::asio::buffer(this->unparsed), failure);
        this->unparsed.erase(0, used);
        if (failure && failure != beast::error::need_more) {
            this->fail(CallFailureKind::Malformed, failure.message());
            return;
        }
        if (this->parser->headComplete && !this->headReported) {
            if (const auto problem = internal::problemOf(*this->parser)) {
                this->fail(CallFailureKind::Malformed, std::string(*problem));
                return;
            }
        }
        if (this->skipInterimAnswer()) {
            if (this->interimAnswers <= maxInterimAnswers)
                continue;
            this->fail(CallFailureKind::Malformed, "too many interim answers");
            return;
        }
        if (!this->deliverParsed())
            return;
        if (this->unparsed.size() > maxUnparsedBytes && failure == beast::error::need_more) {
            this->fail(CallFailureKind::Malformed, "a chunk header or trailers without end");
            return;
        }
        if (failure == beast::error::need_more || !used)
            return;
    }
}

/// Passes the parsed head and body to the callbacks; false when the call has ended or another one was started.
bool ClientConnection::deliverParsed()
{
    const auto call = this->number;
    const auto handlers = this->events;
    if (this->parser->headComplete && !this->headReported) {
        this->headReported = true;
        this->parser->head.endsWithConnection = this->parser->need_eof();
        if (const auto length = this->parser->content_length())
            this->parser->head.contentLength = static_cast<size_t>(*length);
        this->parser->head.isFirstOnConnection = this->requestsWritten == 1;
        if (handlers->onHead)
            handlers->onHead(this->parser->head);
    }
    if (this->number != call)
        return false;
    if (!this->parser->body.empty()) {
        const auto body = std::exchange(this->parser->body, {});
        if (handlers->onBody)
            handlers->onBody(body);
    }
    if (this->number != call)
        return false;
    if (!this->parser->is_done())
        return true;
    this->complete();
    return false;
}

void ClientConnection::complete()
{
    // The rest of a request whose answer came early is not written before the next one.
    const bool keep = this->outgoing.empty() && !this->hasWriteFailed && !this->closesAfterAnswer
        && this->parser->keep_alive() && this->unparsed.empty() && !this->socket.bytesAvailable()
        && this->socket.state() == QAbstractSocket::ConnectedState;
    const auto finished = std::exchange(this->events, nullptr);
    this->becameIdle = Clock::now();
    this->idleDeadline = idleDeadlineFrom(this->parser->head, this->becameIdle);
    this->number = 0;
    this->timer.stop();
    if (keep)
        this->pool->addIdle(this);
    else
        this->close();
    if (finished->onComplete)
        finished->onComplete();
}

void ClientConnection::onDisconnected()
{
    this->writeNotifier.reset(); // its descriptor is closed
    if (!this->number) {
        this->close();
        return;
    }
    // The notifier reports a reset in the same event loop iteration as the close, so check for it afterwards.
    QMetaObject::invokeMethod(this, &ClientConnection::endWithConnection, Qt::QueuedConnection);
}

/// Delivers what was received before the connection ended, then ends the call. While reading is paused, the rest of the
/// answer and its end wait in the socket's buffer.
void ClientConnection::endWithConnection()
{
    this->resetNotifier.reset(); // its descriptor is closed, and another connection may get the same one
    if (!this->number || (this->paused && this->socket.bytesAvailable()))
        return;
    if (this->socket.bytesAvailable())
        this->readMore();
    if (!this->number)
        return;
    if (this->headReported && this->parser->head.endsWithConnection)
        this->completeAtEndOfStream();
    else if (this->sent)
        this->fail(CallFailureKind::Closed,
            this->hasWriteFailed ? "the connection was reset while the request was written"
                                 : "the connection was closed before the answer was complete");
    else
        this->fail(CallFailureKind::ConnectFailed, this->socket.errorString().toStdString());
}

void ClientConnection::watchForReset()
{
    this->resetNotifier
        = std::make_unique<QSocketNotifier>(this->socket.socketDescriptor(), QSocketNotifier::Exception);
    connect(this->resetNotifier.get(), &QSocketNotifier::activated, this, [this] {
        this->wasReset = true;
        this->resetNotifier->setEnabled(false);
    });
}

/// An answer without a length is complete only after an orderly close, not after a reset.
void ClientConnection::completeAtEndOfStream()
{
    boost::beast::error_code failure;
    const bool isOrderly = !this->wasReset && !this->hasWriteFailed;
    if (isOrderly)
        this->parser->put_eof(failure);
    if (!isOrderly || failure)
        this->fail(CallFailureKind::Closed,
            this->hasWriteFailed ? "the connection was reset while the request was written, within the answer"
                                 : "the connection was reset before the answer was complete");
    else
        this->complete();
}

void ClientConnection::setDeadline(Deadline deadline)
{
    // For a later deadline the timer is not restarted: it fires early once and is armed again.
    const bool sooner = deadline < this->deadline;
    this->deadline = deadline;
    if (sooner)
        this->armTimer();
}

void ClientConnection::armTimer()
{
    const auto next = this->sent ? this->deadline : this->connectDeadline;
    this->timer.start(remaining(next, Clock::now()));
}

void ClientConnection::checkDeadline()
{
    if (!this->number)
        return;
    if (Clock::now() < (this->sent ? this->deadline : this->connectDeadline)) {
        this->armTimer();
        return;
    }
    if (!this->sent)
        this->fail(CallFailureKind::ConnectFailed, "no connection before the deadline");
    else if (!this->reportOverdue())
        this->fail(CallFailureKind::TimedOut, "no progress before the deadline");
}

/// Lets the user of the call move its deadline; false if the call has to fail.
bool ClientConnection::reportOverdue()
{
    const auto call = this->number;
    const auto handlers = this->events;
    if (!handlers->onOverdue)
        return false;
    handlers->onOverdue();
    if (this->number != call)
        return true; // the call was cancelled
    if (Clock::now() >= this->deadline)
        return false;
    this->armTimer();
    return true;
}

void ClientConnection::setPaused(bool paused)
{
    if (this->paused == paused)
        return;
    this->paused = paused;
    if (!paused)
        QMetaObject::invokeMethod(this, &ClientConnection::resumeReading, Qt::QueuedConnection);
}

void ClientConnection::resumeReading()
{
    if (!this->number)
        return;
    if (this->socket.state() == QAbstractSocket::UnconnectedState)
        this->endWithConnection();
    else
        this->readMore();
}

void ClientConnection::fail(CallFailureKind kind, std::string detail)
{
    const auto failed = std::exchange(this->events, nullptr);
    const bool isUnreached = kind == CallFailureKind::ConnectFailed && !this->requestsWritten;
    const CallFailure failure { kind, this->sent, std::move(detail), isUnreached, this->tunnelStatus };
    this->close();
    if (failed->onFailure)
        failed->onFailure(failure);
}

void ClientConnection::cancel()
{
    this->close();
}

void ClientConnection::close()
{
    this->number = 0;
    this->events.reset();
    this->timer.stop();
    this->resetNotifier.reset();
    this->writeNotifier.reset();
    this->pool->removeIdle(this);
    this->socket.disconnect(this);
    discardUndelivered(this->socket);
    this->socket.abort();
    this->deleteLater();
}

}
