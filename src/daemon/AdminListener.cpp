#include "daemon/AdminListener.h"

#include <QTcpSocket>
#include <memory>

namespace dragonfly::daemon {

namespace {

    /// Received on a connection since the last answer; requests to the admin address have no body.
    constexpr qint64 maxRequestBytes = 64 << 10;

}

uint16_t AdminListener::start(QHttpServer& server, const Endpoint& address)
{
    auto listener = std::make_unique<AdminListener>();
    if (!listener->listen(QHostAddress(QString::fromStdString(address.host)), address.port))
        return 0;
    const auto port = listener->serverPort();
    server.bind(listener.release()); // takes ownership
    return port;
}

void AdminListener::incomingConnection(qintptr descriptor)
{
    auto* const socket = new QTcpSocket(this); // the HTTP server deletes it when it is disconnected
    socket->setReadBufferSize(2 * maxRequestBytes); // the HTTP server may leave bytes there
    socket->setSocketDescriptor(descriptor);
    const auto received = std::make_shared<qint64>(0);
    connect(socket, &QTcpSocket::readyRead, socket, [socket, received] {
        *received += socket->bytesAvailable();
        if (*received > maxRequestBytes)
            socket->abort();
    });
    connect(socket, &QTcpSocket::bytesWritten, socket, [received] { *received = 0; });
    this->addPendingConnection(socket);
}

}
