#include "membership/ZmqTransport.h"

namespace dragonfly::membership {

namespace {

    /// For each peer and direction. Beyond it, a receiver leaves messages with the sender, which drops them.
    constexpr int maxQueuedMessages = 64;
    constexpr int heartbeatMs = 3000;
    constexpr int heartbeatTimeoutMs = 9000;
    constexpr int initialReconnectMs = 100;
    constexpr int maxReconnectMs = 2000;
    constexpr int64_t maxMessageBytes = 4 << 20;
    constexpr std::chrono::milliseconds pollInterval { 100 };

    /// Heartbeats detect connections that have gone silent, so that ZeroMQ replaces them.
    void setCommonOptions(zmq::socket_t& socket)
    {
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::heartbeat_ivl, heartbeatMs);
        socket.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMs);
        socket.set(zmq::sockopt::maxmsgsize, maxMessageBytes);
    }

}

ZmqTransport::ZmqTransport(observe::Metrics& metrics)
    : metrics(metrics)
    , receiver(this->context, zmq::socket_type::pull)
{
    setCommonOptions(this->receiver);
    this->receiver.set(zmq::sockopt::rcvhwm, maxQueuedMessages);
}

Result<Endpoint> ZmqTransport::bind(const Endpoint& endpoint)
{
    try {
        const auto port = endpoint.port ? std::to_string(endpoint.port) : std::string("*");
        this->receiver.bind("tcp://" + endpoint.host + ":" + port);
    } catch (const zmq::error_t& failure) {
        return Error { ErrorKind::Internal, "cannot bind " + endpoint.toString() + ": " + failure.what(),
            Execution::NotRun, {} };
    }
    this->notifier = std::make_unique<QSocketNotifier>(this->receiver.get(zmq::sockopt::fd), QSocketNotifier::Read);
    connect(this->notifier.get(), &QSocketNotifier::activated, this, &ZmqTransport::receiveAll);
    connect(&this->pollTimer, &QTimer::timeout, this, &ZmqTransport::receiveAll);
    this->pollTimer.start(pollInterval);
    const auto bound = this->receiver.get(zmq::sockopt::last_endpoint);
    return parseEndpoint(bound.substr(bound.rfind('/') + 1)).value_or(endpoint);
}

void ZmqTransport::receiveAll()
{
    zmq::message_t message;
    while (this->receiver.recv(message, zmq::recv_flags::dontwait)) {
        pb::PeerMessage parsed;
        if (!parsed.ParseFromArray(message.data(), static_cast<int>(message.size())))
            this->metrics.peerMessagesRefused.Increment();
        else if (this->onMessage)
            this->onMessage(parsed);
    }
}

zmq::socket_t& ZmqTransport::socketTo(const std::string& address)
{
    const auto found = this->senders.find(address);
    if (found != this->senders.end())
        return found->second;
    zmq::socket_t socket(this->context, zmq::socket_type::push);
    setCommonOptions(socket);
    socket.set(zmq::sockopt::sndhwm, maxQueuedMessages);
    socket.set(zmq::sockopt::reconnect_ivl, initialReconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectMs);
    socket.connect("tcp://" + address);
    return this->senders.emplace(address, std::move(socket)).first->second;
}

void ZmqTransport::send(const std::string& address, const pb::PeerMessage& message)
{
    // Addresses come from other instances.
    if (!parseRemoteEndpoint(address)) {
        this->metrics.peerMessagesRefused.Increment();
        return;
    }
    const auto bytes = message.SerializeAsString();
    try {
        if (!this->socketTo(address).send(zmq::buffer(bytes), zmq::send_flags::dontwait))
            return;
    } catch (const zmq::error_t&) {
        // An address that ZeroMQ does not accept, or more addresses than it can hold sockets for.
        this->metrics.peerMessagesRefused.Increment();
        return;
    }
    this->metrics.peerMessages.Increment();
    this->metrics.peerBytes.Increment(static_cast<double>(bytes.size()));
}

void ZmqTransport::drop(const std::string& address)
{
    this->senders.erase(address);
}

}
