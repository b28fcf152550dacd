#include "http/StreamSocket.h"

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>
#include <utility>

namespace dragonfly::http {

namespace {

    /// Pieces that are sent by one call.
    constexpr size_t maxSentPieces = 8;
    /// Smaller pieces are appended to the one before, so that many of them take few calls.
    constexpr size_t mergedBytes = 4 << 10;

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
    this->unsent += bytes.size();
    if (!this->outgoing.empty() && bytes.size() <= mergedBytes && this->outgoing.back().size() <= mergedBytes) {
        auto& last = this->outgoing.back();
        this->outgoingCapacity -= last.capacity();
        last.append(bytes);
        this->outgoingCapacity += last.capacity();
    } else if (!bytes.empty()) {
        this->outgoingCapacity += bytes.capacity();
        this->outgoing.push_back(std::move(bytes));
    }
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
    while (this->isOpen() && !this->hasFailed && this->unsent) {
        const auto count = this->sendSome();
        if (count >= 0) {
            this->removeSent(static_cast<size_t>(count));
        } else if (errno != EINTR) {
            this->hasFailed = !isTransient(errno);
            break;
        }
    }
    if (this->hasFailed)
        this->clearOutgoing();
    if (this->isOpen())
        this->writeNotifier.setEnabled(this->unsent > 0);
}

ssize_t StreamSocket::sendSome()
{
    std::array<iovec, maxSentPieces> pieces {};
    size_t count = 0;
    for (auto& piece : this->outgoing) {
        const auto skipped = count ? 0 : this->sent;
        pieces[count++] = { piece.data() + skipped, piece.size() - skipped };
        if (count == pieces.size())
            break;
    }
    msghdr message {};
    message.msg_iov = pieces.data();
    message.msg_iovlen = count;
    return ::sendmsg(this->handle, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
}

void StreamSocket::removeSent(size_t count)
{
    this->unsent -= count;
    this->sent += count;
    while (!this->outgoing.empty() && this->sent >= this->outgoing.front().size()) {
        this->sent -= this->outgoing.front().size();
        this->outgoingCapacity -= this->outgoing.front().capacity();
        this->outgoing.pop_front();
    }
    if (this->outgoing.empty())
        this->clearOutgoing();
}

void StreamSocket::clearOutgoing()
{
    this->outgoing = {};
    this->sent = 0;
    this->unsent = 0;
    this->outgoingCapacity = 0;
}

void StreamSocket::close()
{
    if (!this->isOpen())
        return;
    this->readNotifier.setEnabled(false);
    this->writeNotifier.setEnabled(false);
    ::close(std::exchange(this->handle, -1));
    this->clearOutgoing();
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
