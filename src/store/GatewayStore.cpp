#include "store/GatewayStore.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>

namespace dragonfly::store {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusTooManyRequests = 429;

    QString encode(std::string_view bytes)
    {
        return QString::fromLatin1(QByteArray(bytes.data(), static_cast<qsizetype>(bytes.size())).toBase64());
    }

    std::string decode(const QJsonValue& value)
    {
        return QByteArray::fromBase64(value.toString().toLatin1()).toStdString();
    }

    /// The gateway writes 64-bit numbers as texts.
    int64_t numberOf(const QJsonValue& value)
    {
        return value.isString() ? value.toString().toLongLong() : value.toInteger();
    }

    KeyValue keyValueOf(const QJsonObject& object)
    {
        return { decode(object["key"]), decode(object["value"]), numberOf(object["mod_revision"]) };
    }

    QJsonObject rangeOf(const ReadRequest& request)
    {
        QJsonObject range;
        range["key"] = encode(request.key);
        if (request.isPrefix) {
            auto end = request.key;
            ++end.back();
            range["range_end"] = encode(end);
        }
        if (request.leastModRevision)
            range["min_mod_revision"] = QString::number(request.leastModRevision);
        return range;
    }

    /// The pairs in one response of a transaction; none when it is no read.
    std::vector<KeyValue> keyValuesOf(const QJsonObject& response)
    {
        std::vector<KeyValue> pairs;
        const auto range = response["response_range"].toObject();
        const auto list = range["kvs"].toArray();
        for (const auto& pair : list)
            pairs.push_back(keyValueOf(pair.toObject()));
        return pairs;
    }

    bool wasAskedFor(const std::vector<ReadRequest>& ranges, const std::string& key)
    {
        return std::any_of(ranges.begin(), ranges.end(), [&key](const ReadRequest& range) {
            return range.isPrefix ? key.starts_with(range.key) : key == range.key;
        });
    }

    template <typename Outcome, typename Read> auto translate(std::function<void(Outcome)> done, Read read)
    {
        return [done = std::move(done), read](const std::variant<QJsonObject, StoreFailure>& reply) {
            if (const auto* failure = std::get_if<StoreFailure>(&reply))
                done(*failure);
            else
                done(read(std::get<QJsonObject>(reply)));
        };
    }

}

GatewayStore::GatewayStore(std::vector<Endpoint> endpoints, http::ClientPool* pool)
    : transport(std::move(endpoints), pool)
{
}

void GatewayStore::post(const char* path, const QJsonObject& body, Deadline deadline, std::function<void(Reply)> done)
{
    const auto text = QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
    this->transport.call("POST", path, text, deadline, [done = std::move(done)](const HttpOutcome& outcome) {
        if (const auto* failure = std::get_if<StoreFailure>(&outcome)) {
            done(*failure);
            return;
        }
        const auto& reply = std::get<HttpReply>(outcome);
        const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(reply.body));
        if (reply.status == statusOk && document.isObject())
            done(document.object());
        else
            done(reply.status == statusTooManyRequests ? StoreFailure::NotDone : StoreFailure::Unknown);
    });
}

void GatewayStore::read(const std::vector<ReadRequest>& ranges, Deadline deadline, std::function<void(ReadResult)> done)
{
    QJsonArray operations;
    for (const auto& range : ranges)
        operations.append(QJsonObject { { "request_range", rangeOf(range) } });
    const QJsonObject body { { "compare", QJsonArray() }, { "success", operations } };
    this->post(
        "/v3/kv/txn", body, deadline, translate(std::move(done), [ranges](const QJsonObject& reply) -> ReadResult {
            std::vector<KeyValue> found;
            const auto responses = reply["responses"].toArray();
            for (const auto& response : responses) {
                for (const auto& pair : keyValuesOf(response.toObject())) {
                    if (!wasAskedFor(ranges, pair.key))
                        return StoreFailure::Unknown; // the answer to another call
                    found.push_back(pair);
                }
            }
            return found;
        }));
}

void GatewayStore::compareAndSwap(const std::string& key, int64_t expected, const std::string& value, Deadline deadline,
    std::function<void(SwapResult)> done)
{
    const QJsonObject compare { { "key", encode(key) }, { "target", "MOD" }, { "result", "EQUAL" },
        { "mod_revision", QString::number(expected) } };
    const QJsonObject write { { "request_put", QJsonObject { { "key", encode(key) }, { "value", encode(value) } } } };
    const QJsonObject readBack { { "request_range", rangeOf({ key }) } };
    const QJsonObject body { { "compare", QJsonArray { compare } }, { "success", QJsonArray { write, readBack } },
        { "failure", QJsonArray { readBack } } };
    this->post(
        "/v3/kv/txn", body, deadline, translate(std::move(done), [key, value](const QJsonObject& reply) -> SwapResult {
            const auto responses = reply["responses"].toArray();
            const auto pairs = keyValuesOf(responses.last().toObject());
            if (!pairs.empty() && pairs.front().key != key)
                return StoreFailure::Unknown; // the answer to another call
            const bool succeeded = reply["succeeded"].toBool();
            if (!succeeded)
                return Conflict { pairs.empty() ? KeyValue { key, {}, 0 } : pairs.front() };
            // Only the value itself shows that the answer is to this write, and not to another one of this key.
            if (pairs.empty() || pairs.front().value != value)
                return StoreFailure::Unknown;
            return Swapped { pairs.front().modRevision };
        }));
}

void GatewayStore::put(const std::string& key, const std::string& value, int64_t lease, Deadline deadline,
    std::function<void(WriteResult)> done)
{
    const QJsonObject body { { "key", encode(key) }, { "value", encode(value) }, { "lease", QString::number(lease) } };
    this->post("/v3/kv/put", body, deadline,
        translate(std::move(done), [](const QJsonObject&) -> WriteResult { return Success {}; }));
}

void GatewayStore::remove(const std::string& key, Deadline deadline, std::function<void(WriteResult)> done)
{
    this->post("/v3/kv/deleterange", { { "key", encode(key) } }, deadline,
        translate(std::move(done), [](const QJsonObject&) -> WriteResult { return Success {}; }));
}

void GatewayStore::grantLease(std::chrono::seconds life, Deadline deadline, std::function<void(LeaseResult)> done)
{
    this->post("/v3/lease/grant", { { "TTL", QString::number(life.count()) } }, deadline,
        translate(std::move(done), [](const QJsonObject& reply) -> LeaseResult { return numberOf(reply["ID"]); }));
}

void GatewayStore::keepLease(int64_t lease, Deadline deadline, std::function<void(LeaseResult)> done)
{
    this->post("/v3/lease/keepalive", { { "ID", QString::number(lease) } }, deadline,
        translate(std::move(done), [](const QJsonObject& reply) -> LeaseResult {
            const auto result = reply["result"].toObject();
            if (numberOf(result["TTL"]) <= 0)
                return StoreFailure::NotDone;
            return numberOf(result["ID"]);
        }));
}

}
