// Stand-in for a target of the users' platform: an engine that streams events, or a plain service.
//
// It registers itself in the metadata store through the store's control interface. POST /control accepts
// {"answer": "good" | "close" | "reset" | "error" | "busy" | "silent" | "foreign" | "unstamped" | "encoded" |
// "oversized" | "close-in-stream"}, {"draining": bool}, {"work_ms": N}, {"load_ms": N}, {"events": N}, {"event_ms": N},
// {"replaced_by": id}, {"limit": text} with the request limit that answers name ("" for none), {"checks_fencing": bool}
// and {"order_delay_ms": N}, with which orders get no answer and are carried out N ms later. {"leaving": text} and
// {"retry_after": text} set the fields of all answers and of refusals with 503 that say that the target leaves or for
// how long it wants no requests ("" for none); the next lifetime begins without them. {"registered": bool} removes or
// writes its record. The answer "broken-after-head" ends its connection after the head. GET /control returns counts,
// the ids and times of all arrivals, the times at which callers left a stream, the received orders and the last
// request.
//
// {"refusal_ms": N} delays the refusals of the answer "busy".
//
// {"room": N} refuses requests beyond N that are under way (0: no bound). {"brittle": text} sets the field of all
// answers that says how many such refusals a second the target bears ("" for none); with one more it ends as below.
//
// {"deadly_part": ID} names a shared part of prompts that ends the target "crash_after_ms" after it begins an answer to
// a request with it; {"deadly_body": TEXT} the body of requests that end it so long after they begin to run, without
// any answer; {"crash": true} ends the target at once. The target then closes every connection, refuses connections for
// "restart_after_ms", and returns at the same address with a new id. Its control interface at the address printed after
// "control" stays; it reports the times of the "crashes" and of the arrivals of requests with the deadly part or body
// ("deadly_arrivals"), in milliseconds since the Unix epoch.

#include "standins/Program.h"

#include <QDateTime>
#include <QJsonArray>
#include <QTimer>
#include <map>
#include <set>

namespace {

using namespace standins;

/// More than an instance buffers of one answer.
constexpr size_t oversizedBytes = 9u << 20;
/// Requests that a target runs at the same time.
constexpr int slots = 8;

struct Settings {
    uint16_t port = 0;
    std::string id;
    std::string store; ///< address of the metadata store
    std::string service;
    std::string dataCentre;
    std::string software; ///< version of the software that the record names; none if empty
    std::string model; ///< name of the served model; empty for a plain service
    bool checksFencing = true; ///< refuses orders with an older fencing token
};

class Target {
public:
    explicit Target(const Settings& settings)
        : settings(settings)
    {
    }

    /// Listens for requests and registers the target; false if it cannot listen.
    bool start()
    {
        if (!listenAndPrint(this->controlServer, 0, "control") || !listenAndPrint(*this->server, this->settings.port))
            return false;
        this->settings.port = this->server->serverPort();
        this->address = "127.0.0.1:" + std::to_string(this->settings.port);
        this->writeRegistration();
        return true;
    }

private:
    using Headers = http::Headers;

    std::unique_ptr<http::Server> makeServer()
    {
        return std::make_unique<http::Server>(
            http::ServerLimits {}, [this](const http::ExchangePointer& exchange) { this->handle(exchange); });
    }

    void handle(const http::ExchangePointer& exchange)
    {
        const auto& request = exchange->request();
        if (request.target == "/control")
            this->control(*exchange);
        else if (request.target == "/api/report")
            this->handleReport(*exchange);
        else if (request.target == "/api/order")
            this->handleOrder(exchange);
        else
            this->serve(exchange);
    }

    /// Ends this lifetime of the target and schedules the next.
    void crash()
    {
        if (!this->server)
            return;
        this->crashes.append(QDateTime::currentMSecsSinceEpoch());
        this->server.reset();
        QTimer::singleShot(this->restartAfterMs, &this->timerContext, [this] { this->restart(); });
    }

    void restart()
    {
        this->sendToStore({ { "remove", QString::fromStdString("servers/" + this->registeredId()) } });
        ++this->lifetime;
        this->leaving.clear();
        this->retryAfter.clear();
        this->turnedAway.clear();
        this->server = this->makeServer();
        if (!listenAndPrint(*this->server, this->settings.port))
            QCoreApplication::exit(1);
        this->writeRegistration();
    }

    /// Whether a shared part of the request's prompt is the deadly one; the last part is not shared.
    bool hasDeadlyPart(const http::Request& request) const
    {
        const auto prompt = std::string(request.headers.valueOr("X-Dragonflyarch-Prompt-Prefix", ""));
        const auto parts = QString::fromStdString(prompt).split(',');
        for (qsizetype i = 0; i + 1 < parts.size(); ++i) {
            if (!this->deadlyPart.isEmpty() && parts[i].section(':', 0, 0) == this->deadlyPart)
                return true;
        }
        return false;
    }

    bool hasDeadlyBody(const http::Request& request) const
    {
        return !this->deadlyBody.empty() && request.body == this->deadlyBody;
    }

    bool isExpected(const http::Request& request) const
    {
        const auto expected = request.headers.valueOr("X-Dragonflyarch-Expect-Instance", this->id());
        return expected == this->id();
    }

    std::string id() const
    {
        return this->replacedBy.empty() ? this->registeredId() : this->replacedBy;
    }

    std::string registeredId() const
    {
        return this->lifetime ? this->settings.id + "-" + std::to_string(this->lifetime) : this->settings.id;
    }

    Headers answerHeaders(const http::Request& request) const
    {
        Headers headers { { "X-Dragonflyarch-Instance-Id", this->id() },
            { "X-Dragonflyarch-Instance-Load", this->loadReport() } };
        const auto requestId = std::string(request.headers.valueOr("X-Dragonflyarch-Attempt-Id", ""));
        headers.add("X-Dragonflyarch-Attempt-Id", this->mode == "foreign" ? "somebody-else" : requestId);
        if (this->mode != "unstamped")
            headers.add("X-Dragonflyarch-Response-Stamp", "stamp-of-" + requestId);
        if (!this->limit.isEmpty())
            headers.add("Server-Limit", this->limit.toStdString());
        if (!this->brittle.isEmpty())
            headers.add("Server-Brittle", this->brittle.toStdString());
        this->addLeaving(headers);
        if (this->mode == "encoded")
            headers.add("Content-Encoding", "gzip");
        if (!this->settings.model.empty())
            headers.add("X-Dragonflyarch-Weight-Versions", std::to_string(this->version));
        return headers;
    }

    /// Requests that run, requests that wait, and slots.
    std::string loadReport() const
    {
        if (!this->room)
            return "1,0,8";
        const auto running = std::min(this->underWay, slots);
        return std::to_string(running) + "," + std::to_string(this->underWay - running) + "," + std::to_string(slots);
    }

    /// Refuses a request for want of room. Ends the target if it has turned more away in a second than it bears.
    void turnAway(http::Exchange& exchange, const Headers& headers)
    {
        this->refuse(exchange, headers, 503);
        const auto now = dragonfly::Clock::now();
        std::erase_if(this->turnedAway, [now](const auto& time) { return now - time >= std::chrono::seconds(1); });
        this->turnedAway.push_back(now);
        ++this->turnedAwayCount;
        if (!this->brittle.isEmpty() && this->turnedAway.size() > this->brittle.toUInt())
            QTimer::singleShot(0, &this->timerContext, [this] { this->crash(); });
    }

    void addLeaving(Headers& headers) const
    {
        if (!this->leaving.isEmpty())
            headers.add("Server-Leaving", this->leaving.toStdString());
    }

    /// The headers of an answer to an order or a query for a report.
    Headers callHeaders(int status) const
    {
        Headers headers;
        this->addLeaving(headers);
        if (status == 503 && !this->retryAfter.isEmpty())
            headers.add("Retry-After", this->retryAfter.toStdString());
        return headers;
    }

    void refuse(http::Exchange& exchange, Headers headers, int status) const
    {
        headers.add("X-Dragonflyarch-Not-Executed", "1");
        if (status == 503 && !this->retryAfter.isEmpty())
            headers.add("Retry-After", this->retryAfter.toStdString());
        exchange.respond(status, headers, "");
    }

    void serve(const http::ExchangePointer& exchange)
    {
        const auto& request = exchange->request();
        const auto requestId = request.headers.valueOr("X-Dragonflyarch-Attempt-Id", "");
        this->arrivals.append(QString::fromStdString(std::string(requestId)));
        this->arrivalTimes.append(QDateTime::currentMSecsSinceEpoch());
        const auto headers = this->answerHeaders(request);
        if (this->hasDeadlyPart(request) || this->hasDeadlyBody(request))
            this->deadlyArrivals.append(QDateTime::currentMSecsSinceEpoch());
        const auto expectedVersion = request.headers.find("X-Dragonflyarch-Expect-Version");
        const bool hasOtherVersion = expectedVersion && *expectedVersion != std::to_string(this->version);
        if (!this->isExpected(request) || hasOtherVersion) {
            this->refuse(*exchange, headers, 421);
            return;
        }
        if (this->mode == "busy" || this->isLoading) {
            QTimer::singleShot(this->refusalMs, &this->timerContext,
                [this, exchange, headers] { this->refuse(*exchange, headers, 503); });
            return;
        }
        if (this->room && this->underWay >= this->room) {
            this->turnAway(*exchange, headers);
            return;
        }
        this->recordRequest(request);
        if (this->hasDeadlyBody(request)) {
            QTimer::singleShot(this->crashAfterMs, &this->timerContext, [this, exchange] { this->crash(); });
        } else if (this->mode == "silent") {
            this->unanswered.push_back(exchange);
            exchange->onCallerGone = [this] { ++this->cancelled; };
        } else if (this->mode == "close" || this->mode == "reset") {
            exchange->abort();
        } else if (this->mode == "broken-after-head") {
            exchange->beginStream(200, headers);
            // The head must be sent before the connection is closed.
            QTimer::singleShot(this->eventMs * 4, &this->timerContext, [exchange] { exchange->abort(); });
        } else if (this->mode == "error") {
            exchange->respond(500, headers, "failed");
        } else if (this->mode == "oversized") {
            exchange->respond(200, headers, std::string(oversizedBytes, 'x'));
        } else {
            ++this->underWay;
            QTimer::singleShot(this->workMs, &this->timerContext, [this, exchange] {
                const auto headers = this->answerHeaders(exchange->request());
                --this->underWay;
                this->answer(exchange, headers);
            });
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
        exchange->onCallerGone = [this] { this->streamCloses.append(QDateTime::currentMSecsSinceEpoch()); };
        if (this->hasDeadlyPart(exchange->request()))
            QTimer::singleShot(this->crashAfterMs, &this->timerContext, [this] { this->crash(); });
        const auto resumed = std::string(exchange->request().headers.valueOr("Last-Event-Id", "0"));
        this->sendEvent(exchange, std::atoi(resumed.c_str()) + 1);
    }

    void sendEvent(const http::ExchangePointer& exchange, int number)
    {
        if (exchange->callerGone()) {
            ++this->cancelled;
            return;
        }
        if (this->mode == "close-in-stream" && number == this->events / 2) {
            exchange->write("id: " + std::to_string(number) + "\nda");
            // The written bytes must be sent before the connection is closed.
            QTimer::singleShot(this->eventMs * 4, &this->timerContext, [exchange] { exchange->abort(); });
            return;
        }
        if (number > this->events) {
            exchange->finish();
            return;
        }
        const auto text = std::to_string(number);
        const auto software = this->settings.software.empty() ? "" : " of " + this->settings.software;
        exchange->write("id: " + text + "\ndata: token " + text + software + "\n\n");
        QTimer::singleShot(
            this->eventMs, &this->timerContext, [this, exchange, number] { this->sendEvent(exchange, number + 1); });
    }

    void recordRequest(const http::Request& request)
    {
        const auto requestId = request.headers.valueOr("X-Dragonflyarch-Attempt-Id", "");
        ++this->executions;
        if (this->isDraining)
            ++this->executionsWhileDraining;
        this->ids.insert(std::string(requestId));
        QJsonObject headers;
        for (const auto& field : request.headers)
            headers[QString::fromStdString(std::string(field.name))] = QString::fromStdString(std::string(field.value));
        this->lastRequest = { { "method", QString::fromStdString(request.method) },
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

    void handleReport(http::Exchange& exchange)
    {
        ++this->reports;
        if (this->mode == "busy" && !this->retryAfter.isEmpty()) {
            exchange.respond(503, this->callHeaders(503), "");
            return;
        }
        auto headers = this->callHeaders(200);
        headers.add("Content-Type", "application/json");
        exchange.respond(200, headers,
            toJson({ { "models", this->models() }, { "busy", this->isLoading },
                { "seq", static_cast<qint64>(this->acceptedOrders) } }));
    }

    void handleOrder(const http::ExchangePointer& exchange)
    {
        if (!this->orderDelayMs) {
            this->carryOutOrder(exchange);
            return;
        }
        QTimer::singleShot(
            this->orderDelayMs, &this->timerContext, [this, exchange] { this->carryOutOrder(exchange); });
    }

    void carryOutOrder(const http::ExchangePointer& pointer)
    {
        auto& exchange = *pointer;
        const auto body = parseJson(exchange.request().body);
        const auto fencingToken = body["fencing_token"].toInteger();
        this->orders.append(QJsonObject { { "holder", body["holder"] }, { "fencing_token", body["fencing_token"] },
            { "version", body["version"] }, { "at_ms", QDateTime::currentMSecsSinceEpoch() } });
        if (this->settings.checksFencing && fencingToken < this->highestFencingToken) {
            exchange.respond(412, this->callHeaders(412), "");
            return;
        }
        this->highestFencingToken = std::max<int64_t>(this->highestFencingToken, fencingToken);
        if (this->isLoading || body["expected"].toInteger() != this->acceptedOrders) {
            exchange.respond(409, this->callHeaders(409), "");
            return;
        }
        ++this->acceptedOrders;
        this->isLoading = true;
        const auto version = body["version"].toInteger();
        QTimer::singleShot(this->loadMs, &this->timerContext, [this, version] {
            this->isLoading = false;
            this->version = version;
            this->writeRegistration();
        });
        exchange.respond(202, this->callHeaders(202), "");
    }

    void control(http::Exchange& exchange)
    {
        const auto body = parseJson(exchange.request().body);
        if (body.contains("answer"))
            this->mode = body["answer"].toString().toStdString();
        if (body.contains("replaced_by"))
            this->replacedBy = body["replaced_by"].toString().toStdString();
        this->settings.checksFencing = body["checks_fencing"].toBool(this->settings.checksFencing);
        this->workMs = body["work_ms"].toInt(this->workMs);
        this->refusalMs = body["refusal_ms"].toInt(this->refusalMs);
        this->events = body["events"].toInt(this->events);
        this->eventMs = body["event_ms"].toInt(this->eventMs);
        this->loadMs = body["load_ms"].toInt(this->loadMs);
        this->orderDelayMs = body["order_delay_ms"].toInt(this->orderDelayMs);
        if (body.contains("limit"))
            this->limit = body["limit"].toString();
        if (body.contains("brittle"))
            this->brittle = body["brittle"].toString();
        this->room = body["room"].toInt(this->room);
        if (body.contains("leaving"))
            this->leaving = body["leaving"].toString();
        if (body.contains("retry_after"))
            this->retryAfter = body["retry_after"].toString();
        if (body.contains("registered") && body["registered"].toBool())
            this->writeRegistration();
        else if (body.contains("registered"))
            this->sendToStore({ { "remove", QString::fromStdString("servers/" + this->registeredId()) } });
        if (body.contains("deadly_part"))
            this->deadlyPart = body["deadly_part"].toString();
        if (body.contains("deadly_body"))
            this->deadlyBody = body["deadly_body"].toString().toStdString();
        this->crashAfterMs = body["crash_after_ms"].toInt(this->crashAfterMs);
        this->restartAfterMs = body["restart_after_ms"].toInt(this->restartAfterMs);
        if (body["crash"].toBool())
            QTimer::singleShot(0, &this->timerContext, [this] { this->crash(); });
        if (body.contains("draining")) {
            this->isDraining = body["draining"].toBool();
            this->writeRegistration();
        }
        QJsonArray seen;
        for (const auto& requestId : this->ids)
            seen.append(QString::fromStdString(requestId));
        respondJson(exchange, 200,
            { { "arrivals", this->arrivals }, { "arrival_times", this->arrivalTimes }, { "runs", this->executions },
                { "distinct", static_cast<int>(this->ids.size()) }, { "ids", seen },
                { "while_draining", this->executionsWhileDraining }, { "cancelled", this->cancelled },
                { "version", static_cast<qint64>(this->version) }, { "orders", this->orders },
                { "reports", this->reports }, { "last", this->lastRequest }, { "stream_closes", this->streamCloses },
                { "turned_away", this->turnedAwayCount }, { "crashes", this->crashes },
                { "deadly_arrivals", this->deadlyArrivals } });
    }

    void writeRegistration()
    {
        QJsonObject record { { "service", QString::fromStdString(this->settings.service) },
            { "address", QString::fromStdString(this->address) },
            { "zone", QString::fromStdString(this->settings.dataCentre) }, { "slots", slots },
            { "state", this->isDraining ? "draining" : "ready" }, { "models", this->models() },
            { "born", 1000 + this->lifetime }, { "seq", ++this->registrations } };
        if (!this->settings.software.empty())
            record["version"] = QString::fromStdString(this->settings.software);
        this->sendToStore({ { "put",
            QJsonObject { { "key", QString::fromStdString("servers/" + this->registeredId()) },
                { "value", QString::fromStdString(toJson(record)) } } } });
    }

    void sendToStore(const QJsonObject& order)
    {
        const auto deadline = dragonfly::Clock::now() + std::chrono::seconds(2);
        this->pool.send(*dragonfly::parseEndpoint(this->settings.store), { "POST", "/control", {}, toJson(order) },
            { deadline, deadline }, {});
    }

    Settings settings;
    http::ClientPool pool;
    QObject timerContext; ///< context of the timers
    std::string address;
    std::string mode = "good";
    std::string replacedBy;
    bool isDraining = false;
    bool isLoading = false;
    int64_t version = 1;
    int64_t acceptedOrders = 0;
    int64_t highestFencingToken = 0;
    int workMs = 5; ///< delay before the answer
    int refusalMs = 0;
    int events = 6; ///< events of each stream
    int eventMs = 5; ///< interval between two events
    int loadMs = 150; ///< time to load ordered weights
    int orderDelayMs = 0; ///< orders get no answer in time and are carried out after this
    int executions = 0;
    int executionsWhileDraining = 0;
    int cancelled = 0;
    QJsonArray arrivals; ///< request ids in the order of arrival, including those of refused requests
    QJsonArray arrivalTimes; ///< of the same, in milliseconds since the Unix epoch
    std::set<std::string> ids;
    std::vector<http::ExchangePointer> unanswered; ///< requests received in mode "silent", kept open
    QJsonArray orders;
    QJsonObject lastRequest;
    int registrations = 0; ///< records written
    int lifetime = 0; ///< number of crashes that the target has returned from
    QString limit; ///< request limit that answers name; empty: none
    QString brittle; ///< refusals a second that answers say the target bears; empty: nothing
    int room = 0; ///< requests under way beyond which more are refused; 0: no bound
    int underWay = 0; ///< requests that have begun to run and are not answered
    std::vector<dragonfly::Clock::time_point> turnedAway; ///< for want of room, in the last second
    int turnedAwayCount = 0;
    QString leaving; ///< what all answers say about leaving; empty: nothing
    QString retryAfter; ///< the time that refusals with 503 ask for; empty: none
    int reports = 0; ///< queries for a report
    QString deadlyPart; ///< empty: no part ends the target
    std::string deadlyBody; ///< empty: no body ends the target
    int crashAfterMs = 60;
    int restartAfterMs = 1500;
    QJsonArray streamCloses; ///< when callers disconnected before the end of a stream, as arrivalTimes
    QJsonArray crashes;
    QJsonArray deadlyArrivals;
    http::Server controlServer { {}, [this](const http::ExchangePointer& exchange) { this->control(*exchange); } };
    std::unique_ptr<http::Server> server = this->makeServer(); ///< null between a crash and the next lifetime
};

}

int main(int argc, char** argv)
{
    Settings settings;
    options::options_description description("standin-target");
    description.add_options()("port", options::value(&settings.port), "port to listen on; a free port by default")(
        "id", options::value(&settings.id)->required(), "identifier of the target")(
        "store", options::value(&settings.store)->required(), "address of the metadata store")(
        "service", options::value(&settings.service)->required(), "service that the target belongs to")(
        "data-centre", options::value(&settings.dataCentre)->required(), "data centre of the target")(
        "software", options::value(&settings.software), "version of the software, which events name; none if omitted")(
        "model", options::value(&settings.model), "served model; a plain service if omitted");
    if (!parseOptions(argc, argv, description))
        return 2;
    const QCoreApplication application(argc, argv);
    Target target(settings);
    if (!target.start())
        return 1;
    return QCoreApplication::exec();
}
