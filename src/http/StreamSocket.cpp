#include "http/StreamSocket.h"

#include <cerrno>
#include <fcntl.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace dragonfly::http {

namespace {

    /// Sent bytes are removed from the front of longer buffers when they make up half of them.
    constexpr size_t minCompactedBytes = 64 << 10;

    bool isTransient(int error)
    {
        return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
    }

}

StreamSocket::StreamSocket(int descriptor)
    : handle(descriptor)
    , readNotifier(descriptor, QSocketNotifier::Read)
    , writeNotifier(descriptor, QSocketNotifier::Write)
{
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    this->writeNotifier.setEnabled(false);
    connect(&this->readNotifier, &QSocketNotifier::activated, this, &StreamSocket::onReadActivated);
    connect(&this->writeNotifier, &QSocketNotifier::activated, this, &StreamSocket::onWriteActivated);
}

StreamSocket::~StreamSocket()
{
    this->close();
}

size_t StreamSocket::read(char* buffer, size_t size)
{
    if (!this->isOpen() || this->hasEnded)
        return 0;
    const auto count = ::recv(this->handle, buffer, size, MSG_DONTWAIT);
    if (count > 0)
        return static_cast<size_t>(count);
    if (count < 0 && isTransient(errno))
        return 0;
    this->hasEnded = true;
    this->hasFailed = this->hasFailed || count < 0;
    this->readNotifier.setEnabled(false);
    this->scheduleEnd();
    return 0;
}

void StreamSocket::setReading(bool enabled)
{
    if (this->isOpen())
        this->readNotifier.setEnabled(enabled && !this->hasEnded);
}

size_t StreamSocket::unreadBytes() const
{
    int count = 0;
    return this->isOpen() && !::ioctl(this->handle, FIONREAD, &count) ? static_cast<size_t>(count) : 0;
}

void StreamSocket::write(std::string bytes)
{
    if (!this->isOpen() || this->hasFailed)
        return;
    if (this->outgoing.empty())
        this->outgoing = std::move(bytes);
    else
        this->outgoing.append(bytes);
    if (this->writeNotifier.isEnabled() || std::exchange(this->isFlushDue, true))
        return;
    QMetaObject::invokeMethod(
        this,
        [this] {
            if (this->isFlushDue)
                this->onWriteActivated();
        },
        Qt::QueuedConnection);
}

void StreamSocket::flush()
{
    this->isFlushDue = false;
    while (this->isOpen() && !this->hasFailed && this->unsentBytes()) {
        const auto rest = std::string_view(this->outgoing).substr(this->sent);
        const auto count = ::send(this->handle, rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count >= 0) {
            this->sent += static_cast<size_t>(count);
        } else if (errno != EINTR) {
            this->hasFailed = !isTransient(errno);
            break;
        }
    }
    if (this->hasFailed || !this->unsentBytes()) {
        this->outgoing = {};
        this->sent = 0;
    } else if (this->sent > minCompactedBytes && this->sent > this->outgoing.size() / 2) {
        this->outgoing = this->outgoing.substr(this->sent);
        this->sent = 0;
    }
    if (this->isOpen())
        this->writeNotifier.setEnabled(this->unsentBytes() > 0);
}

void StreamSocket::close()
{
    if (!this->isOpen())
        return;
    this->readNotifier.setEnabled(false);
    this->writeNotifier.setEnabled(false);
    ::close(std::exchange(this->handle, -1));
    this->outgoing = {};
    this->sent = 0;
}

void StreamSocket::onReadActivated()
{
    if (this->isOpen() && this->onReadable)
        this->onReadable();
}

void StreamSocket::onWriteActivated()
{
    const auto before = this->unsentBytes();
    this->flush();
    if (this->hasEnded || this->hasFailed)
        this->scheduleEnd();
    if (this->isOpen() && this->unsentBytes() < before && this->onWritten)
        this->onWritten();
}

/// The end is reported once nothing is left to be sent, and from the event loop, since its reader may be parsing.
void StreamSocket::scheduleEnd()
{
    const bool isOver = this->hasFailed || (this->hasEnded && !this->unsentBytes());
    if (!isOver || std::exchange(this->isEndDue, true))
        return;
    QMetaObject::invokeMethod(
        this,
        [this] {
            if (this->isOpen() && this->onEnd)
                this->onEnd();
        },
        Qt::QueuedConnection);
}

}
