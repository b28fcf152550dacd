#pragma once
// The active view, replaced by read-copy-update (RCU): readers never wait for a writer.

#include "routing/View.h"

namespace dragonfly::entry {

/// Registers the current thread as an RCU reader for the lifetime of the object.
class RcuReaderRegistration {
public:
    RcuReaderRegistration();
    ~RcuReaderRegistration();
    RcuReaderRegistration(const RcuReaderRegistration&) = delete;
    RcuReaderRegistration& operator=(const RcuReaderRegistration&) = delete;
};

class ViewHolder {
public:
    ViewHolder() = default;
    ~ViewHolder();

    /// The active view, or null before the first one. The calling thread must hold an RcuReaderRegistration.
    routing::ViewPointer current() const;
    /// Activates @p view. Only one thread may write; blocks until no reader is inside current().
    void replace(routing::ViewPointer view);

private:
    routing::ViewPointer* active = nullptr; ///< owned; accessed by RCU only
};

}
