#pragma once
// A target in the event loop of the test that answers each request with the raw bytes that a script writes.

#include "tests/support/Process.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <functional>
#include <map>
#include <sys/socket.h>

namespace testing {

/// A request as it arrived.
struct ScriptedRequest {
    std::string id; ///< value of the header that the target was given as the name of request ids
    std::string path;
    int connection; ///< counted from 0 in the order in which connections were accepted
    int number; ///< on its connection, from 0
    std::string head; ///< the request line and the header fields
    std::string body = {};
};

class ScriptedTarget {
public:
    /// Called for each request once it has arrived completely; writes to the connection, now or later.
    using Script = std::function<void(const ScriptedRequest&, QTcpSocket&)>;

    ScriptedTarget(std::string idHeader, Script script)
        : idHeader(std::move(idHeader) + ": ")
        , script(std::move(script))
    {
        require(this->server.listen(QHostAddress::LocalHost), "the scripted target cannot listen");
        QObject::connect(&this->server, &QTcpServer::newConnection, [this] { this->acceptPending(); });
    }

    dragonfly::Endpoint address() const
    {
        return { "127.0.0.1", this->server.serverPort() };
    }
    /// The number of arrivals of the request @p id.
    int arrivalsOf(const std::string& id) const
    {
        const auto found = this->arrivals.find(id);
        return found == this->arrivals.end() ? 0 : found->second;
    }

    /// The value of the header field @p name; empty if there is none.
    static std::string fieldOf(const ScriptedRequest& request, const std::string& name)
    {
        return field(request.head, name + ": ");
    }
    /// Writes @p bytes after @p delay if the connection is still open.
    static void writeLater(QTcpSocket& socket, std::chrono::milliseconds delay, const std::string& bytes)
    {
        QTimer::singleShot(delay, &socket, [&socket, bytes] { write(socket, bytes); });
    }
    static void write(QTcpSocket& socket, const std::string& bytes)
    {
        socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
    }
    /// Resets the connection, so that what was written may not arrive.
    static void reset(QTcpSocket& socket)
    {
        const linger immediately { 1, 0 };
        setsockopt(
            static_cast<int>(socket.socketDescriptor()), SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
        socket.abort();
    }

private:
    void acceptPending()
    {
        while (auto* socket = this->server.nextPendingConnection()) {
            socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
            const auto connection = this->accepted++;
            auto received = std::make_shared<std::string>();
            auto number = std::make_shared<int>(0);
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, connection, received, number] {
                received->append(socket->readAll().toStdString());
                while (const auto length = requestLength(*received)) {
                    const ScriptedRequest request { this->idOf(*received), pathOf(*received), connection, (*number)++,
                        received->substr(0, received->find("\r\n\r\n") + 2),
                        received->substr(received->find("\r\n\r\n") + 4, length - received->find("\r\n\r\n") - 4) };
                    received->erase(0, length);
                    ++this->arrivals[request.id];
                    this->script(request, *socket);
                }
            });
        }
    }

    static std::string field(const std::string& head, const std::string& name)
    {
        const auto at = head.find("\r\n" + name);
        if (at == std::string::npos)
            return {};
        const auto begin = at + 2 + name.size();
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

    /// Bytes of the complete request at the beginning of @p received; 0 if it has not arrived completely.
    static size_t requestLength(const std::string& received)
    {
        const auto end = received.find("\r\n\r\n");
        if (end == std::string::npos)
            return 0;
        const auto headLength = end + 4;
        const auto length = headLength + std::strtoul(field(received, "Content-Length: ").c_str(), nullptr, 10);
        return received.size() < length ? 0 : length;
    }

    static std::string pathOf(const std::string& received)
    {
        const auto begin = received.find(' ') + 1;
        return received.substr(begin, received.find(' ', begin) - begin);
    }

    std::string idOf(const std::string& received) const
    {
        return field(received.substr(0, received.find("\r\n\r\n") + 2), this->idHeader);
    }

    std::string idHeader;
    Script script;
    int accepted = 0;
    std::map<std::string, int> arrivals; ///< by request id
    QTcpServer server;
};

}
