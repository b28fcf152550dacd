// Stand-in for the users' metadata store: serves /api/kv-* calls with revisions, leases and watches.
//
// POST /control accepts {"mode": "up" | "busy" | "silent" | "lose-answers"}, {"compact": true},
// {"put": {"key", "value"}} and {"remove": key}; operators and targets write through put and remove. {"save": true}
// copies everything; {"restore": true} returns to that copy, with its revisions and leases, and {"as_if_lost": [key,
// ...]} then removes keys from it. All answers name the number of returns in "Store-Era". GET /control returns
// {"calls": N, "role": value of the leader lease's key}.
//
// Oddities: {"put": {"key", "bytes"}} writes bytes in base64; {"fill": {"prefix", "count", "value"}} writes as many
// keys, or removes them if the count is negative; {"odd_items": [...]} adds these items to each page; {"odd_key":
// base64} adds an item whose key has these bytes, as they are, to each page.

#include "standins/KeyValueTable.h"
#include "standins/Program.h"

#include <QJsonArray>
#include <QTimer>
#include <QUrlQuery>
#include <deque>

namespace {

using namespace standins;
using dragonfly::Clock;
using std::chrono::milliseconds;

/// Limits of a page, as the users' pages state them.
constexpr qsizetype maxPageItems = 500;
constexpr size_t maxPageBytes = 1000000;

enum class Mode {
    Up,
    Busy, ///< refuses every call with status 503
    Silent, ///< accepts calls and never answers
    LoseAnswers, ///< calls take effect, then the connection closes without an answer
};

struct Answer {
    int status = 200;
    QJsonObject body;
};

struct Event {
    std::string key;
    int64_t revision;
    std::optional<std::string> value; ///< nullopt if the key was removed
};

QString encode(const std::string& bytes)
{
    return QString::fromLatin1(QByteArray::fromStdString(bytes).toBase64());
}

class MetadataStore {
public:
    MetadataStore()
    {
        QObject::connect(&this->leaseTimer, &QTimer::timeout, [this] { this->expireLeases(); });
        this->leaseTimer.start(20);
    }

    void handle(const http::ExchangePointer& exchange)
    {
        const auto& request = exchange->request();
        const QUrl url(QString::fromStdString(request.target));
        if (url.path() == "/control") {
            this->control(*exchange);
            return;
        }
        ++this->calls;
        if (this->mode == Mode::Silent) {
            this->unanswered.push_back(exchange);
            return;
        }
        if (this->mode == Mode::Busy) {
            this->respond(*exchange, { 503, { { "error", "busy" } } });
            return;
        }
        const QUrlQuery query(url);
        if (url.path() == "/api/kv-watch") {
            this->watch(exchange, query);
            return;
        }
        const auto answer = this->dispatch(request.method, url.path().toStdString(), query, parseJson(request.body));
        if (this->mode == Mode::LoseAnswers)
            exchange->abort();
        else
            this->respond(*exchange, answer);
    }

private:
    struct Watch {
        http::ExchangePointer exchange;
        std::string prefix;
        int64_t after; ///< only later revisions are reported
        dragonfly::Deadline deadline;
    };

    void respond(http::Exchange& exchange, const Answer& answer) const
    {
        auto text = toJson(answer.body);
        if (const auto items = text.find("\"items\":["); items != std::string::npos && !this->oddKey.empty()) {
            const bool isOnly = answer.body["items"].toArray().isEmpty();
            text.insert(
                items + 9, "{\"key\":\"" + this->oddKey + "\",\"value\":\"\",\"revision\":1}" + (isOnly ? "" : ","));
        }
        exchange.respond(answer.status,
            { { "Content-Type", "application/json" }, { "Store-Era", std::to_string(this->era) } }, text);
    }

    /// Returns to the saved copy. Its leases run on from now.
    void restore(const QJsonArray& lostKeys)
    {
        this->table = this->saved;
        for (const auto& key : lostKeys)
            this->table.values.erase(key.toString().toStdString());
        for (auto& [id, lease] : this->table.leases)
            lease.deadline = Clock::now() + lease.timeToLive;
        std::erase_if(this->history, [this](const Event& event) { return event.revision > this->table.revision; });
        ++this->era;
        for (const auto& watch : this->watches)
            watch.exchange->abort();
        this->watches.clear();
    }

    QJsonObject itemOf(const std::string& key) const
    {
        const auto& stored = this->table.values.at(key);
        return { { "key", QString::fromStdString(key) }, { "value", encode(stored.value) },
            { "revision", static_cast<qint64>(stored.modRevision) }, { "lease", static_cast<qint64>(stored.lease) } };
    }

    Answer dispatch(const std::string& method, const std::string& path, const QUrlQuery& query, const QJsonObject& body)
    {
        if (path == "/api/kv-range")
            return this->range(query);
        if (path == "/api/kv-txn")
            return this->transact(body);
        if (path == "/api/kv-lease") {
            const milliseconds timeToLive(body["ttl_ms"].toInt());
            const auto seconds = std::chrono::ceil<std::chrono::seconds>(timeToLive);
            this->table.leases[++this->table.lastLeaseId] = { seconds, Clock::now() + timeToLive };
            return { 200, { { "lease", static_cast<qint64>(this->table.lastLeaseId) }, { "ttl_ms", body["ttl_ms"] } } };
        }
        const auto leaseId = std::strtoll(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto lease = this->table.leases.find(leaseId);
        if (lease == this->table.leases.end())
            return { 404, {} };
        if (method == "DELETE")
            lease->second.deadline = Clock::now();
        else
            lease->second.deadline = Clock::now() + lease->second.timeToLive;
        this->expireLeases();
        return { 200, { { "ttl_ms", static_cast<qint64>(milliseconds(lease->second.timeToLive).count()) } } };
    }

    Answer range(const QUrlQuery& query) const
    {
        const auto prefix = query.queryItemValue("prefix", QUrl::FullyDecoded).toStdString();
        const auto after = query.queryItemValue("after", QUrl::FullyDecoded).toStdString();
        QJsonArray items;
        size_t bytes = 0;
        bool isTruncated = false;
        for (auto item = this->table.values.upper_bound(after); item != this->table.values.end(); ++item) {
            const auto& [key, stored] = *item;
            if (!key.starts_with(prefix))
                continue;
            isTruncated = items.size() >= maxPageItems || bytes >= maxPageBytes;
            if (isTruncated)
                break;
            items.append(this->itemOf(key));
            bytes += stored.value.size();
        }
        for (const auto& item : this->oddItems)
            items.append(item);
        return { 200,
            { { "items", items }, { "truncated", isTruncated },
                { "current_rev", static_cast<qint64>(this->table.revision) } } };
    }

    Answer transact(const QJsonObject& body)
    {
        const auto expected = body["expected"].toArray();
        QJsonArray found;
        bool allMatch = true;
        for (const auto& each : expected) {
            const auto key = each.toObject()["key"].toString().toStdString();
            const auto revision = this->table.modRevisionOf(key);
            allMatch &= revision == each.toObject()["revision"].toInteger();
            if (revision)
                found.append(this->itemOf(key));
        }
        if (!allMatch)
            return { 412, { { "items", found } } };
        const auto writes = body["writes"].toArray();
        for (const auto& each : writes) {
            const auto lease = each.toObject()["lease"].toInteger();
            if (lease && !this->table.leases.contains(lease))
                return { 404, {} };
        }
        for (const auto& each : writes) {
            const auto write = each.toObject();
            this->put(write["key"].toString().toStdString(),
                QByteArray::fromBase64(write["value"].toString().toLatin1()).toStdString(), write["lease"].toInteger());
        }
        return { 200, { { "revision", static_cast<qint64>(this->table.revision) } } };
    }

    void put(const std::string& key, const std::string& value, int64_t lease)
    {
        this->table.put(key, value, lease);
        this->appendEvent({ key, this->table.revision, value });
    }

    void remove(const std::string& key)
    {
        if (this->table.values.erase(key))
            this->appendEvent({ key, ++this->table.revision, std::nullopt });
    }

    void appendEvent(Event event)
    {
        this->history.push_back(std::move(event));
        this->answerWatches();
    }

    void expireLeases()
    {
        const auto now = Clock::now();
        std::vector<std::string> expiredKeys;
        for (const auto& [key, stored] : this->table.values) {
            const auto lease = this->table.leases.find(stored.lease);
            if (stored.lease && lease != this->table.leases.end() && lease->second.deadline <= now)
                expiredKeys.push_back(key);
        }
        for (const auto& key : expiredKeys)
            this->remove(key);
        std::erase_if(this->table.leases, [now](const auto& lease) { return lease.second.deadline <= now; });
        this->answerWatches();
    }

    void watch(const http::ExchangePointer& exchange, const QUrlQuery& query)
    {
        const auto after = query.queryItemValue("after").toLongLong();
        if (after < this->oldestRevision || after > this->table.revision) {
            this->respond(*exchange, { 410, {} });
            return;
        }
        const milliseconds wait(query.queryItemValue("wait_ms").toInt());
        this->watches.push_back(
            { exchange, query.queryItemValue("prefix", QUrl::FullyDecoded).toStdString(), after, Clock::now() + wait });
        this->answerWatches();
    }

    void answerWatches()
    {
        std::erase_if(this->watches, [this](const Watch& watch) {
            QJsonArray events;
            for (const auto& event : this->history) {
                if (event.revision <= watch.after || !event.key.starts_with(watch.prefix))
                    continue;
                QJsonObject item { { "key", QString::fromStdString(event.key) },
                    { "revision", static_cast<qint64>(event.revision) } };
                if (event.value)
                    item["value"] = encode(*event.value);
                else
                    item["removed"] = true;
                events.append(item);
            }
            if (events.isEmpty() && Clock::now() < watch.deadline)
                return false;
            this->respond(*watch.exchange,
                { 200, { { "events", events }, { "current_rev", static_cast<qint64>(this->table.revision) } } });
            return true;
        });
    }

    void fill(const std::string& prefix, int count, const std::string& value)
    {
        for (int i = 0; i < std::abs(count); ++i) {
            const auto key = prefix + std::to_string(i);
            if (count > 0)
                this->put(key, value, 0);
            else
                this->remove(key);
        }
    }

    void control(http::Exchange& exchange)
    {
        const auto body = parseJson(exchange.request().body);
        const auto name = body["mode"].toString();
        if (name == "up")
            this->mode = Mode::Up;
        else if (name == "busy")
            this->mode = Mode::Busy;
        else if (name == "silent")
            this->mode = Mode::Silent;
        else if (name == "lose-answers")
            this->mode = Mode::LoseAnswers;
        if (!name.isEmpty() && name != "up") {
            for (const auto& watch : this->watches)
                watch.exchange->abort();
            this->watches.clear();
        }
        if (const auto put = body["put"].toObject(); !put.isEmpty())
            this->put(put["key"].toString().toStdString(),
                put.contains("bytes") ? QByteArray::fromBase64(put["bytes"].toString().toLatin1()).toStdString()
                                      : put["value"].toString().toStdString(),
                0);
        if (const auto fill = body["fill"].toObject(); !fill.isEmpty())
            this->fill(
                fill["prefix"].toString().toStdString(), fill["count"].toInt(), fill["value"].toString().toStdString());
        if (body.contains("odd_items"))
            this->oddItems = body["odd_items"].toArray();
        if (body.contains("odd_key"))
            this->oddKey = QByteArray::fromBase64(body["odd_key"].toString().toLatin1()).toStdString();
        if (body.contains("remove"))
            this->remove(body["remove"].toString().toStdString());
        if (body["save"].toBool())
            this->saved = this->table;
        if (body["restore"].toBool())
            this->restore(body["as_if_lost"].toArray());
        if (body["compact"].toBool()) {
            this->history.clear();
            this->oldestRevision = this->table.revision + 1;
        }
        const auto leader = this->table.values.find("dragonfly/order-holder");
        respondJson(exchange, 200,
            { { "calls", static_cast<qint64>(this->calls) },
                { "role", leader == this->table.values.end() ? "" : QString::fromStdString(leader->second.value) } });
    }

    Mode mode = Mode::Up;
    KeyValueTable table;
    KeyValueTable saved;
    int64_t era = 1; ///< one more than the number of returns to a copy
    std::deque<Event> history;
    int64_t oldestRevision = 0; ///< events before this revision have been discarded
    std::vector<Watch> watches;
    std::vector<http::ExchangePointer> unanswered; ///< calls received in Mode::Silent, kept open
    uint64_t calls = 0;
    QJsonArray oddItems; ///< added to each page
    std::string oddKey; ///< bytes of the key of one more item of each page; empty: none
    QTimer leaseTimer;
};

}

int main(int argc, char** argv)
{
    uint16_t port = 0;
    options::options_description description("standin-metadatastore");
    description.add_options()("port", options::value(&port), "port to listen on; a free port by default");
    if (!parseOptions(argc, argv, description))
        return 2;
    const QCoreApplication application(argc, argv);
    MetadataStore store;
    http::Server server({}, [&store](const http::ExchangePointer& exchange) { store.handle(exchange); });
    if (!listenAndPrint(server, port))
        return 1;
    return QCoreApplication::exec();
}
