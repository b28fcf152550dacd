// Stand-in for the platform's key-value service: the JSON gateway's /v3 calls, with faults on order.
//
// POST /control takes {"mode": "up" | "down" | "slow" | "lose-answers", "delay_ms": N}, {"save": true},
// {"restore": true} and {"put": {"key": ..., "value": ...}}. GET /control counts the calls.

#include "standins/KeyValueTable.h"
#include "standins/Program.h"

#include <QJsonArray>
#include <QTimer>

namespace {

using namespace standins;
using dragonfly::Clock;

enum class Mode {
    Up,
    Down, ///< closes every connection that sends a call
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

/// Calls a second that the service takes; each second starts anew.
struct RateLimit {
    uint64_t perSecond = 0; ///< 0: no limit
    uint64_t taken = 0;
    Clock::time_point secondEnds;

    bool take(Clock::time_point now)
    {
        if (now >= this->secondEnds) {
            this->secondEnds = now + std::chrono::seconds(1);
            this->taken = 0;
        }
        ++this->taken;
        return !this->perSecond || this->taken <= this->perSecond;
    }
};

class Platform {
public:
    Platform(uint64_t writesPerSecond, uint64_t readsPerSecond)
    {
        this->writes.perSecond = writesPerSecond;
        this->reads.perSecond = readsPerSecond;
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
        this->table.endLeases(Clock::now());
        const auto answer = this->call(request.target, parseJson(request.body));
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

    std::optional<QJsonObject> call(const std::string& target, const QJsonObject& body)
    {
        const auto now = Clock::now();
        if (target == "/v3/kv/txn")
            return this->transact(body, now);
        ++this->writeCalls;
        if (!this->writes.take(now))
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
            const std::chrono::seconds life(numberOf(body["TTL"]));
            this->table.leases[++this->table.lastLease] = { life, now + life };
            return QJsonObject { { "ID", QString::number(this->table.lastLease) }, { "TTL", body["TTL"] } };
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
        found->second.deadline = now + found->second.life;
        return { { "result",
            QJsonObject { { "ID", QString::number(id) }, { "TTL", QString::number(found->second.life.count()) } } } };
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
        if (!(isWrite ? this->writes : this->reads).take(now))
            return std::nullopt;
        bool succeeded = true;
        for (const auto& item : compares) {
            const auto compare = item.toObject();
            succeeded &= this->table.modRevisionOf(decode(compare["key"])) == numberOf(compare["mod_revision"]);
        }
        QJsonArray responses;
        for (const auto& operation : body[succeeded ? "success" : "failure"].toArray())
            responses.append(this->operate(operation.toObject()));
        auto answer = this->header();
        if (succeeded)
            answer["succeeded"] = true;
        answer["responses"] = responses;
        return answer;
    }

    QJsonObject operate(const QJsonObject& operation)
    {
        if (operation.contains("request_put")) {
            const auto put = operation["request_put"].toObject();
            this->table.put(decode(put["key"]), decode(put["value"]), numberOf(put["lease"]));
            return { { "response_put", QJsonObject() } };
        }
        const auto range = operation["request_range"].toObject();
        const auto first = decode(range["key"]);
        const auto end = range.contains("range_end") ? decode(range["range_end"]) : first + '\0';
        const auto least = numberOf(range["min_mod_revision"]);
        QJsonArray pairs;
        for (auto found = this->table.values.lower_bound(first);
             found != this->table.values.end() && found->first < end; ++found) {
            if (found->second.modRevision < least)
                continue;
            pairs.append(QJsonObject { { "key", encode(found->first) }, { "value", encode(found->second.value) },
                { "mod_revision", QString::number(found->second.modRevision) } });
        }
        return { { "response_range", QJsonObject { { "kvs", pairs } } } };
    }

    void control(http::Exchange& exchange)
    {
        const auto order = parseJson(exchange.request().body);
        const auto mode = order["mode"].toString();
        if (mode == "up")
            this->mode = Mode::Up;
        else if (mode == "down")
            this->mode = Mode::Down;
        else if (mode == "slow")
            this->mode = Mode::Slow;
        else if (mode == "lose-answers")
            this->mode = Mode::LoseAnswers;
        this->delay = std::chrono::milliseconds(order["delay_ms"].toInt());
        if (order["save"].toBool())
            this->saved = this->table.values;
        if (order["restore"].toBool())
            this->table.values = this->saved;
        if (order.contains("put")) {
            const auto put = order["put"].toObject();
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
    description.add_options()("port", options::value(&port)->default_value(0), "0 takes any")("writes-per-second",
        options::value(&writes)->default_value(500),
        "0 is no limit")("reads-per-second", options::value(&reads)->default_value(2000), "0 is no limit");
    if (!readFlags(argc, argv, description))
        return 2;
    QCoreApplication application(argc, argv);
    Platform platform(writes, reads);
    http::ServerLimits limits;
    http::Server server(limits, [&platform](const http::ExchangePointer& exchange) { platform.handle(exchange); });
    if (!listenAndPrint(server, port))
        return 1;
    return QCoreApplication::exec();
}
