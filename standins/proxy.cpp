// A TCP proxy that injects faults on one link.
//
// POST /control takes {"mode": M, "delay_ms": N}: "pass"; "cut" closes all connections and takes no new
// ones; "silence" makes the open connections go silent for good while new ones work; "drop-answers"
// passes requests on and swallows what comes back; "hold-answers" keeps answers back until the next
// mode; "cross" sends each answer to the caller of another connection.

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

/// One connection of a caller and the one behind it.
class Link : public QObject {
public:
    Link(QTcpSocket* near, const dragonfly::Endpoint& to, QObject* parent)
        : QObject(parent)
        , near(near)
        , far(new QTcpSocket(this))
    {
        near->setParent(this);
        this->far->connectToHost(QString::fromStdString(to.host), to.port);
        connect(near, &QTcpSocket::disconnected, this, [this] { this->end(this->far); });
        connect(this->far, &QTcpSocket::disconnected, this, [this] { this->end(this->near); });
        connect(this->far, &QTcpSocket::errorOccurred, this, [this] { this->end(this->near); });
    }

    void end(QTcpSocket* other)
    {
        if (this->silent)
            return;
        other->disconnectFromHost();
        this->deleteLater();
    }

    QTcpSocket* near;
    QTcpSocket* far;
    bool silent = false; ///< bytes go nowhere and neither end learns of the other's close
    QByteArray held;
};

class Proxy : public QTcpServer {
public:
    explicit Proxy(const dragonfly::Endpoint& to)
        : to(to)
    {
        connect(this, &QTcpServer::newConnection, this, [this] { this->accept(); });
    }

    void control(http::Exchange& exchange)
    {
        const auto order = parseJson(exchange.request().body);
        const auto name = order["mode"].toString();
        if (order.contains("delay_ms"))
            this->delay = std::chrono::milliseconds(order["delay_ms"].toInt());
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
            this->releaseHeld();
        respondJson(
            exchange, 200, { { "links", static_cast<int>(this->links().size()) }, { "accepted", this->accepted } });
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

    void accept()
    {
        while (auto* socket = this->nextPendingConnection()) {
            ++this->accepted;
            if (this->mode == Mode::Cut) {
                socket->abort();
                socket->deleteLater();
                continue;
            }
            auto* link = new Link(socket, this->to, this);
            connect(
                link->near, &QTcpSocket::readyRead, link, [this, link] { this->forward(link, link->near, link->far); });
            connect(link->far, &QTcpSocket::readyRead, link, [this, link] { this->answer(link); });
        }
    }

    void forward(Link* link, QTcpSocket* from, QTcpSocket* onto)
    {
        const auto bytes = from->readAll();
        if (link->silent)
            return;
        if (!this->delay.count()) {
            onto->write(bytes);
            return;
        }
        QTimer::singleShot(this->delay, link, [link, onto, bytes] {
            if (!link->silent)
                onto->write(bytes);
        });
    }

    void answer(Link* link)
    {
        switch (this->mode) {
        case Mode::DropAnswers:
            link->far->readAll();
            break;
        case Mode::HoldAnswers:
            link->held += link->far->readAll();
            break;
        case Mode::Cross:
            this->forward(link, link->far, this->otherThan(link)->near);
            break;
        case Mode::Pass:
        case Mode::Cut:
            this->forward(link, link->far, link->near);
            break;
        }
    }

    Link* otherThan(Link* link) const
    {
        for (auto* other : this->links()) {
            if (other != link && !other->silent)
                return other;
        }
        return link;
    }

    void releaseHeld()
    {
        for (auto* link : this->links())
            link->near->write(std::exchange(link->held, {}));
    }

    void cutAll()
    {
        this->mode = Mode::Cut;
        for (auto* link : this->links()) {
            link->near->abort();
            link->far->abort();
            link->deleteLater();
        }
    }

    void silenceAll()
    {
        for (auto* link : this->links())
            link->silent = true;
    }

    dragonfly::Endpoint to;
    Mode mode = Mode::Pass;
    std::chrono::milliseconds delay { 0 };
    int accepted = 0;
};

}

int main(int argc, char** argv)
{
    std::string to;
    uint16_t port = 0;
    options::options_description description("standin-proxy");
    description.add_options()("to", options::value(&to)->required(), "host:port behind the proxy")(
        "port", options::value(&port)->default_value(0), "0 takes any");
    if (!readFlags(argc, argv, description))
        return 2;
    const auto endpoint = dragonfly::parseEndpoint(to);
    if (!endpoint) {
        std::cerr << "standin-proxy: --to: expected an IP number and a port\n";
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
