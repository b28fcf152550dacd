#include "http/Client.h"

#include "http/ClientConnection.h"

#include <algorithm>

namespace dragonfly::http {

namespace {

    constexpr size_t idleConnectionsPerEndpoint = 64;

}

Call::Call(ClientConnection* connection, uint64_t number)
    : connection(connection)
    , number(number)
{
}

ClientConnection* Call::current() const
{
    if (!this->connection || this->connection->callNumber() != this->number)
        return nullptr;
    return this->connection;
}

void Call::cancel()
{
    if (auto* active = this->current())
        active->cancel();
}

void Call::setDeadline(Deadline deadline)
{
    if (auto* active = this->current())
        active->setDeadline(deadline);
}

bool Call::requestSent() const
{
    const auto* active = this->current();
    return active && active->requestSent();
}

void Call::setPaused(bool paused)
{
    if (auto* active = this->current())
        active->setPaused(paused);
}

ClientPool::ClientPool(QObject* parent)
    : QObject(parent)
{
}

ClientPool::~ClientPool()
{
    // Connections refer to this object, so they go before its members do.
    qDeleteAll(this->findChildren<ClientConnection*>());
}

Call ClientPool::send(const Endpoint& endpoint, const Request& request, const CallOptions& options, CallEvents events)
{
    auto* connection = options.reuseConnection ? this->takeIdle(endpoint, options.oldestIdle) : nullptr;
    if (!connection)
        connection = new ClientConnection(this, endpoint);
    const auto number = ++this->lastCall;
    connection->start(number, request, options, std::move(events));
    return Call(connection, number);
}

ClientConnection* ClientPool::takeIdle(const Endpoint& endpoint, Clock::time_point oldestIdle)
{
    auto found = this->idle.find(endpoint.toString());
    if (found == this->idle.end())
        return nullptr;
    auto& connections = found->second;
    while (!connections.empty()) {
        auto connection = connections.back();
        connections.pop_back();
        if (connection && connection->usable(Clock::now()) && connection->idleSince() >= oldestIdle)
            return connection;
        if (connection)
            connection->cancel();
    }
    return nullptr;
}

void ClientPool::keepIdle(ClientConnection* connection)
{
    auto& connections = this->idle[connection->remote().toString()];
    if (connections.size() >= idleConnectionsPerEndpoint) {
        connection->cancel();
        return;
    }
    connections.emplace_back(connection);
}

void ClientPool::forget(ClientConnection* connection)
{
    auto found = this->idle.find(connection->remote().toString());
    if (found != this->idle.end())
        std::erase(found->second, connection);
}

}
