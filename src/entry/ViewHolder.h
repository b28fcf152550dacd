#pragma once
// The view in force, replaced by read-copy-update: readers never wait for a writer.

#include "routing/View.h"

namespace dragonfly::entry {

/// Registers the current thread as a reader for its lifetime.
class ReaderThread {
public:
    ReaderThread();
    ~ReaderThread();
    ReaderThread(const ReaderThread&) = delete;
    ReaderThread& operator=(const ReaderThread&) = delete;
};

class ViewHolder {
public:
    ViewHolder() = default;
    ~ViewHolder();

    /// The view in force, or null before the first one. Only from a thread with a ReaderThread.
    routing::ViewPointer current() const;
    /// Puts @p view in force. One writer at a time; waits until no reader is in the middle of current().
    void replace(routing::ViewPointer view);

private:
    routing::ViewPointer* holder = nullptr;
};

}
