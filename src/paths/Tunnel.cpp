#include "paths/Tunnel.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dragonfly::paths {

namespace {

    /// Time to open a tunnel, less than an instance waits for a connection, so that it learns the reason.
    constexpr std::chrono::milliseconds openTimeout { 300 };
    /// Longer than a target pauses within an answer.
    constexpr std::chrono::milliseconds maxPause { 1000 };
    constexpr size_t maxRequestBytes = 512;
    constexpr size_t chunkBytes = 32u << 10;
    /// Backpressure: while more bytes than this wait for one side, the other is not read.
    constexpr size_t pauseThresholdBytes = 128u << 10;

    /// The target of a request for a tunnel; nothing if @p request is none.
    std::optional<Endpoint> targetOf(const std::string& request)
    {
        constexpr std::string_view method = "CONNECT ";
        if (!request.starts_with(method))
            return std::nullopt;
        const auto end = request.find(' ', method.size());
        return parseRemoteEndpoint(request.substr(method.size(), end - method.size()));
    }

    void setResetOnClose(int descriptor, bool isReset)
    {
        const linger setting { isReset, 0 };
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &setting, sizeof(setting));
    }

    bool isRetryable()
    {
        return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    }

}

Tunnel::Tunnel(int descriptor, std::function<TunnelAnswer(const Endpoint& target)> mayOpen, QObject* parent)
    : QObject(parent)
    , mayOpen(std::move(mayOpen))
{
    this->instance.descriptor = descriptor;
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    this->watch(this->instance);
    connect(this->instance.readable.get(), &QSocketNotifier::activated, this, &Tunnel::readRequest);
    this->timer.setSingleShot(true);
    connect(&this->timer, &QTimer::timeout, this, [this] { this->answer(TunnelAnswer::NoTarget); });
    this->timer.start(openTimeout);
}

Tunnel::~Tunnel()
{
    for (auto* side : { &this->instance, &this->target }) {
        side->readable.reset();
        side->writable.reset();
        if (side->descriptor >= 0)
            ::close(side->descriptor);
    }
}

void Tunnel::watch(Side& side)
{
    const int enable = 1;
    ::setsockopt(side.descriptor, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
    side.readable = std::make_unique<QSocketNotifier>(side.descriptor, QSocketNotifier::Read);
    side.writable = std::make_unique<QSocketNotifier>(side.descriptor, QSocketNotifier::Write);
    side.writable->setEnabled(false);
}

void Tunnel::readRequest()
{
    std::array<char, maxRequestBytes> bytes {};
    const auto count = ::recv(this->instance.descriptor, bytes.data(), bytes.size() - this->request.size(), 0);
    if (count < 0 && isRetryable())
        return;
    if (count <= 0) {
        this->end();
        return;
    }
    this->request.append(bytes.data(), static_cast<size_t>(count));
    if (!this->request.ends_with("\r\n\r\n")) {
        if (this->request.size() == maxRequestBytes)
            this->answer(TunnelAnswer::NoTarget);
        return;
    }
    const auto wanted = targetOf(std::exchange(this->request, {}));
    const auto reply = wanted ? this->mayOpen(*wanted) : TunnelAnswer::NoTarget;
    if (reply == TunnelAnswer::Open)
        this->connectTo(*wanted);
    else
        this->answer(reply);
}

void Tunnel::connectTo(const Endpoint& wanted)
{
    // Nothing is due from the instance before the tunnel is open, and its close is noticed then.
    this->instance.readable->setEnabled(false);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(wanted.port);
    if (::inet_pton(AF_INET, wanted.host.c_str(), &address.sin_addr) != 1) {
        this->answer(TunnelAnswer::NoTarget);
        return;
    }
    this->target.descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const bool isConnecting = this->target.descriptor >= 0
        && (!::connect(this->target.descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address))
            || errno == EINPROGRESS);
    if (!isConnecting) {
        this->answer(TunnelAnswer::NoTarget);
        return;
    }
    this->watch(this->target);
    this->target.readable->setEnabled(false);
    this->target.writable->setEnabled(true);
    connect(this->target.writable.get(), &QSocketNotifier::activated, this, [this] {
        if (this->isOpen)
            this->flush(this->target);
        else
            this->onConnected();
    });
}

void Tunnel::onConnected()
{
    int failure = 0;
    socklen_t length = sizeof(failure);
    ::getsockopt(this->target.descriptor, SOL_SOCKET, SO_ERROR, &failure, &length);
    if (failure) {
        this->answer(TunnelAnswer::NoTarget);
        return;
    }
    this->isOpen = true;
    setResetOnClose(this->instance.descriptor, true); // the end of this process does not complete an answer
    this->timer.stop();
    this->target.writable->setEnabled(false);
    this->instance.readable->disconnect(this);
    connect(this->instance.readable.get(), &QSocketNotifier::activated, this,
        [this] { this->pass(this->instance, this->target); });
    connect(this->target.readable.get(), &QSocketNotifier::activated, this,
        [this] { this->pass(this->target, this->instance); });
    connect(this->instance.writable.get(), &QSocketNotifier::activated, this, [this] { this->flush(this->instance); });
    this->instance.unsent = toHead(TunnelAnswer::Open);
    this->flush(this->instance);
    if (this->isEnding)
        return;
    this->instance.readable->setEnabled(true);
    this->target.readable->setEnabled(true);
}

bool Tunnel::isBusy(Clock::time_point now) const
{
    return !this->isOpen || this->requestedAt > this->answeredAt || this->answeredAt + maxPause > now;
}

/// Refuses the tunnel.
void Tunnel::answer(TunnelAnswer reply)
{
    const auto head = toHead(reply);
    ::send(this->instance.descriptor, head.data(), head.size(), MSG_NOSIGNAL);
    this->end();
}

void Tunnel::pass(Side& from, Side& receiver)
{
    std::array<char, chunkBytes> bytes {};
    const auto count = ::recv(from.descriptor, bytes.data(), bytes.size(), 0);
    if (count < 0) {
        if (!isRetryable())
            this->reset();
        return;
    }
    if (&from == &this->target)
        this->answeredAt = Clock::now();
    else if (!this->hasTargetEnded)
        this->requestedAt = Clock::now();
    if (!count) {
        (&from == &this->target ? this->hasTargetEnded : this->isEnding) = true;
        from.readable->setEnabled(false);
    }
    receiver.unsent.append(bytes.data(), static_cast<size_t>(count));
    this->flush(receiver);
}

void Tunnel::flush(Side& side)
{
    while (!side.unsent.empty()) {
        const auto count = ::send(side.descriptor, side.unsent.data(), side.unsent.size(), MSG_NOSIGNAL);
        if (count < 0 && !isRetryable()) {
            this->reset();
            return;
        }
        if (count < 0)
            break;
        side.unsent.erase(0, static_cast<size_t>(count));
    }
    if (this->isEnding && this->instance.unsent.empty() && this->target.unsent.empty()) {
        setResetOnClose(this->instance.descriptor, false);
        this->end();
        return;
    }
    side.writable->setEnabled(!side.unsent.empty());
    if (this->hasTargetEnded && &side == &this->instance && side.unsent.empty()) {
        // The rest of a request may still arrive. A close over unread bytes would reset the end of the answer.
        setResetOnClose(side.descriptor, false);
        ::shutdown(side.descriptor, SHUT_WR);
    }
    auto& other = &side == &this->target ? this->instance : this->target;
    if (!this->isEnding && !(this->hasTargetEnded && &other == &this->target))
        other.readable->setEnabled(side.unsent.size() < pauseThresholdBytes);
}

void Tunnel::reset()
{
    for (auto* side : { &this->instance, &this->target }) {
        if (side->descriptor >= 0)
            setResetOnClose(side->descriptor, true);
    }
    this->end();
}

void Tunnel::end()
{
    this->isEnding = true;
    this->timer.stop();
    for (auto* side : { &this->instance, &this->target }) {
        if (side->readable)
            side->readable->setEnabled(false);
        if (side->writable)
            side->writable->setEnabled(false);
    }
    this->deleteLater();
}

}
