// TCP proxy that injects faults into the connections to one address.
//
// POST /control accepts {"mode": M, "delay_ms": N}:
//   "pass"          forwards both directions and releases held answers
//   "cut"           closes all connections and refuses new ones
//   "silence"       permanently stops forwarding on the open connections; new ones work
//   "drop-answers"  forwards requests and discards answers
//   "hold-answers"  forwards requests and holds answers until "pass"
//   "cross"         sends each answer to the caller of another connection

#include "standins/Program.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <vector>

namespace {

using namespace standins;

enum class Mode {
    Pass,
    Cut,
    DropAnswers,
    HoldAnswers,
    Cross,
};

/// A caller's connection and the connection to the target that it is forwarded to.
class Link : public QObject {
public:
    Link(QTcpSocket* callerSocket, const dragonfly::Endpoint& destination, QObject* parent)
        : QObject(parent)
        , callerSocket(callerSocket)
        , targetSocket(new QTcpSocket(this))
    {
        callerSocket->setParent(this);
        this->targetSocket->connectToHost(QString::fromStdString(destination.host), destination.port);
        connect(callerSocket, &QTcpSocket::disconnected, this, [this] { this->closePeer(this->targetSocket); });
        connect(this->targetSocket, &QTcpSocket::disconnected, this, [this] { this->closePeer(this->callerSocket); });
        connect(this->targetSocket, &QTcpSocket::errorOccurred, this, [this] { this->closePeer(this->callerSocket); });
    }

    void closePeer(QTcpSocket* other)
    {
        if (this->isSilent)
            return;
        other->disconnectFromHost();
        this->deleteLater();
    }

    QTcpSocket* callerSocket;
    QTcpSocket* targetSocket;
    bool isSilent = false; ///< discards bytes of both sides; a close of one side is not passed on to the other
    QByteArray heldAnswer; ///< answer bytes received in Mode::HoldAnswers
};

class Proxy : public QTcpServer {
public:
    explicit Proxy(const dragonfly::Endpoint& destination)
        : destination(destination)
    {
        connect(this, &QTcpServer::newConnection, this, [this] { this->acceptPending(); });
    }

    void control(http::Exchange& exchange)
    {
        const auto command = parseJson(exchange.request().body);
        const auto name = command["mode"].toString();
        if (command.contains("delay_ms"))
            this->delay = std::chrono::milliseconds(command["delay_ms"].toInt());
        if (name == "pass")
            this->mode = Mode::Pass;
        else if (name == "cut")
            this->cutAll();
        else if (name == "silence")
            this->silenceAll();
        else if (name == "drop-answers")
            this->mode = Mode::DropAnswers;
        else if (name == "hold-answers")
            this->mode = Mode::HoldAnswers;
        else if (name == "cross")
            this->mode = Mode::Cross;
        if (this->mode == Mode::Pass)
            this->releaseHeldAnswers();
        respondJson(exchange, 200,
            { { "links", static_cast<int>(this->links().size()) }, { "accepted", this->acceptedConnections } });
    }

private:
    std::vector<Link*> links() const
    {
        std::vector<Link*> result;
        for (auto* child : this->children()) {
            if (auto* link = dynamic_cast<Link*>(child))
                result.push_back(link);
        }
        return result;
    }

    void acceptPending()
    {
        while (auto* socket = this->nextPendingConnection()) {
            ++this->acceptedConnections;
            if (this->mode == Mode::Cut) {
                socket->abort();
                socket->deleteLater();
                continue;
            }
            auto* link = new Link(socket, this->destination, this);
            connect(link->callerSocket, &QTcpSocket::readyRead, link,
                [this, link] { this->forward(link, link->callerSocket, link->targetSocket); });
            connect(link->targetSocket, &QTcpSocket::readyRead, link, [this, link] { this->forwardAnswer(link); });
        }
    }

    void forward(Link* link, QTcpSocket* from, QTcpSocket* receiver)
    {
        const auto bytes = from->readAll();
        if (link->isSilent)
            return;
        if (!this->delay.count()) {
            receiver->write(bytes);
            return;
        }
        QTimer::singleShot(this->delay, link, [link, receiver, bytes] {
            if (!link->isSilent)
                receiver->write(bytes);
        });
    }

    void forwardAnswer(Link* link)
    {
        switch (this->mode) {
        case Mode::DropAnswers:
            link->targetSocket->readAll();
            break;
        case Mode::HoldAnswers:
            link->heldAnswer += link->targetSocket->readAll();
            break;
        case Mode::Cross:
            this->forward(link, link->targetSocket, this->anyOtherLink(link)->callerSocket);
            break;
        case Mode::Pass:
        case Mode::Cut:
            this->forward(link, link->targetSocket, link->callerSocket);
            break;
        }
    }

    Link* anyOtherLink(Link* link) const
    {
        for (auto* other : this->links()) {
            if (other != link && !other->isSilent)
                return other;
        }
        return link;
    }

    void releaseHeldAnswers()
    {
        for (auto* link : this->links())
            link->callerSocket->write(std::exchange(link->heldAnswer, {}));
    }

    void cutAll()
    {
        this->mode = Mode::Cut;
        for (auto* link : this->links()) {
            link->callerSocket->abort();
            link->targetSocket->abort();
            link->deleteLater();
        }
    }

    void silenceAll()
    {
        for (auto* link : this->links())
            link->isSilent = true;
    }

    dragonfly::Endpoint destination;
    Mode mode = Mode::Pass;
    std::chrono::milliseconds delay { 0 };
    int acceptedConnections = 0;
};

}

int main(int argc, char** argv)
{
    std::string destination;
    uint16_t port = 0;
    options::options_description description("standin-proxy");
    description.add_options()("to", options::value(&destination)->required(), "host:port to forward to")(
        "port", options::value(&port)->default_value(0), "port to listen on; 0 selects a free port");
    if (!parseOptions(argc, argv, description))
        return 2;
    const auto endpoint = dragonfly::parseEndpoint(destination);
    if (!endpoint) {
        std::cerr << "standin-proxy: --to: expected an IP address and a port\n";
        return 2;
    }
    QCoreApplication application(argc, argv);
    Proxy proxy(*endpoint);
    if (!proxy.listen(QHostAddress::LocalHost, port))
        return 1;
    std::cout << "listen 127.0.0.1:" << proxy.serverPort() << std::endl;
    http::ServerLimits limits;
    http::Server server(limits, [&proxy](const http::ExchangePointer& exchange) { proxy.control(*exchange); });
    if (!listenAndPrint(server, 0, "control"))
        return 1;
    return QCoreApplication::exec();
}
