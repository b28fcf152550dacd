#include "daemon/SignalReader.h"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace dragonfly::daemon {

namespace {

    /// A gap between two looks that is longer than the interval by this much counts as a stall. Callers notice such
    /// delays: first tokens are expected within some hundred milliseconds.
    constexpr std::chrono::milliseconds minStall { 250 };

}

int openSignalDescriptor()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

SignalReader::SignalReader(int descriptor, BootClock::time_point openedAt)
    : descriptor(descriptor)
    , notifier(descriptor, QSocketNotifier::Read)
    , lookedAt(openedAt)
{
    connect(&this->notifier, &QSocketNotifier::activated, this, &SignalReader::look);
    connect(&this->timer, &QTimer::timeout, this, &SignalReader::look);
}

void SignalReader::start(std::chrono::milliseconds interval)
{
    this->timer.start(interval);
    this->look();
}

void SignalReader::look()
{
    const auto now = BootClock::now(); // read first: a signal that comes while this function runs came after it
    const auto lastLook = std::exchange(this->lookedAt, now);
    if (now - lastLook > this->timer.intervalAsDuration() + minStall && this->onStall)
        this->onStall(now - lastLook);
    signalfd_siginfo info;
    while (read(this->descriptor, &info, sizeof(info)) == sizeof(info)) {
        if (info.ssi_signo == SIGHUP) {
            if (this->onHangUp)
                this->onHangUp();
        } else if (this->onTerminate) {
            this->onTerminate(lastLook);
        }
    }
}

}
