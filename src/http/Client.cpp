#include "http/Client.h"

#include "http/ClientConnection.h"

#include <algorithm>

namespace dragonfly::http {

namespace {

    constexpr size_t maxIdleConnectionsPerEndpoint = 64;

}

Call::Call(ClientConnection* connection, uint64_t number)
    : connection(connection)
    , number(number)
{
}

ClientConnection* Call::activeConnection() const
{
    if (!this->connection || this->connection->callNumber() != this->number)
        return nullptr;
    return this->connection;
}

void Call::cancel()
{
    if (auto* active = this->activeConnection())
        active->cancel();
}

void Call::setDeadline(Deadline deadline)
{
    if (auto* active = this->activeConnection())
        active->setDeadline(deadline);
}

bool Call::requestSent() const
{
    const auto* active = this->activeConnection();
    return active && active->requestSent();
}

void Call::setPaused(bool paused)
{
    if (auto* active = this->activeConnection())
        active->setPaused(paused);
}

void Call::closeAfterAnswer()
{
    if (auto* active = this->activeConnection())
        active->closeAfterAnswer();
}

ClientPool::ClientPool(QObject* parent)
    : QObject(parent)
{
}

ClientPool::~ClientPool()
{
    // Connections use this object in their destructors, so they are deleted before its members.
    qDeleteAll(this->findChildren<ClientConnection*>());
}

Call ClientPool::send(const Endpoint& endpoint, const Request& request, const CallOptions& options, CallEvents events)
{
    const auto key = ClientConnection::keyOf(endpoint, options.via);
    auto* connection = options.reuseConnection ? this->acquireIdle(key, options.minIdleSince) : nullptr;
    if (!connection)
        connection = new ClientConnection(this, endpoint, options.via);
    const auto number = ++this->lastCallNumber;
    connection->start(number, request, options, std::move(events));
    return Call(connection, number);
}

ClientConnection* ClientPool::acquireIdle(const std::string& key, Clock::time_point minIdleSince)
{
    auto found = this->idle.find(key);
    if (found == this->idle.end())
        return nullptr;
    auto& connections = found->second;
    while (!connections.empty()) {
        auto connection = connections.back();
        connections.pop_back();
        if (connection && connection->isReusable(Clock::now()) && connection->idleSince() >= minIdleSince)
            return connection;
        if (connection)
            connection->cancel();
    }
    return nullptr;
}

void ClientPool::addIdle(ClientConnection* connection)
{
    auto& connections = this->idle[connection->key()];
    if (connections.size() >= maxIdleConnectionsPerEndpoint) {
        connection->cancel();
        return;
    }
    connections.emplace_back(connection);
}

void ClientPool::removeIdle(ClientConnection* connection)
{
    auto found = this->idle.find(connection->key());
    if (found != this->idle.end())
        std::erase(found->second, connection);
}

}
