#include "http/ServerConnection.h"

#include "http/RequestChecks.h"

#include <boost/asio/buffer.hpp>
#include <sys/socket.h>

namespace dragonfly::http {

namespace beast = boost::beast::http;

namespace {

    constexpr qint64 readBufferBytes = 256 << 10;
    constexpr size_t maxUnparsedBytes = 64 << 10;
    constexpr std::chrono::milliseconds discardTimeout { 2000 };

    ErrorKind errorKindOf(const boost::beast::error_code& failure)
    {
        if (failure == beast::error::body_limit)
            return ErrorKind::BodyTooLarge;
        if (failure == beast::error::header_limit)
            return ErrorKind::HeadersTooLarge;
        return ErrorKind::BadRequest;
    }

    Headers toHeaders(const beast::fields& fields)
    {
        Headers headers;
        for (const auto& field : fields)
            headers.add({ field.name_string().data(), field.name_string().size() },
                { field.value().data(), field.value().size() });
        return headers;
    }

}

ServerConnection::ServerConnection(Server* server, qintptr descriptor, QString address)
    : QObject(server)
    , server(server)
    , address(std::move(address))
{
    this->socket.setSocketDescriptor(descriptor);
    this->socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    this->socket.setReadBufferSize(readBufferBytes);
    this->timer.setSingleShot(true);
    connect(&this->timer, &QTimer::timeout, this, &ServerConnection::checkDeadline);
    connect(&this->socket, &QTcpSocket::readyRead, this, &ServerConnection::readMore);
    connect(&this->socket, &QTcpSocket::bytesWritten, this, [this] {
        if (auto current = this->exchange.lock(); current && current->onDrained)
            current->onDrained();
    });
    connect(&this->socket, &QTcpSocket::disconnected, this, [this] {
        this->state = State::Closed;
        auto current = this->exchange.lock();
        this->deleteLater();
        if (current && current->onCallerGone)
            current->onCallerGone();
    });
    this->setDeadline(server->limits.idleTimeout);
}

ServerConnection::~ServerConnection()
{
    this->socket.disconnect(this);
    this->server->release(this->address);
}

void ServerConnection::setDeadline(std::chrono::milliseconds time)
{
    this->deadline = Clock::now() + time;
    // For a later deadline the timer is not restarted: it fires early once and is armed again.
    if (!this->timer.isActive() || this->timer.remainingTimeAsDuration() > time)
        this->timer.start(time);
}

void ServerConnection::checkDeadline()
{
    const auto now = Clock::now();
    if (now < this->deadline) {
        this->timer.start(remaining(this->deadline, now));
        return;
    }
    switch (this->state) {
    case State::Idle:
        this->socket.disconnectFromHost();
        break;
    case State::Headers:
    case State::Body:
        this->refuse(ErrorKind::RequestTimeout, "the request was not received in time");
        break;
    case State::Discarding:
        this->abort();
        break;
    case State::Answering:
    case State::Closed:
        break;
    }
}

void ServerConnection::readMore()
{
    if (this->state == State::Answering && this->unparsed.size() >= maxUnparsedBytes)
        return;
    const auto bytes = this->socket.readAll();
    if (this->state == State::Discarding)
        return;
    this->unparsed.append(bytes.constData(), static_cast<size_t>(bytes.size()));
    this->parse();
}

void ServerConnection::parse()
{
    const auto isReading = [this] { return this->state <= State::Body; };
    while (!this->unparsed.empty() && isReading()) {
        if (this->state == State::Idle) {
            this->parser.emplace();
            this->parser->header_limit(this->server->limits.headerBytes);
            this->parser->body_limit(this->server->limits.bodyBytes);
            this->state = State::Headers;
            this->setDeadline(this->server->limits.headerTimeout);
        }
        if (!this->feedParser())
            return;
    }
}

/// Passes the received bytes to the parser; false when it needs more bytes or the request was refused.
bool ServerConnection::feedParser()
{
    if (this->state == State::Headers && hasFoldedLine(this->unparsed)) {
        this->refuse(ErrorKind::BadRequest, "folded header lines are not supported");
        return false;
    }
    boost::beast::error_code failure;
    const auto used = this->parser->put(boost::asio::buffer(this->unparsed), failure);
    this->unparsed.erase(0, used);
    if (failure == beast::error::need_more) {
        if (this->state == State::Headers && this->unparsed.size() > this->server->limits.headerBytes)
            this->refuse(ErrorKind::HeadersTooLarge, "the headers are larger than allowed");
        return false;
    }
    if (failure) {
        this->refuse(errorKindOf(failure), failure.message());
        return false;
    }
    if (this->state == State::Headers && this->parser->is_header_done()) {
        if (const auto problem = findAmbiguity(this->parser->get().base())) {
            this->refuse(ErrorKind::BadRequest, *problem);
            return false;
        }
        this->state = State::Body;
        this->setDeadline(this->server->limits.bodyTimeout);
        if (this->parser->get()[beast::field::expect] == "100-continue")
            this->socket.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!this->parser->is_done())
        return used > 0;
    this->dispatch();
    return true;
}

void ServerConnection::dispatch()
{
    auto message = this->parser->release();
    this->parser.reset();
    this->state = State::Answering;
    this->keepAlive = message.keep_alive() && !this->server->closing;
    Request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = toHeaders(message.base());
    request.body = std::move(message.body());
    auto current = std::make_shared<Exchange>(this, std::move(request));
    this->exchange = current;
    this->server->handler(current);
}

void ServerConnection::refuse(ErrorKind kind, std::string detail)
{
    if (this->server->onRefusal)
        this->server->onRefusal(kind);
    this->state = State::Answering;
    this->keepAlive = false;
    const Error error { kind, std::move(detail), Execution::NotRun, {} };
    const auto body = errorBody(error, "");
    auto text = this->headText(answerFor(kind).status,
        { { "Content-Type", "application/json" }, { "Dragonfly-Execution", "not-run" } },
        "Content-Length: " + std::to_string(body.size()));
    text.append(body);
    this->socket.write(text.data(), static_cast<qint64>(text.size()));
    this->discardRest();
}

/// Keeps reading the rest of the request: closing with unread bytes would reset the connection, and the caller
/// could lose the refusal.
void ServerConnection::discardRest()
{
    this->state = State::Discarding;
    this->unparsed.clear();
    this->socket.flush();
    ::shutdown(static_cast<int>(this->socket.socketDescriptor()), SHUT_WR);
    this->setDeadline(discardTimeout);
}

std::string ServerConnection::headText(int status, const Headers& headers, std::string_view framing) const
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reasonPhrase(status)).append("\r\n");
    for (const auto& field : headers)
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    text.append(framing);
    text.append(this->keepAlive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
    return text;
}

void ServerConnection::sendResponse(int status, const Headers& headers, std::string_view body)
{
    if (this->state != State::Answering)
        return;
    auto text = this->headText(status, headers, "Content-Length: " + std::to_string(body.size()));
    text.append(body);
    this->socket.write(text.data(), static_cast<qint64>(text.size()));
    this->onAnswerSent();
}

void ServerConnection::sendHead(int status, const Headers& headers)
{
    if (this->state != State::Answering)
        return;
    const auto text = this->headText(status, headers, "Transfer-Encoding: chunked");
    this->socket.write(text.data(), static_cast<qint64>(text.size()));
}

void ServerConnection::sendChunk(std::string_view chunk)
{
    if (this->state != State::Answering || chunk.empty())
        return;
    auto text = QByteArray::number(static_cast<qulonglong>(chunk.size()), 16);
    text.append("\r\n").append(chunk.data(), static_cast<qsizetype>(chunk.size())).append("\r\n");
    this->socket.write(text);
}

void ServerConnection::sendLastChunk()
{
    if (this->state != State::Answering)
        return;
    this->socket.write("0\r\n\r\n");
    this->onAnswerSent();
}

void ServerConnection::onAnswerSent()
{
    this->exchange.reset();
    if (!this->keepAlive) {
        this->state = State::Closed;
        this->socket.disconnectFromHost();
        return;
    }
    this->state = State::Idle;
    this->setDeadline(this->server->limits.idleTimeout);
    // The next request may already be here; it is read from the event loop, to avoid recursion.
    QMetaObject::invokeMethod(this, &ServerConnection::readMore, Qt::QueuedConnection);
}

void ServerConnection::abort()
{
    this->state = State::Closed;
    this->exchange.reset();
    this->socket.abort();
    this->deleteLater();
}

void ServerConnection::closeWhenIdle()
{
    this->keepAlive = false;
    if (this->state == State::Idle && this->unparsed.empty())
        this->socket.disconnectFromHost();
}

}
