// Stand-in for a plain service, such as a visit desk: counts each execution by its idempotency key.
//
// POST /control takes {"mode": "normal" | "close" | "refuse" | "fail", "delay_ms": N, "leaving": bool};
// "close" runs the call and closes the connection without an answer. GET /control lists the executions.

#include "standins/Program.h"

#include <QTimer>
#include <map>

namespace {

using namespace standins;

class Service {
public:
    void handle(const http::ExchangePointer& exchange)
    {
        const auto& request = exchange->request();
        if (request.target == "/control") {
            this->control(*exchange);
            return;
        }
        if (request.target == "/health") {
            exchange->respond(200, this->headers(*exchange), "{}");
            return;
        }
        if (this->mode == "refuse") {
            auto headers = this->headers(*exchange);
            headers.add("Dragonfly-Execution", "not-run");
            exchange->respond(503, headers, "{\"error\":\"busy\"}");
            return;
        }
        const auto key = std::string(request.headers.valueOr("Idempotency-Key", request.target));
        const auto run = ++this->executions[key];
        const auto number = ++this->total;
        if (this->mode == "close") {
            exchange->abort();
            return;
        }
        const QJsonObject answer { { "key", QString::fromStdString(key) }, { "run", run }, { "number", number } };
        const int status = this->mode == "fail" ? 500 : 200;
        QTimer::singleShot(this->delay,
            [this, exchange, answer, status] { exchange->respond(status, this->headers(*exchange), toJson(answer)); });
    }

private:
    http::Headers headers(const http::Exchange& exchange) const
    {
        http::Headers headers { { "Content-Type", "application/json" }, { "X-Target-Incarnation", this->incarnation } };
        if (const auto id = exchange.request().headers.find("X-Request-Id"))
            headers.add("X-Request-Id", *id);
        if (this->leaving)
            headers.add("X-Target-State", "leaving");
        return headers;
    }

    void control(http::Exchange& exchange)
    {
        const auto order = parseJson(exchange.request().body);
        if (order.contains("mode"))
            this->mode = order["mode"].toString().toStdString();
        if (order.contains("delay_ms"))
            this->delay = std::chrono::milliseconds(order["delay_ms"].toInt());
        if (order.contains("leaving"))
            this->leaving = order["leaving"].toBool();
        QJsonObject list;
        for (const auto& [key, count] : this->executions)
            list[QString::fromStdString(key)] = count;
        respondJson(exchange, 200, { { "executions", list }, { "total", this->total } });
    }

    std::string mode = "normal";
    std::string incarnation = dragonfly::randomId();
    std::chrono::milliseconds delay { 0 };
    bool leaving = false;
    std::map<std::string, int> executions;
    int total = 0;
};

}

int main(int argc, char** argv)
{
    uint16_t port = 0;
    options::options_description description("standin-service");
    description.add_options()("port", options::value(&port)->default_value(0), "0 takes any");
    if (!readFlags(argc, argv, description))
        return 2;
    QCoreApplication application(argc, argv);
    Service service;
    http::ServerLimits limits;
    http::Server server(limits, [&service](const http::ExchangePointer& exchange) { service.handle(exchange); });
    if (!listenAndPrint(server, port))
        return 1;
    return QCoreApplication::exec();
}
