#include "paths/TunnelServer.h"

#include "paths/Tunnel.h"

#include <algorithm>

namespace dragonfly::paths {

namespace {

    /// Limit on tunnels, which take two descriptors each of at least 4,100.
    constexpr qsizetype maxTunnels = 600;

    constexpr int statusOpen = 200;
    constexpr int statusNoPath = 503;

}

std::string_view toHead(TunnelAnswer answer)
{
    switch (answer) {
    case TunnelAnswer::Open:
        return "HTTP/1.1 200 OK\r\n\r\n";
    case TunnelAnswer::NoTarget:
        return "HTTP/1.1 502 Bad Gateway\r\n\r\n";
    case TunnelAnswer::NoPath:
        break;
    }
    return "HTTP/1.1 503 Service Unavailable\r\n\r\n";
}

TunnelAnswer answerOf(int status)
{
    if (status == statusOpen)
        return TunnelAnswer::Open;
    return status == statusNoPath ? TunnelAnswer::NoPath : TunnelAnswer::NoTarget;
}

Result<Endpoint> TunnelServer::listenOn(const Endpoint& endpoint)
{
    if (!this->listen(QHostAddress(QString::fromStdString(endpoint.host)), endpoint.port))
        return Error { ErrorKind::Internal, "cannot listen on " + endpoint.toString(), Execution::NotRun, {} };
    return Endpoint { endpoint.host, this->serverPort() };
}

bool TunnelServer::isAnyBusy(Clock::time_point now) const
{
    return std::ranges::any_of(
        this->findChildren<Tunnel*>(), [now](const Tunnel* tunnel) { return tunnel->isBusy(now); });
}

void TunnelServer::incomingConnection(qintptr descriptor)
{
    const bool isFull = this->findChildren<Tunnel*>().size() >= maxTunnels;
    new Tunnel(
        static_cast<int>(descriptor),
        [this, isFull](const Endpoint& target) { return isFull ? TunnelAnswer::NoPath : this->mayOpen(target); }, this);
}

}
