#pragma once
// One connection that is carried to a target. Works on the sockets themselves, because a reset must stay a reset: it
// marks an answer without a length as incomplete.

#include "paths/TunnelServer.h"

#include <QObject>
#include <QSocketNotifier>
#include <QTimer>
#include <memory>

namespace dragonfly::paths {

class Tunnel : public QObject {
    Q_OBJECT
public:
    /// Takes over @p descriptor, the connection of an instance. Deletes itself when the tunnel has ended.
    Tunnel(int descriptor, std::function<TunnelAnswer(const Endpoint& target)> mayOpen, QObject* parent);
    ~Tunnel() override;

    /// Whether a request may be open: the target has not sent anything since, or has done so only just now.
    bool isBusy(Clock::time_point now) const;

private:
    /// One of the two connections.
    struct Side {
        int descriptor = -1; ///< -1: none
        std::unique_ptr<QSocketNotifier> readable;
        std::unique_ptr<QSocketNotifier> writable;
        std::string unsent; ///< bytes that wait to be written to this side
    };

    void watch(Side& side);
    void readRequest();
    void connectTo(const Endpoint& target);
    void onConnected();
    void answer(TunnelAnswer reply);
    void pass(Side& from, Side& receiver);
    void flush(Side& side);
    void reset();
    void end();

    std::function<TunnelAnswer(const Endpoint& target)> mayOpen;
    Side instance;
    Side target;
    std::string request; ///< received so far; empty once a target is being connected to
    bool isOpen = false;
    bool hasTargetEnded = false; ///< the instance gets that end after what was received, and may still send
    bool isEnding = false; ///< the instance has ended; the tunnel ends when the target has what was received
    Clock::time_point requestedAt; ///< when bytes of the instance arrived last
    Clock::time_point answeredAt; ///< when bytes of the target arrived last
    QTimer timer; ///< until the tunnel is open
};

}
