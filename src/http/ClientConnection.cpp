#include "http/ClientConnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>
#include <limits>

namespace dragonfly::http {

namespace beast = boost::beast::http;

namespace {

    constexpr qint64 readBufferBytes = 128 << 10;
    constexpr uint32_t responseHeaderBytes = 32 << 10;

    /// Interim answers (1xx) that a target may send before the final one.
    constexpr int mostInterimAnswers = 8;
    /// Kept off the end of a target's limit on idle time, for what is on its way when it closes.
    constexpr std::chrono::milliseconds idleMargin { 700 };

    /// When a target with "Keep-Alive: timeout=SECONDS" may close a connection that is idle since @p now.
    Deadline idleDeadlineOf(const ResponseHead& head, Clock::time_point now)
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

    std::string serialize(const Endpoint& endpoint, const Request& request)
    {
        std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
        if (!request.headers.find("Host"))
            text.append("Host: ").append(endpoint.toString()).append("\r\n");
        for (const auto& field : request.headers)
            text.append(field.name).append(": ").append(field.value).append("\r\n");
        // Without a body only the methods that usually have one announce it.
        const bool announcesBody = !request.body.empty() || request.method == "POST" || request.method == "PUT";
        if (announcesBody)
            text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
        text.append("\r\n").append(request.body);
        return text;
    }

}

ClientConnection::ClientConnection(ClientPool* pool, Endpoint endpoint)
    : QObject(pool)
    , pool(pool)
    , endpoint(std::move(endpoint))
{
    this->socket.setReadBufferSize(readBufferBytes);
    this->timer.setSingleShot(true);
    connect(&this->timer, &QTimer::timeout, this, &ClientConnection::checkDeadline);
    connect(&this->socket, &QTcpSocket::connected, this, &ClientConnection::watchForReset);
    connect(&this->socket, &QTcpSocket::connected, this, &ClientConnection::writeRequest);
    connect(&this->socket, &QTcpSocket::readyRead, this, &ClientConnection::readMore);
    connect(&this->socket, &QTcpSocket::disconnected, this, &ClientConnection::onDisconnected);
    connect(&this->socket, &QTcpSocket::errorOccurred, this, [this](QAbstractSocket::SocketError) {
        // With an open connection the disconnected signal follows, after the last bytes were read.
        if (this->socket.state() == QAbstractSocket::UnconnectedState)
            this->onDisconnected();
    });
}

ClientConnection::~ClientConnection()
{
    this->socket.disconnect(this);
    this->pool->forget(this);
}

bool ClientConnection::usable(Clock::time_point now) const
{
    return now < this->idleDeadline && !this->number && this->socket.state() == QAbstractSocket::ConnectedState
        && !this->socket.bytesAvailable();
}

void ClientConnection::start(uint64_t number, const Request& request, const CallOptions& options, CallEvents events)
{
    this->number = number;
    this->events = std::make_shared<CallEvents>(std::move(events));
    this->deadline = options.deadline;
    this->connectDeadline = std::min(options.connectDeadline, options.deadline);
    this->outgoing = serialize(this->endpoint, request);
    this->prepareParser();
    this->interimAnswers = 0;
    this->headReported = false;
    this->sent = false;
    this->paused = false;
    this->unparsed.clear();
    if (this->socket.state() == QAbstractSocket::ConnectedState) {
        QMetaObject::invokeMethod(this, &ClientConnection::writeRequest, Qt::QueuedConnection);
    } else {
        this->socket.connectToHost(QHostAddress(QString::fromStdString(this->endpoint.host)), this->endpoint.port);
    }
    this->armTimer();
}

void ClientConnection::prepareParser()
{
    this->parser = std::make_unique<internal::ResponseParser>();
    this->parser->header_limit(responseHeaderBytes);
    this->parser->body_limit(std::numeric_limits<uint64_t>::max()); // boost::none refuses every body in Boost 1.74
}

/// True when what was parsed is an interim answer, after which the final one follows.
bool ClientConnection::skipInterimAnswer()
{
    constexpr int firstFinalStatus = 200;
    constexpr int switchingProtocols = 101;
    const auto status = this->parser->head.status;
    if (!this->parser->headDone || status >= firstFinalStatus || status == switchingProtocols)
        return false;
    ++this->interimAnswers;
    this->prepareParser();
    return true;
}

void ClientConnection::writeRequest()
{
    if (!this->number || this->sent)
        return;
    // The process may have been stopped since the call was made; what is due is not sent.
    if (Clock::now() >= this->deadline) {
        this->fail(CallFailureKind::TimedOut, "the deadline passed before the request was sent");
        return;
    }
    if (this->socket.state() != QAbstractSocket::ConnectedState) {
        this->fail(CallFailureKind::ConnectFailed, "the kept connection had gone");
        return;
    }
    this->socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    this->sent = true;
    this->socket.write(this->outgoing.data(), static_cast<qint64>(this->outgoing.size()));
    this->outgoing.clear();
    this->armTimer();
}

void ClientConnection::readMore()
{
    if (!this->number) {
        // Bytes that nobody asked for: the connection is out of step with its calls.
        this->close();
        return;
    }
    if (this->paused)
        return;
    const auto bytes = this->socket.readAll();
    this->unparsed.append(bytes.constData(), static_cast<size_t>(bytes.size()));
    while (!this->unparsed.empty() && this->number) {
        boost::beast::error_code failure;
        const auto used = this->parser->put(boost::asio::buffer(this->unparsed), failure);
        this->unparsed.erase(0, used);
        if (failure && failure != beast::error::need_more) {
            this->fail(CallFailureKind::Malformed, failure.message());
            return;
        }
        if (this->skipInterimAnswer()) {
            if (this->interimAnswers <= mostInterimAnswers)
                continue;
            this->fail(CallFailureKind::Malformed, "too many interim answers");
            return;
        }
        if (!this->takeParsed() || failure == beast::error::need_more || !used)
            return;
    }
}

/// Reports what the parser has found; false when the call has ended or changed.
bool ClientConnection::takeParsed()
{
    const auto call = this->number;
    const auto handlers = this->events;
    if (this->parser->headDone && !this->headReported) {
        this->headReported = true;
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
    const bool keep = this->parser->keep_alive() && this->unparsed.empty() && !this->socket.bytesAvailable();
    const auto finished = std::exchange(this->events, nullptr);
    this->becameIdle = Clock::now();
    this->idleDeadline = idleDeadlineOf(this->parser->head, this->becameIdle);
    this->number = 0;
    this->timer.stop();
    if (keep)
        this->pool->keepIdle(this);
    else
        this->close();
    if (finished->onComplete)
        finished->onComplete();
}

void ClientConnection::onDisconnected()
{
    if (!this->number) {
        this->close();
        return;
    }
    if (this->socket.bytesAvailable() && !this->paused)
        this->readMore();
    if (!this->number)
        return;
    if (this->headReported && this->parser->need_eof()) {
        // A reset is reported in the same turn of the event loop as the close.
        QMetaObject::invokeMethod(this, &ClientConnection::endWithoutLength, Qt::QueuedConnection);
        return;
    }
    if (this->sent)
        this->fail(CallFailureKind::Closed, "the connection was closed before the answer was whole");
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

/// An answer without a length is whole only when the target closed the connection in order.
void ClientConnection::endWithoutLength()
{
    if (!this->number)
        return;
    boost::beast::error_code failure;
    if (!this->wasReset)
        this->parser->put_eof(failure);
    if (this->wasReset || failure)
        this->fail(CallFailureKind::Closed, "the connection was reset before the answer was whole");
    else
        this->complete();
}

void ClientConnection::setDeadline(Deadline deadline)
{
    // The timer is left alone when the deadline moves out: it fires early once and is armed again.
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
    if (this->sent)
        this->fail(CallFailureKind::TimedOut, "no progress before the deadline");
    else
        this->fail(CallFailureKind::ConnectFailed, "no connection before the deadline");
}

void ClientConnection::setPaused(bool paused)
{
    if (this->paused == paused)
        return;
    this->paused = paused;
    if (!paused)
        QMetaObject::invokeMethod(this, &ClientConnection::readMore, Qt::QueuedConnection);
}

void ClientConnection::fail(CallFailureKind kind, std::string detail)
{
    const auto failed = std::exchange(this->events, nullptr);
    const CallFailure failure { kind, this->sent, std::move(detail) };
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
    this->pool->forget(this);
    this->socket.disconnect(this);
    this->socket.abort();
    this->deleteLater();
}

}
