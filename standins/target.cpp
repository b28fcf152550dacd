// Stand-in for a target of the users' platform: an engine that streams events, or a plain service.
//
// It writes its registration into the metadata store by its control call. POST /control takes
// {"answer": "good" | "close" | "reset" | "error" | "busy" | "silent" | "foreign" | "unstamped" | "short" |
// "close-in-stream"}, {"draining": bool}, {"version": N}, {"fence": bool}, {"work_ms": N}, {"load_ms": N}, {"events":
// N} and
// {"replaced_by": id}. GET /control gives counts, the orders and what was seen of each request.

#include "standins/Program.h"

#include <QJsonArray>
#include <QTimer>
#include <map>
#include <set>

namespace {

using namespace standins;

struct Settings {
    uint16_t port = 0;
    std::string id;
    std::string store; ///< address of the metadata store
    std::string service;
    std::string dataCentre;
    std::string model; ///< empty for a plain service
    bool checksFences = true;
};

class Target {
public:
    explicit Target(const Settings& settings)
        : settings(settings)
    {
    }

    void start(uint16_t port)
    {
        this->address = "127.0.0.1:" + std::to_string(port);
        this->writeRegistration();
    }

    void handle(const http::ExchangePointer& exchange)
    {
        const auto& request = exchange->request();
        if (request.target == "/control")
            this->control(*exchange);
        else if (request.target == "/api/report")
            this->report(*exchange);
        else if (request.target == "/api/order")
            this->order(*exchange);
        else
            this->serve(exchange);
    }

private:
    using Headers = http::Headers;

    bool isExpected(const http::Request& request) const
    {
        const auto expected = request.headers.valueOr("X-Dragonflyarch-Expect-Instance", this->id());
        return expected == this->id();
    }

    const std::string& id() const
    {
        return this->replacedBy.empty() ? this->settings.id : this->replacedBy;
    }

    Headers answerHeaders(const http::Request& request) const
    {
        Headers headers { { "X-Dragonflyarch-Instance-Id", this->id() }, { "X-Dragonflyarch-Instance-Load", "1,0,8" } };
        const auto requestId = std::string(request.headers.valueOr("X-Dragonflyarch-Attempt-Id", ""));
        headers.add("X-Dragonflyarch-Attempt-Id", this->mode == "foreign" ? "somebody-else" : requestId);
        if (this->mode != "unstamped")
            headers.add("X-Dragonflyarch-Response-Stamp", "stamp-of-" + requestId);
        if (!this->settings.model.empty())
            headers.add("X-Dragonflyarch-Weight-Versions", std::to_string(this->version));
        return headers;
    }

    static void refuse(http::Exchange& exchange, Headers headers, int status)
    {
        headers.add("X-Dragonflyarch-Not-Executed", "1");
        exchange.respond(status, headers, "");
    }

    void serve(const http::ExchangePointer& exchange)
    {
        const auto& request = exchange->request();
        const auto headers = this->answerHeaders(request);
        const auto wanted = request.headers.find("X-Dragonflyarch-Expect-Version");
        const bool isOther = wanted && *wanted != std::to_string(this->version);
        if (!this->isExpected(request) || isOther) {
            refuse(*exchange, headers, 421);
            return;
        }
        if (this->mode == "busy" || this->isLoading) {
            refuse(*exchange, headers, 503);
            return;
        }
        this->note(request);
        if (this->mode == "silent") {
            this->held.push_back(exchange);
            exchange->onCallerGone = [this] { ++this->cancelled; };
        } else if (this->mode == "close" || this->mode == "reset") {
            exchange->abort();
        } else if (this->mode == "error") {
            exchange->respond(500, headers, "failed");
        } else {
            QTimer::singleShot(
                this->workMs, &this->loop, [this, exchange, headers] { this->answer(exchange, headers); });
        }
    }

    void answer(const http::ExchangePointer& exchange, const Headers& headers)
    {
        if (exchange->callerGone()) {
            ++this->cancelled;
            return;
        }
        if (this->settings.model.empty()) {
            exchange->respond(200, headers, "done by " + this->settings.id);
            return;
        }
        exchange->beginStream(200, headers);
        const auto resumed = std::string(exchange->request().headers.valueOr("Last-Event-Id", "0"));
        this->nextEvent(exchange, std::atoi(resumed.c_str()) + 1);
    }

    void nextEvent(const http::ExchangePointer& exchange, int number)
    {
        if (exchange->callerGone()) {
            ++this->cancelled;
            return;
        }
        if (this->mode == "close-in-stream" && number == this->events / 2) {
            exchange->write("id: " + std::to_string(number) + "\nda");
            // What was written has to leave before the connection goes.
            QTimer::singleShot(this->eventMs * 4, &this->loop, [exchange] { exchange->abort(); });
            return;
        }
        if (number > this->events) {
            exchange->finish();
            return;
        }
        const auto text = std::to_string(number);
        exchange->write("id: " + text + "\ndata: token " + text + "\n\n");
        QTimer::singleShot(
            this->eventMs, &this->loop, [this, exchange, number] { this->nextEvent(exchange, number + 1); });
    }

    void note(const http::Request& request)
    {
        const auto requestId = request.headers.valueOr("X-Dragonflyarch-Attempt-Id", "");
        ++this->runs;
        if (this->isDraining)
            ++this->runsWhileDraining;
        this->ids.insert(std::string(requestId));
        QJsonObject headers;
        for (const auto& field : request.headers)
            headers[QString::fromStdString(field.name)] = QString::fromStdString(field.value);
        this->last = { { "method", QString::fromStdString(request.method) },
            { "target", QString::fromStdString(request.target) }, { "body", QString::fromStdString(request.body) },
            { "headers", headers } };
    }

    QJsonArray models() const
    {
        if (this->settings.model.empty())
            return {};
        return { QJsonObject { { "name", QString::fromStdString(this->settings.model) },
            { "version", static_cast<qint64>(this->version) } } };
    }

    void report(http::Exchange& exchange)
    {
        respondJson(exchange, 200,
            { { "models", this->models() }, { "busy", this->isLoading },
                { "seq", static_cast<qint64>(this->acceptedOrders) } });
    }

    void order(http::Exchange& exchange)
    {
        const auto body = parseJson(exchange.request().body);
        const auto fence = body["fencing_token"].toInteger();
        this->orders.append(QJsonObject {
            { "holder", body["holder"] }, { "fencing_token", body["fencing_token"] }, { "version", body["version"] } });
        if (this->settings.checksFences && fence < this->highestFence) {
            exchange.respond(412, {}, "");
            return;
        }
        this->highestFence = std::max<int64_t>(this->highestFence, fence);
        if (this->isLoading || body["expected"].toInteger() != this->acceptedOrders) {
            exchange.respond(409, {}, "");
            return;
        }
        ++this->acceptedOrders;
        this->isLoading = true;
        const auto version = body["version"].toInteger();
        QTimer::singleShot(this->loadMs, &this->loop, [this, version] {
            this->isLoading = false;
            this->version = version;
            this->writeRegistration();
        });
        exchange.respond(202, {}, "");
    }

    void control(http::Exchange& exchange)
    {
        const auto body = parseJson(exchange.request().body);
        if (body.contains("answer"))
            this->mode = body["answer"].toString().toStdString();
        if (body.contains("replaced_by"))
            this->replacedBy = body["replaced_by"].toString().toStdString();
        this->workMs = body["work_ms"].toInt(this->workMs);
        this->events = body["events"].toInt(this->events);
        this->eventMs = body["event_ms"].toInt(this->eventMs);
        this->loadMs = body["load_ms"].toInt(this->loadMs);
        if (body.contains("draining")) {
            this->isDraining = body["draining"].toBool();
            this->writeRegistration();
        }
        QJsonArray seen;
        for (const auto& requestId : this->ids)
            seen.append(QString::fromStdString(requestId));
        respondJson(exchange, 200,
            { { "runs", this->runs }, { "distinct", static_cast<int>(this->ids.size()) }, { "ids", seen },
                { "while_draining", this->runsWhileDraining }, { "cancelled", this->cancelled },
                { "version", static_cast<qint64>(this->version) }, { "orders", this->orders },
                { "last", this->last } });
    }

    void writeRegistration()
    {
        const QJsonObject record { { "service", QString::fromStdString(this->settings.service) },
            { "address", QString::fromStdString(this->address) },
            { "zone", QString::fromStdString(this->settings.dataCentre) }, { "slots", 8 },
            { "state", this->isDraining ? "draining" : "ready" }, { "models", this->models() }, { "born", 1000 },
            { "seq", 1 } };
        const QJsonObject put { { "key", QString::fromStdString("servers/" + this->settings.id) },
            { "value", QString::fromStdString(toJson(record)) } };
        const auto deadline = dragonfly::Clock::now() + std::chrono::seconds(2);
        this->pool.send(*dragonfly::parseEndpoint(this->settings.store),
            { "POST", "/control", {}, toJson({ { "put", put } }) }, { deadline, deadline }, {});
    }

    Settings settings;
    http::ClientPool pool;
    QObject loop;
    std::string address;
    std::string mode = "good";
    std::string replacedBy;
    bool isDraining = false;
    bool isLoading = false;
    int64_t version = 1;
    int64_t acceptedOrders = 0;
    int64_t highestFence = 0;
    int workMs = 5;
    int events = 6;
    int eventMs = 5;
    int loadMs = 150;
    int runs = 0;
    int runsWhileDraining = 0;
    int cancelled = 0;
    std::set<std::string> ids;
    std::vector<http::ExchangePointer> held;
    QJsonArray orders;
    QJsonObject last;
};

}

int main(int argc, char** argv)
{
    Settings settings;
    options::options_description description("standin-target");
    description.add_options()("port", options::value(&settings.port), "port to listen on; any when left out")(
        "id", options::value(&settings.id)->required(), "name in the list of targets")(
        "store", options::value(&settings.store)->required(), "address of the metadata store")(
        "service", options::value(&settings.service)->required(), "service that it belongs to")(
        "data-centre", options::value(&settings.dataCentre)->required(), "where it stands")(
        "model", options::value(&settings.model), "model that it runs; a plain service when left out");
    if (!readFlags(argc, argv, description))
        return 2;
    const QCoreApplication application(argc, argv);
    Target target(settings);
    http::Server server({}, [&target](const http::ExchangePointer& exchange) { target.handle(exchange); });
    if (!listenAndPrint(server, settings.port))
        return 1;
    target.start(server.serverPort());
    return QCoreApplication::exec();
}
