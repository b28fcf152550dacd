#pragma once
// Reads the signals that operators and the platform send, from the event loop.
//
// The kernel does not tell when a signal came. A process that was stopped, suspended or busy takes it late, so each
// signal comes with the last moment at which none was pending.

#include "base/Base.h"

#include <QObject>
#include <QSocketNotifier>
#include <QTimer>

namespace dragonfly::daemon {

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and all threads started later, and returns a descriptor from which
/// they are read. To be called before the first thread starts.
int openSignalDescriptor();

class SignalReader : public QObject {
    Q_OBJECT
public:
    /// @param openedAt when the signals were blocked
    SignalReader(int descriptor, BootClock::time_point openedAt);

    /// Reads signals as they come, and looks for them at least every @p interval.
    void start(std::chrono::milliseconds interval);

    /// SIGTERM or SIGINT came after @p lastLook.
    std::function<void(BootClock::time_point lastLook)> onTerminate;
    std::function<void()> onHangUp;
    /// The event loop did not run for @p gap, much longer than the interval.
    std::function<void(std::chrono::nanoseconds gap)> onStall;

private:
    void look();

    int descriptor;
    QSocketNotifier notifier;
    QTimer timer;
    BootClock::time_point lookedAt; ///< no signal that was not read yet was pending at this moment
};

}
