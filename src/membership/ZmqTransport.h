#pragma once
// Peer messages over ZeroMQ: one PULL socket to receive, one PUSH socket for each peer.

#include "membership/PeerTransport.h"
#include "observe/Metrics.h"

#include <QObject>
#include <QSocketNotifier>
#include <QTimer>
#include <memory>
#include <unordered_map>
#include <zmq.hpp>

namespace dragonfly::membership {

class ZmqTransport : public QObject, public PeerTransport {
    Q_OBJECT
public:
    explicit ZmqTransport(observe::Metrics& metrics);

    /// Binds to @p endpoint (port 0: any free port) and returns the bound endpoint.
    Result<Endpoint> bind(const Endpoint& endpoint);
    void send(const std::string& address, const pb::PeerMessage& message) override;
    void drop(const std::string& address) override;

private:
    void receiveAll();
    zmq::socket_t& socketTo(const std::string& address);

    observe::Metrics& metrics;
    zmq::context_t context;
    zmq::socket_t receiver;
    std::unordered_map<std::string, zmq::socket_t> senders;
    std::unique_ptr<QSocketNotifier> notifier;
    QTimer pollTimer; ///< receives messages that the edge-triggered descriptor of ZeroMQ didn't signal
};

}
