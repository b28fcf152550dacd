#include "http/ServerConnection.h"

#include "http/RequestChecks.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace dragonfly::http {

namespace beast = boost::beast::http;

namespace {

    /// Of requests behind an open answer. While they are read, the end of the connection is noticed.
    constexpr size_t maxUnparsedBytes = 512 << 10;
    /// How often a caller's close is looked for while reading is paused, which hides it from the event loop. A fraction
    /// of the half second within which a target's work for a caller that has left has to end.
    constexpr std::chrono::milliseconds closeCheckInterval { 100 };
    /// From accepting a connection; some round trips, within which a caller that has just connected sends its request.
    constexpr std::chrono::milliseconds firstRequestTimeout { 500 };
    /// How often the delivery of the last answer is looked for on a connection that closes without reading. A fraction
    /// of the time within which a caller has to learn that its next request is not read.
    constexpr std::chrono::milliseconds deliveryCheckInterval { 50 };
    /// Bytes received from a caller after its last answer; bounds the work that a caller causes which never stops.
    constexpr size_t maxDiscardedBytes = 64u << 20;

    /// What a connection takes in memory by itself: its object, two notifiers and a timer.
    constexpr size_t connectionBytes = 4 << 10;

    /// Retry-After of a request that is refused while it is received; some of those that hold the memory end within it.
    constexpr std::chrono::seconds overloadRetryAfter { 1 };

    ErrorKind errorKindOf(const boost::beast::error_code& failure)
    {
        if (failure == beast::error::body_limit)
            return ErrorKind::BodyTooLarge;
        if (failure == beast::error::header_limit)
            return ErrorKind::HeadersTooLarge;
        return ErrorKind::BadRequest;
    }

}

ServerConnection::ServerConnection(Server* server, qintptr descriptor, QString address)
    : QObject(server)
    , server(server)
    , address(std::move(address))
    , socket(static_cast<int>(descriptor))
    , firstRequestDeadline(Clock::now() + firstRequestTimeout)
    , share(*server->held, [this] { this->giveUp(); })
{
    server->connections.insert(this);
    const int on = 1;
    ::setsockopt(this->socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    this->timer.setSingleShot(true);
    connect(&this->timer, &QTimer::timeout, this, &ServerConnection::checkDeadline);
    this->socket.onReadable = [this] { this->readMore(); };
    this->socket.onWritten = [this] {
        this->outputSince = Clock::now();
        this->updateShare();
        if (auto current = this->exchange.lock(); current && current->onDrained)
            current->onDrained();
        this->endSending();
    };
    this->socket.onEnd = [this] { this->onEnd(); };
    this->setDeadline(server->limits.idleTimeout);
    this->updateShare();
}

ServerConnection::~ServerConnection()
{
    this->endRequest();
    this->reportDiscarded();
    this->release();
}

/// The descriptor is free again, though this object may be deleted later.
void ServerConnection::release()
{
    if (std::exchange(this->isReleased, true))
        return;
    this->server->connections.erase(this);
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
        this->closeWhenIdle();
        break;
    case State::Headers:
    case State::Body:
        this->refuse(ErrorKind::RequestTimeout, "the request was not received in time");
        break;
    case State::Closing:
        this->checkSendProgress();
        break;
    case State::ClosingUnread:
        this->checkDelivery();
        break;
    case State::Answering:
        if (!this->isReadingPaused)
            break;
        if (this->hasCallerClosed()) {
            this->onEnd();
            break;
        }
        this->updateShare();
        this->setDeadline(closeCheckInterval);
        break;
    case State::Closed:
        break;
    }
}

/// The caller has left.
void ServerConnection::onEnd()
{
    this->state = State::Closed;
    this->socket.close();
    this->release();
    this->updateShare();
    auto current = this->exchange.lock();
    this->endRequest();
    this->deleteLater();
    if (current && current->onCallerGone)
        current->onCallerGone();
}

void ServerConnection::readMore()
{
    switch (this->state) {
    case State::Closing:
        this->discardAvailable();
        return;
    case State::ClosingUnread:
    case State::Closed:
        return;
    case State::Idle:
    case State::Headers:
    case State::Body:
    case State::Answering:
        break;
    }
    this->readAvailable();
    this->updateShare();
    this->server->held->enforce(); // many connections may be read before the event loop would do so
}

void ServerConnection::updateShare()
{
    if (this->state == State::Closed) {
        this->share.set(0);
        return;
    }
    const auto parsed = this->parser ? this->parser->capacityBytes() : 0;
    // While a connection is read, nothing stays with the system for long.
    const auto unread = this->isReadingPaused ? this->socket.unreadBytes() : 0;
    const auto input = this->unparsed.capacity() + parsed + unread;
    const auto output = this->socket.capacityBytes();
    const bool isRequestBegun = this->state == State::Headers || this->state == State::Body;
    const auto since = output ? this->outputSince : isRequestBegun ? this->inputSince : this->idleSince;
    // The connection of an open request cannot be given up without it.
    const bool isPinned = this->state == State::Answering;
    this->share.pin(isPinned ? connectionBytes : 0);
    this->share.set(input + output + (isPinned ? 0 : connectionBytes), since);
}

/// Called for the connection that has held most for longest when all together hold more than allowed.
void ServerConnection::giveUp()
{
    switch (this->state) {
    case State::Headers:
    case State::Body:
        this->refuse(ErrorKind::Overloaded, "too much is being received", overloadRetryAfter);
        break;
    case State::Idle:
    case State::Answering:
        // Requests wait behind an answer, or the caller does not receive one. The reset tells it that they were not
        // read, and that the answer is incomplete.
        if (!this->unparsed.empty() || this->socket.unsentBytes()) {
            if (this->server->onRefusal)
                this->server->onRefusal({ ErrorKind::Overloaded, "too much waits behind an answer or is not received",
                    this->addressText() });
            this->reset();
        } else if (this->state == State::Idle) {
            this->drop();
        }
        break;
    case State::Closing:
    case State::ClosingUnread:
        this->drop();
        break;
    case State::Closed:
        break;
    }
}

std::optional<Clock::time_point> ServerConnection::waitingForCallerSince() const
{
    switch (this->state) {
    case State::Idle:
        return this->idleSince;
    case State::Headers:
    case State::Body:
        return this->inputSince;
    case State::Closing:
    case State::ClosingUnread:
        // It has its answer, or a part that it does not take.
        return this->sendingEnded ? Clock::time_point::min() : this->outputSince;
    case State::Answering:
    case State::Closed:
        break;
    }
    return std::nullopt;
}

bool ServerConnection::noticeInput()
{
    if (this->state != State::Idle || !this->hasWaitingInput())
        return false;
    this->idleSince = Clock::now();
    return true;
}

void ServerConnection::closeForOther()
{
    if (this->state == State::Headers || this->state == State::Body) {
        this->refuse(ErrorKind::Overloaded, "too many callers are connected", overloadRetryAfter);
        this->socket.flush();
    }
    this->drop();
}

void ServerConnection::reset()
{
    const linger immediately { 1, 0 };
    ::setsockopt(this->socket.descriptor(), SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    this->onEnd();
}

void ServerConnection::readAvailable()
{
    if (this->state == State::Answering && this->unparsed.size() >= maxUnparsedBytes) {
        this->isReadingPaused = true;
        this->socket.setReading(false);
        this->setDeadline(closeCheckInterval);
        return;
    }
    this->isReadingPaused = false;
    this->socket.setReading(true);
    auto& buffer = this->server->readBuffer;
    const auto count = this->socket.read(buffer.data(), buffer.size());
    if (this->state == State::Answering) {
        this->unparsed.append(buffer.data(), count);
        return;
    }
    if (this->unparsed.empty()) {
        this->input = { buffer.data(), count };
        this->parse();
        this->unparsed = this->input;
    } else {
        auto held = std::exchange(this->unparsed, {});
        held.append(buffer.data(), count);
        this->input = held;
        this->parse();
        held.erase(0, held.size() - this->input.size());
        held.shrink_to_fit();
        this->unparsed = std::move(held);
    }
    this->input = {};
}

/// Reads what arrives on a connection that closes in order.
void ServerConnection::discardAvailable()
{
    auto& buffer = this->server->readBuffer;
    const auto count = this->socket.read(buffer.data(), buffer.size());
    recordDiscarded(this->discarded, { buffer.data(), count });
    if (this->discarded.count > maxDiscardedBytes)
        this->drop();
}

void ServerConnection::reportDiscarded()
{
    const auto& report = this->server->observer.onInputDiscarded;
    if (const auto all = std::exchange(this->discarded, {}); all.count && report)
        report({ toString(this->closeReason), this->addressText(), all.count, all.hasWholeHead });
}

std::string_view ServerConnection::toString(CloseReason reason)
{
    switch (reason) {
    case CloseReason::CallerCloses:
        return "the caller asked to close";
    case CloseReason::AnswerCloses:
        return "the answer said so";
    case CloseReason::Refused:
        return "a request was refused while it was read";
    case CloseReason::Aborted:
        break;
    }
    return "the answer was broken off";
}

/// The caller waits for no answer any more.
void ServerConnection::endRequest()
{
    this->exchange.reset();
    if (std::exchange(this->isRequestOpen, false) && this->server->observer.onEnded)
        this->server->observer.onEnded();
}

void ServerConnection::parse()
{
    const auto isReading = [this] { return this->state <= State::Body; };
    while (!this->input.empty() && isReading()) {
        if (this->state == State::Idle) {
            this->parser.emplace();
            this->parser->header_limit(this->server->limits.headerBytes);
            this->parser->body_limit(this->server->limits.bodyBytes);
            this->parser->bodyLimit = this->server->limits.bodyBytes;
            this->state = State::Headers;
            this->inputSince = Clock::now();
            this->searchedBytes = 0;
            this->firstRequestDeadline = {};
            this->setDeadline(this->server->limits.headerTimeout);
        }
        if (!this->feedParser())
            return;
    }
}

/// Passes the received bytes to the parser; false when it needs more bytes or the request was refused.
bool ServerConnection::feedParser()
{
    if (this->state == State::Headers && hasFoldedLine(this->input, this->searchedBytes)) {
        this->refuse(ErrorKind::BadRequest, "folded header lines are not supported");
        return false;
    }
    boost::beast::error_code failure;
    size_t used = 0;
    size_t consumed = 0;
    // The parser consumes one chunk at a time, which may be as short as a byte.
    do {
        consumed = this->parser->put(boost::asio::buffer(this->input) + used, failure);
        used += consumed;
    } while (
        this->state == State::Body && consumed && !failure && !this->parser->is_done() && used < this->input.size());
    this->input.remove_prefix(used);
    if (failure == beast::error::need_more) {
        if (this->input.size() <= this->server->limits.headerBytes)
            return false;
        // The parser has a limit of its own for heads, but none for what it does not consume of a chunked body.
        if (this->state == State::Headers)
            this->refuse(ErrorKind::HeadersTooLarge, "the headers are larger than allowed");
        else
            this->refuse(ErrorKind::BadRequest, "a chunk header or the trailers are larger than allowed");
        return false;
    }
    if (failure) {
        this->refuse(errorKindOf(failure), failure.message());
        return false;
    }
    if (this->state == State::Headers && this->parser->is_header_done()) {
        if (const auto problem = findAmbiguity(*this->parser)) {
            this->refuse(ErrorKind::BadRequest, *problem);
            return false;
        }
        this->keepAlive = this->parser->keep_alive();
        this->state = State::Body;
        this->setDeadline(this->server->limits.bodyTimeout);
        if (this->parser->headers.valueOr("Expect", "") == "100-continue")
            this->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!this->server->mayHold(this->parser->expectedBytes())) {
        this->refuse(ErrorKind::Overloaded, "too many large requests are open", overloadRetryAfter);
        return false;
    }
    if (!this->parser->is_done())
        return used > 0;
    this->dispatch();
    return true;
}

void ServerConnection::dispatch()
{
    Request request { std::move(this->parser->method), std::move(this->parser->target),
        std::move(this->parser->headers), std::move(this->parser->body) };
    this->parser.reset();
    this->state = State::Answering;
    this->hasCallerAskedToClose = !this->keepAlive;
    this->isHeadSent = false;
    this->isRequestOpen = true;
    if (this->server->observer.onBegun)
        this->server->observer.onBegun();
    auto current = std::make_shared<Exchange>(this, std::move(request));
    this->exchange = current;
    this->server->handler(current);
}

void ServerConnection::refuse(ErrorKind kind, std::string detail, std::chrono::seconds retryAfter)
{
    if (this->server->onRefusal)
        this->server->onRefusal({ kind, detail, this->addressText() });
    this->state = State::Answering;
    this->keepAlive = false;
    const Error error { kind, std::move(detail), Execution::NotRun, {} };
    const auto body = errorBody(error, "");
    Headers headers { { "Content-Type", "application/json" }, { "Dragonfly-Execution", "not-run" } };
    if (retryAfter.count() > 0)
        headers.add("Retry-After", std::to_string(retryAfter.count()));
    auto text = this->headText(answerFor(kind).status, headers, "Content-Length: " + std::to_string(body.size()));
    text.append(body);
    this->send(std::move(text));
    this->closeInOrder(CloseReason::Refused);
}

/// Sends what is queued and the end of the connection, then reads and discards until the caller closes: closing with
/// unread bytes resets the connection, which discards what the caller has not received yet.
void ServerConnection::closeInOrder(CloseReason reason)
{
    const auto unsent = this->unacknowledgedBytes();
    this->state = State::Closing;
    this->closeReason = reason;
    this->endRequest();
    this->parser.reset();
    recordDiscarded(this->discarded, this->input);
    recordDiscarded(this->discarded, this->unparsed);
    this->input = {};
    this->unparsed = {};
    this->unsentAtCheck = unsent;
    this->setDeadline(this->server->limits.sendTimeout);
    this->endSending();
    this->isReadingPaused = false;
    this->socket.setReading(true);
    this->updateShare();
}

void ServerConnection::endSending()
{
    const bool isClosing = this->state == State::Closing || this->state == State::ClosingUnread;
    if (!isClosing || this->sendingEnded || this->socket.unsentBytes())
        return;
    this->sendingEnded = true;
    this->unsentAtCheck = this->unacknowledgedBytes();
    ::shutdown(this->socket.descriptor(), SHUT_WR);
    if (this->state == State::Closing)
        this->setDeadline(this->server->limits.lingerTimeout);
    else
        this->deliveryDeadline = Clock::now() + this->server->limits.lingerTimeout;
}

/// Waits on while the caller receives, else closes.
void ServerConnection::checkSendProgress()
{
    const auto unsent = this->unacknowledgedBytes();
    const bool isDelivered = this->sendingEnded && !unsent;
    if (isDelivered || unsent >= this->unsentAtCheck) {
        this->drop();
        return;
    }
    this->unsentAtCheck = unsent;
    this->setDeadline(this->sendingEnded ? this->server->limits.lingerTimeout : this->server->limits.sendTimeout);
}

/// Bytes of answers that the caller's system has not acknowledged.
int64_t ServerConnection::unacknowledgedBytes() const
{
    int inSystem = 0;
    ::ioctl(this->socket.descriptor(), SIOCOUTQ, &inSystem);
    return static_cast<int64_t>(this->socket.unsentBytes()) + inSystem;
}

/// Whether the connection may carry another request: one that waits behind this answer, or one that comes later.
bool ServerConnection::mayKeep() const
{
    const bool mayBeIdle = this->server->limits.idleTimeout.count() > 0 && !this->server->closing;
    return mayBeIdle || !this->input.empty() || !this->unparsed.empty() || this->hasWaitingInput();
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

void ServerConnection::sendResponse(int status, const Headers& headers, std::string body)
{
    if (this->state != State::Answering)
        return;
    this->keepAlive = this->keepAlive && this->mayKeep();
    auto text = this->headText(status, headers, "Content-Length: " + std::to_string(body.size()));
    this->send(std::move(text));
    this->send(std::move(body));
    this->onAnswerSent();
}

void ServerConnection::sendHead(int status, const Headers& headers)
{
    if (this->state != State::Answering)
        return;
    this->keepAlive = this->keepAlive && this->mayKeep();
    this->isHeadSent = true;
    auto text = this->headText(status, headers, "Transfer-Encoding: chunked");
    this->send(std::move(text));
}

void ServerConnection::sendChunk(std::string_view chunk)
{
    if (this->state != State::Answering || chunk.empty())
        return;
    std::array<char, 2 * sizeof(size_t)> digits {};
    const auto* const end = std::to_chars(digits.data(), digits.data() + digits.size(), chunk.size(), 16).ptr;
    std::string text(digits.data(), static_cast<size_t>(end - digits.data()));
    text.append("\r\n").append(chunk).append("\r\n");
    this->send(std::move(text));
}

void ServerConnection::sendLastChunk()
{
    if (this->state != State::Answering)
        return;
    this->send("0\r\n\r\n");
    this->onAnswerSent();
}

void ServerConnection::send(std::string bytes)
{
    if (!this->socket.unsentBytes())
        this->outputSince = Clock::now();
    this->socket.write(std::move(bytes));
    this->updateShare();
}

void ServerConnection::onAnswerSent()
{
    this->endRequest();
    if (!this->keepAlive) {
        this->closeInOrder(this->hasCallerAskedToClose ? CloseReason::CallerCloses : CloseReason::AnswerCloses);
        return;
    }
    this->state = State::Idle;
    this->idleSince = Clock::now();
    this->updateShare();
    this->setDeadline(this->server->limits.idleTimeout);
    // The next request may already be here; it is read from the event loop, to avoid recursion.
    QMetaObject::invokeMethod(
        this,
        [this] {
            this->readMore();
            if (this->server->draining)
                this->closeWhenIdle();
        },
        Qt::QueuedConnection);
}

void ServerConnection::abort()
{
    if (this->state == State::Answering)
        this->closeInOrder(CloseReason::Aborted);
}

void ServerConnection::endUnanswered(const Request& request)
{
    if (this->state != State::Answering || this->hasCallerClosed())
        return;
    if (this->server->observer.onUnanswered)
        this->server->observer.onUnanswered(request);
    if (this->isHeadSent) {
        this->closeInOrder(CloseReason::Aborted);
        return;
    }
    const Error error { ErrorKind::TargetFailed, "the request was released without an answer", Execution::Unknown, {} };
    this->sendResponse(answerFor(error.kind).status,
        { { "Content-Type", "application/json" },
            { "Dragonfly-Execution", std::string(dragonfly::toString(error.execution)) } },
        errorBody(error, ""));
}

/// Closes at once, without what is not sent yet.
void ServerConnection::drop()
{
    this->state = State::Closed;
    this->endRequest();
    this->socket.close();
    this->release();
    this->updateShare();
    this->deleteLater();
}

void ServerConnection::closeWhenIdle()
{
    if (this->state != State::Idle || !this->unparsed.empty())
        return;
    const auto now = Clock::now();
    if (this->hasWaitingInput())
        this->setDeadline(this->server->limits.headerTimeout); // the event loop has yet to read it
    else if (now < this->firstRequestDeadline)
        this->setDeadline(remaining(this->firstRequestDeadline, now));
    else if (this->unacknowledgedBytes())
        this->closeBehindAnswer();
    else
        this->drop(); // a request that crosses the close is reset, so that its caller knows that it was not read
}

/// Closes a connection whose last answer said that it is kept and is still on its way. The end of sending follows that
/// answer, so that the caller learns of it before it sends the next request. What it has sent before is not read, but
/// reset once the answer is delivered.
void ServerConnection::closeBehindAnswer()
{
    this->state = State::ClosingUnread;
    this->socket.setReading(false);
    this->unsentAtCheck = this->unacknowledgedBytes();
    this->deliveryDeadline = Clock::now() + this->server->limits.sendTimeout;
    this->endSending();
    this->setDeadline(deliveryCheckInterval);
}

/// Closes once the caller has received everything, or no longer receives.
void ServerConnection::checkDelivery()
{
    const auto now = Clock::now();
    const auto unsent = this->unacknowledgedBytes();
    const auto& limits = this->server->limits;
    if (unsent < this->unsentAtCheck)
        this->deliveryDeadline = now + (this->sendingEnded ? limits.lingerTimeout : limits.sendTimeout);
    this->unsentAtCheck = unsent;
    if (!unsent || now >= this->deliveryDeadline)
        this->drop();
    else
        this->setDeadline(deliveryCheckInterval);
}

bool ServerConnection::hasCallerClosed() const
{
    pollfd descriptor { this->socket.descriptor(), POLLRDHUP, 0 };
    return this->state == State::Closed || ::poll(&descriptor, 1, 0) > 0;
}

void ServerConnection::extendIdleTime()
{
    if (this->state == State::Idle && !this->server->draining) // the timer fires early once and is armed again
        this->deadline = std::max(this->deadline, this->idleSince + this->server->limits.idleTimeout);
}

/// Whether bytes have arrived that the event loop has not read, because it was busy or the process was suspended.
bool ServerConnection::hasWaitingInput() const
{
    char byte = 0;
    return ::recv(this->socket.descriptor(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

}
