// Stand-in for the platform's key-value service: serves the /v3 calls of its JSON gateway and injects faults.
//
// POST /control accepts {"mode": "up" | "down" | "slow" | "lose-answers", "delay_ms": N}, {"save": true},
// {"restore": true} and {"put": {"key": ..., "value": ...}}. GET /control returns call counts.

#include "standins/KeyValueTable.h"
#include "standins/Program.h"

#include <QJsonArray>
#include <QTimer>

namespace {

using namespace standins;
using dragonfly::Clock;

enum class Mode {
    Up,
    Down, ///< closes the connection on every call
    Slow, ///< answers after a delay
    LoseAnswers, ///< calls take effect, then the connection closes without an answer
};

std::string decode(const QJsonValue& value)
{
    return QByteArray::fromBase64(value.toString().toLatin1()).toStdString();
}

QString encode(const std::string& bytes)
{
    return QString::fromLatin1(QByteArray::fromStdString(bytes).toBase64());
}

int64_t numberOf(const QJsonValue& value)
{
    return value.isString() ? value.toString().toLongLong() : value.toInteger();
}

/// Limits calls per second, in fixed windows of one second.
struct RateLimit {
    uint64_t maxPerSecond = 0; ///< 0: no limit
    uint64_t callsInWindow = 0;
    Clock::time_point windowEnd;

    /// Counts a call; returns false if it exceeds the limit.
    bool tryAcquire(Clock::time_point now)
    {
        if (now >= this->windowEnd) {
            this->windowEnd = now + std::chrono::seconds(1);
            this->callsInWindow = 0;
        }
        ++this->callsInWindow;
        return !this->maxPerSecond || this->callsInWindow <= this->maxPerSecond;
    }
};

class Platform {
public:
    Platform(uint64_t writesPerSecond, uint64_t readsPerSecond)
    {
        this->writes.maxPerSecond = writesPerSecond;
        this->reads.maxPerSecond = readsPerSecond;
    }

    void handle(const http::ExchangePointer& exchange)
    {
        const auto& request = exchange->request();
        if (request.target == "/control") {
            this->control(*exchange);
            return;
        }
        if (this->mode == Mode::Down) {
            exchange->abort();
            return;
        }
        this->table.expireLeases(Clock::now());
        const auto answer = this->dispatch(request.target, parseJson(request.body));
        if (this->mode == Mode::LoseAnswers) {
            exchange->abort();
            return;
        }
        if (this->mode == Mode::Slow) {
            QTimer::singleShot(this->delay, [exchange, answer] { reply(*exchange, answer); });
            return;
        }
        reply(*exchange, answer);
    }

private:
    static void reply(http::Exchange& exchange, const std::optional<QJsonObject>& answer)
    {
        if (answer)
            respondJson(exchange, 200, *answer);
        else
            respondJson(exchange, 429, { { "error", "rate limit" } });
    }

    /// Returns nullopt if the call exceeds its rate limit.
    std::optional<QJsonObject> dispatch(const std::string& target, const QJsonObject& body)
    {
        const auto now = Clock::now();
        if (target == "/v3/kv/txn")
            return this->transact(body, now);
        ++this->writeCalls;
        if (!this->writes.tryAcquire(now))
            return std::nullopt;
        if (target == "/v3/kv/put") {
            this->table.put(decode(body["key"]), decode(body["value"]), numberOf(body["lease"]));
            return this->header();
        }
        if (target == "/v3/kv/deleterange") {
            this->table.values.erase(decode(body["key"]));
            return this->header();
        }
        if (target == "/v3/lease/grant") {
            const std::chrono::seconds timeToLive(numberOf(body["TTL"]));
            this->table.leases[++this->table.lastLeaseId] = { timeToLive, now + timeToLive };
            return QJsonObject { { "ID", QString::number(this->table.lastLeaseId) }, { "TTL", body["TTL"] } };
        }
        if (target == "/v3/lease/keepalive")
            return this->keepAlive(numberOf(body["ID"]), now);
        return QJsonObject { { "error", "no such call" } };
    }

    QJsonObject keepAlive(int64_t id, Clock::time_point now)
    {
        const auto found = this->table.leases.find(id);
        if (found == this->table.leases.end())
            return { { "result", QJsonObject { { "ID", QString::number(id) } } } };
        found->second.deadline = now + found->second.timeToLive;
        return { { "result",
            QJsonObject {
                { "ID", QString::number(id) }, { "TTL", QString::number(found->second.timeToLive.count()) } } } };
    }

    QJsonObject header() const
    {
        return { { "header", QJsonObject { { "revision", QString::number(this->table.revision) } } } };
    }

    std::optional<QJsonObject> transact(const QJsonObject& body, Clock::time_point now)
    {
        const auto compares = body["compare"].toArray();
        const bool isWrite = !compares.isEmpty();
        ++(isWrite ? this->writeCalls : this->readCalls);
        if (!(isWrite ? this->writes : this->reads).tryAcquire(now))
            return std::nullopt;
        bool succeeded = true;
        for (const auto& item : compares) {
            const auto compare = item.toObject();
            succeeded &= this->table.modRevisionOf(decode(compare["key"])) == numberOf(compare["mod_revision"]);
        }
        QJsonArray responses;
        for (const auto& operation : body[succeeded ? "success" : "failure"].toArray())
            responses.append(this->applyOperation(operation.toObject()));
        auto answer = this->header();
        if (succeeded)
            answer["succeeded"] = true;
        answer["responses"] = responses;
        return answer;
    }

    QJsonObject applyOperation(const QJsonObject& operation)
    {
        if (operation.contains("request_put")) {
            const auto put = operation["request_put"].toObject();
            this->table.put(decode(put["key"]), decode(put["value"]), numberOf(put["lease"]));
            return { { "response_put", QJsonObject() } };
        }
        const auto range = operation["request_range"].toObject();
        const auto rangeStart = decode(range["key"]);
        const auto rangeEnd = range.contains("range_end") ? decode(range["range_end"]) : rangeStart + '\0';
        const auto minRevision = numberOf(range["min_mod_revision"]);
        QJsonArray pairs;
        for (auto found = this->table.values.lower_bound(rangeStart);
             found != this->table.values.end() && found->first < rangeEnd; ++found) {
            if (found->second.modRevision < minRevision)
                continue;
            pairs.append(QJsonObject { { "key", encode(found->first) }, { "value", encode(found->second.value) },
                { "mod_revision", QString::number(found->second.modRevision) } });
        }
        return { { "response_range", QJsonObject { { "kvs", pairs } } } };
    }

    void control(http::Exchange& exchange)
    {
        const auto command = parseJson(exchange.request().body);
        const auto mode = command["mode"].toString();
        if (mode == "up")
            this->mode = Mode::Up;
        else if (mode == "down")
            this->mode = Mode::Down;
        else if (mode == "slow")
            this->mode = Mode::Slow;
        else if (mode == "lose-answers")
            this->mode = Mode::LoseAnswers;
        this->delay = std::chrono::milliseconds(command["delay_ms"].toInt());
        if (command["save"].toBool())
            this->saved = this->table.values;
        if (command["restore"].toBool())
            this->table.values = this->saved;
        if (command.contains("put")) {
            const auto put = command["put"].toObject();
            this->table.put(put["key"].toString().toStdString(), put["value"].toString().toStdString(), 0);
        }
        respondJson(exchange, 200,
            { { "reads", static_cast<qint64>(this->readCalls) }, { "writes", static_cast<qint64>(this->writeCalls) },
                { "keys", static_cast<qint64>(this->table.values.size()) } });
    }

    KeyValueTable table;
    std::map<std::string, StoredValue> saved;
    RateLimit writes;
    RateLimit reads;
    Mode mode = Mode::Up;
    std::chrono::milliseconds delay { 0 };
    uint64_t readCalls = 0;
    uint64_t writeCalls = 0;
};

}

int main(int argc, char** argv)
{
    uint16_t port = 0;
    uint64_t writes = 0;
    uint64_t reads = 0;
    options::options_description description("standin-platform");
    description.add_options()(
        "port", options::value(&port)->default_value(0), "port to listen on; 0 selects a free port")(
        "writes-per-second", options::value(&writes)->default_value(500), "maximum rate of writes; 0 for no limit")(
        "reads-per-second", options::value(&reads)->default_value(2000), "maximum rate of reads; 0 for no limit");
    if (!parseOptions(argc, argv, description))
        return 2;
    QCoreApplication application(argc, argv);
    Platform platform(writes, reads);
    http::ServerLimits limits;
    http::Server server(limits, [&platform](const http::ExchangePointer& exchange) { platform.handle(exchange); });
    if (!listenAndPrint(server, port))
        return 1;
    return QCoreApplication::exec();
}
