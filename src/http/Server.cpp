#include "http/Server.h"

#include "http/ServerConnection.h"

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <cerrno>
#include <limits>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dragonfly::http {

namespace {

    constexpr int listenBacklog = 1024;
    /// Read from a connection at a time.
    constexpr size_t readBufferBytes = 64 << 10;
    /// The buffer that a head grows in, compared with its bytes; the rest is for other requests beside the largest one.
    constexpr size_t headExpansion = 8;
    /// Half of the limit is for one request of the largest size.
    constexpr size_t leastRequests = 2;
    /// What an open request takes besides its bytes: its state, and the connection to its target.
    constexpr size_t openRequestBytes = 8 << 10;
    /// Connections with a request that has not been read that are passed over when room is made for another one.
    constexpr int maxPassedOver = 8;
    /// Descriptors for files, the store, peers and operators.
    constexpr rlim_t ownDescriptors = 200;
    /// Of few descriptors in all, the instance itself gets this part.
    constexpr rlim_t ownDescriptorsDivisor = 4;
    /// How long accepting pauses when no descriptor is left; requests end meanwhile.
    constexpr std::chrono::milliseconds acceptRetryInterval { 50 };
    /// Of the system, for each connection, since what is not read takes memory too. Covers the round trips of a data
    /// centre.
    constexpr int receiveBufferBytes = 64 << 10;

    QString peerAddressOf(qintptr descriptor)
    {
        sockaddr_storage storage {};
        socklen_t length = sizeof(storage);
        if (getpeername(static_cast<int>(descriptor), reinterpret_cast<sockaddr*>(&storage), &length))
            return {};
        return QHostAddress(reinterpret_cast<const sockaddr*>(&storage)).toString();
    }

    /// @p time in seconds, with decimals only when needed: "2", "0.25".
    std::string secondsText(std::chrono::milliseconds time)
    {
        return QByteArray::number(std::chrono::duration<double>(time).count()).toStdString();
    }

    size_t heldLimitOf(const ServerLimits& limits)
    {
        const auto head = static_cast<size_t>(limits.headerBytes) * headExpansion + openRequestBytes;
        const auto request = std::min(limits.bodyBytes, SIZE_MAX / leastRequests - head) + head;
        return std::max(limits.receivedBytes, leastRequests * request);
    }

    /// The number of callers that may be connected, so that each request can have a connection to a target as well.
    int descriptorLimitNow()
    {
        rlimit descriptors {};
        if (::getrlimit(RLIMIT_NOFILE, &descriptors))
            return std::numeric_limits<int>::max();
        const auto own = std::min(ownDescriptors, descriptors.rlim_cur / ownDescriptorsDivisor);
        return static_cast<int>(std::min<rlim_t>((descriptors.rlim_cur - own) / 2, std::numeric_limits<int>::max()));
    }

    /// A listening IPv4 socket on an address that other threads may listen on too (SO_REUSEPORT), or -1.
    int openListeningSocket(const Endpoint& endpoint)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const int on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes)); // is inherited
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        address.sin_addr.s_addr = htonl(QHostAddress(QString::fromStdString(endpoint.host)).toIPv4Address());
        if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address))
            || listen(descriptor, listenBacklog)) {
            close(descriptor);
            return -1;
        }
        return descriptor;
    }

}

Server::Server(const ServerLimits& limits, Handler handler, QObject* parent)
    : QTcpServer(parent)
    , limits(limits)
    , held(std::make_shared<BufferBudget>(heldLimitOf(limits), GiveUpOrder::LargestByTime))
    , descriptorLimit(descriptorLimitNow())
    , readBuffer(readBufferBytes)
    , handler(std::move(handler))
{
}

Server::~Server()
{
    // Connections call release() in their destructors, so they are deleted before the members.
    qDeleteAll(this->findChildren<ServerConnection*>());
}

Result<Endpoint> Server::listenShared(const Endpoint& endpoint)
{
    const int descriptor = openListeningSocket(endpoint);
    if (descriptor < 0 || !this->setSocketDescriptor(descriptor))
        return Error { ErrorKind::Internal, "cannot listen on " + endpoint.toString(), Execution::NotRun, {} };
    // Qt's server does not report that no descriptor is left, but tries again at once and without end.
    this->pauseAccepting();
    this->acceptNotifier = std::make_unique<QSocketNotifier>(descriptor, QSocketNotifier::Read);
    connect(this->acceptNotifier.get(), &QSocketNotifier::activated, this, &Server::acceptWaiting);
    return Endpoint { endpoint.host, this->serverPort() };
}

void Server::setLimits(const ServerLimits& limits)
{
    const bool isIdleTimeLonger = limits.idleTimeout > this->limits.idleTimeout;
    this->limits = limits;
    this->held->setLimit(heldLimitOf(limits));
    if (!isIdleTimeLonger)
        return;
    for (auto* connection : this->findChildren<ServerConnection*>())
        connection->extendIdleTime();
}

void Server::incomingConnection(qintptr descriptor)
{
    const auto address = peerAddressOf(descriptor);
    auto& countOfAddress = this->connectionsByAddress[address];
    const bool isAddressFull = countOfAddress >= this->limits.connectionsPerAddress;
    const bool isFull = isAddressFull || this->openConnections >= this->connectionLimit();
    if (isFull && !this->makeRoom(isAddressFull ? &address : nullptr)) {
        if (this->onRefusal)
            this->onRefusal({ ErrorKind::TooManyConnections, "too many callers are connected", address.toStdString() });
        ::close(static_cast<int>(descriptor));
        return;
    }
    ++this->connectionsByAddress[address]; // the connection that has made room may have been the only one
    ++this->openConnections;
    new ServerConnection(this, descriptor, address); // deletes itself when the connection ends
}

void Server::release(const QString& address)
{
    --this->openConnections;
    if (--this->connectionsByAddress[address] <= 0)
        this->connectionsByAddress.remove(address);
}

int Server::connectionLimit() const
{
    return std::min(this->limits.connections, this->descriptorLimit);
}

/// The connection that has waited longest for its caller; null if there is none.
/// @param address of the callers whose connections are meant; null for all
ServerConnection* Server::findLongestWaiting(const QString* address) const
{
    ServerConnection* longest = nullptr;
    for (auto* connection : this->connections) {
        const auto since = connection->waitingForCallerSince();
        const bool isMeant = since && (!address || connection->callerAddress() == *address);
        if (isMeant && (!longest || *since < *longest->waitingForCallerSince()))
            longest = connection;
    }
    return longest;
}

/// Closes a connection for another one; false if all have open requests.
bool Server::makeRoom(const QString* address)
{
    auto* longest = this->findLongestWaiting(address);
    for (int i = 0; longest && i < maxPassedOver && longest->noticeInput(); ++i)
        longest = this->findLongestWaiting(address);
    if (longest)
        longest->closeForOther();
    return longest;
}

/// No descriptor is left: makes room, and accepts again in a while.
void Server::onAcceptFailed()
{
    this->descriptorLimit = descriptorLimitNow();
    while (this->openConnections > this->connectionLimit() && this->makeRoom(nullptr)) { }
    if (!this->acceptNotifier)
        return;
    this->acceptNotifier->setEnabled(false);
    QTimer::singleShot(acceptRetryInterval, this, [this] {
        if (this->acceptNotifier)
            this->acceptNotifier->setEnabled(true);
    });
}

void Server::close()
{
    this->acceptWaiting();
    this->acceptNotifier.reset();
    QTcpServer::close();
}

void Server::acceptWaiting()
{
    if (!this->isListening())
        return;
    const auto listener = static_cast<int>(this->socketDescriptor());
    for (int accepted = 0; accepted < listenBacklog; ++accepted) {
        const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0 && (errno == EMFILE || errno == ENFILE)) {
            this->onAcceptFailed();
            return;
        }
        if (descriptor < 0 && errno != EINTR && errno != ECONNABORTED)
            return;
        if (descriptor >= 0)
            this->incomingConnection(descriptor);
    }
}

void Server::drainConnections()
{
    this->closing = true;
    this->draining = true;
    for (auto* connection : this->findChildren<ServerConnection*>())
        connection->closeWhenIdle();
}

Exchange::Exchange(ServerConnection* connection, Request request)
    : connection(connection)
    , received(std::move(request))
    , budget(connection->budget())
    , held(*this->budget, [] {})
    , address(connection->addressText())
{
    this->heldBytes = this->received.target.capacity() + this->received.headers.capacityBytes()
        + this->received.body.capacityBytes() + openRequestBytes;
    this->held.pin(this->heldBytes);
}

Exchange::~Exchange()
{
    if (!this->isEnded && this->connection)
        this->connection->endUnanswered(this->received);
}

bool Exchange::tryHold(size_t bytes)
{
    if (!this->budget->mayPin(bytes))
        return false;
    this->heldBytes += bytes;
    this->held.pin(this->heldBytes);
    return true;
}

void Exchange::respond(int status, const Headers& headers, std::string_view body)
{
    this->respondWithBody(status, headers, std::string(body));
}

void Exchange::respondWithBody(int status, const Headers& headers, std::string body)
{
    this->isEnded = true;
    if (this->connection)
        this->connection->sendResponse(status, headers, std::move(body));
}

void Exchange::beginStream(int status, const Headers& headers)
{
    if (this->connection)
        this->connection->sendHead(status, headers);
}

void Exchange::write(std::string_view chunk)
{
    if (this->connection)
        this->connection->sendChunk(chunk);
}

void Exchange::finish()
{
    this->isEnded = true;
    if (this->connection)
        this->connection->sendLastChunk();
}

void Exchange::abort()
{
    this->isEnded = true;
    if (this->connection)
        this->connection->abort();
}

int64_t Exchange::unsentBytes() const
{
    return this->connection ? this->connection->unsentBytes() : 0;
}

bool Exchange::callerGone() const
{
    return !this->connection;
}

bool Exchange::hasCallerClosed() const
{
    return !this->connection || this->connection->hasCallerClosed();
}

std::string errorBody(const Error& error, std::string_view requestId)
{
    const auto& answer = answerFor(error.kind);
    QJsonObject fields;
    fields["kind"] = QString::fromUtf8(answer.name.data(), static_cast<qsizetype>(answer.name.size()));
    fields["message"] = QString::fromStdString(error.detail);
    fields["execution"] = QString::fromStdString(std::string(toString(error.execution)));
    fields["retryable"] = answer.retryable;
    if (!requestId.empty())
        fields["request_id"] = QString::fromStdString(std::string(requestId));
    QJsonObject body;
    body["error"] = fields;
    return QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
}

void respondWithError(Exchange& exchange, const Error& error, std::string_view requestId)
{
    Headers headers { { "Content-Type", "application/json" },
        { "Dragonfly-Execution", std::string(toString(error.execution)) } };
    if (!requestId.empty())
        headers.add("X-Request-Id", requestId);
    if (error.retryAfter.count() > 0)
        headers.add("Retry-After", secondsText(error.retryAfter));
    exchange.respond(answerFor(error.kind).status, headers, errorBody(error, requestId));
}

}
