#pragma once
// A connected TCP socket that holds nothing of what is received, and only what the system does not take of what is
// sent. Qt's socket keeps two blocks of 16 KiB for each connection that was ever used.

#include <QObject>
#include <QSocketNotifier>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace dragonfly::http {

/// Used from one thread. None of its functions calls back.
class StreamSocket : public QObject {
    Q_OBJECT
public:
    /// Takes ownership of @p descriptor, which becomes non-blocking.
    explicit StreamSocket(int descriptor);
    ~StreamSocket() override;

    int descriptor() const
    {
        return this->handle;
    }
    bool isOpen() const
    {
        return this->handle >= 0;
    }
    /// Reads once into @p buffer, of @p size bytes. Returns the number of bytes; 0 if there are none now, or none any
    /// more, which onEnd follows.
    size_t read(char* buffer, size_t size);
    /// Whether onReadable is called, and the end of the connection noticed.
    void setReading(bool enabled);
    /// Bytes that were received and not read.
    size_t unreadBytes() const;

    /// Sends @p bytes from the event loop.
    void write(std::string bytes);
    /// Sends as much as the system takes now.
    void flush();
    /// Bytes that the system has not taken.
    size_t unsentBytes() const
    {
        return this->unsent;
    }
    /// Memory that unsent bytes take.
    size_t capacityBytes() const
    {
        return this->outgoingCapacity;
    }
    /// Closes now. Nothing is called any more.
    void close();

    std::function<void()> onReadable;
    std::function<void()> onWritten; ///< some of the unsent bytes were sent
    /// The other side has closed or reset the connection, or ended its sending side and received what was unsent.
    std::function<void()> onEnd;

private:
    void onReadActivated();
    void onWriteActivated();
    ssize_t sendSome();
    void removeSent(size_t count);
    void clearOutgoing();
    void scheduleEnd();

    int handle;
    QSocketNotifier readNotifier;
    QSocketNotifier writeNotifier; ///< enabled while the system takes no more
    std::deque<std::string> outgoing;
    size_t sent = 0; ///< bytes of the first of them
    size_t unsent = 0; ///< bytes of all of them without those
    size_t outgoingCapacity = 0; ///< of all of them
    bool isFlushDue = false; ///< flush() follows from the event loop
    bool hasEnded = false; ///< the end of what the other side sends was read, or the connection failed
    bool hasFailed = false; ///< nothing can be sent any more
    bool isEndDue = false; ///< onEnd follows from the event loop
};

}
