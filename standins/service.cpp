// Stand-in for a plain service: counts executions by idempotency key.
//
// POST /control accepts {"mode": "normal" | "close" | "refuse" | "fail", "delay_ms": N, "leaving": bool};
// "close" executes the call and closes the connection without an answer. GET /control returns the execution counts.

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
        const auto executionsOfKey = ++this->executions[key];
        const auto number = ++this->total;
        if (this->mode == "close") {
            exchange->abort();
            return;
        }
        const QJsonObject answer { { "key", QString::fromStdString(key) }, { "run", executionsOfKey },
            { "number", number } };
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
        const auto command = parseJson(exchange.request().body);
        if (command.contains("mode"))
            this->mode = command["mode"].toString().toStdString();
        if (command.contains("delay_ms"))
            this->delay = std::chrono::milliseconds(command["delay_ms"].toInt());
        if (command.contains("leaving"))
            this->leaving = command["leaving"].toBool();
        QJsonObject countsByKey;
        for (const auto& [key, count] : this->executions)
            countsByKey[QString::fromStdString(key)] = count;
        respondJson(exchange, 200, { { "executions", countsByKey }, { "total", this->total } });
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
    description.add_options()(
        "port", options::value(&port)->default_value(0), "port to listen on; 0 selects a free port");
    if (!parseOptions(argc, argv, description))
        return 2;
    QCoreApplication application(argc, argv);
    Service service;
    http::ServerLimits limits;
    http::Server server(limits, [&service](const http::ExchangePointer& exchange) { service.handle(exchange); });
    if (!listenAndPrint(server, port))
        return 1;
    return QCoreApplication::exec();
}
