#include "store/GatewayStore.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>

namespace dragonfly::store {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusTooManyRequests = 429;

    QString encodeBase64(std::string_view bytes)
    {
        return QString::fromLatin1(QByteArray(bytes.data(), static_cast<qsizetype>(bytes.size())).toBase64());
    }

    std::string decodeBase64(const QJsonValue& value)
    {
        return QByteArray::fromBase64(value.toString().toLatin1()).toStdString();
    }

    /// The gateway writes 64-bit integers as JSON strings.
    int64_t parseInteger(const QJsonValue& value)
    {
        return value.isString() ? value.toString().toLongLong() : value.toInteger();
    }

    KeyValue parseKeyValue(const QJsonObject& object)
    {
        return { decodeBase64(object["key"]), decodeBase64(object["value"]), parseInteger(object["mod_revision"]) };
    }

    QJsonObject rangeBody(const ReadRequest& request)
    {
        QJsonObject range;
        range["key"] = encodeBase64(request.key);
        if (request.isPrefix) {
            auto end = request.key;
            ++end.back();
            range["range_end"] = encodeBase64(end);
        }
        if (request.minModRevision)
            range["min_mod_revision"] = QString::number(request.minModRevision);
        return range;
    }

    /// Parses the pairs in one response of a transaction. The list is empty unless that operation was a read.
    std::vector<KeyValue> parseKeyValues(const QJsonObject& response)
    {
        std::vector<KeyValue> pairs;
        const auto range = response["response_range"].toObject();
        const auto list = range["kvs"].toArray();
        for (const auto& pair : list)
            pairs.push_back(parseKeyValue(pair.toObject()));
        return pairs;
    }

    /// Whether one of @p ranges covers @p key.
    bool isRequested(const std::vector<ReadRequest>& ranges, const std::string& key)
    {
        return std::any_of(ranges.begin(), ranges.end(), [&key](const ReadRequest& range) {
            return range.isPrefix ? key.starts_with(range.key) : key == range.key;
        });
    }

    /// Returns a handler that passes the failure of a call to @p done, or else what @p parse makes of the reply.
    template <typename Outcome, typename Parser> auto replyHandler(std::function<void(Outcome)> done, Parser parse)
    {
        return [done = std::move(done), parse](const std::variant<QJsonObject, StoreFailure>& reply) {
            if (const auto* failure = std::get_if<StoreFailure>(&reply))
                done(*failure);
            else
                done(parse(std::get<QJsonObject>(reply)));
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
            done(reply.status == statusTooManyRequests ? StoreFailure::NotExecuted : StoreFailure::Unknown);
    });
}

void GatewayStore::read(const std::vector<ReadRequest>& ranges, Deadline deadline, std::function<void(ReadResult)> done)
{
    QJsonArray operations;
    for (const auto& range : ranges)
        operations.append(QJsonObject { { "request_range", rangeBody(range) } });
    const QJsonObject body { { "compare", QJsonArray() }, { "success", operations } };
    this->post(
        "/v3/kv/txn", body, deadline, replyHandler(std::move(done), [ranges](const QJsonObject& reply) -> ReadResult {
            std::vector<KeyValue> found;
            const auto responses = reply["responses"].toArray();
            for (const auto& response : responses) {
                for (const auto& pair : parseKeyValues(response.toObject())) {
                    if (!isRequested(ranges, pair.key))
                        return StoreFailure::Unknown; // the answer belongs to another call
                    found.push_back(pair);
                }
            }
            return found;
        }));
}

void GatewayStore::compareAndSwap(const std::string& key, int64_t expected, const std::string& value, Deadline deadline,
    std::function<void(SwapResult)> done)
{
    const QJsonObject compare { { "key", encodeBase64(key) }, { "target", "MOD" }, { "result", "EQUAL" },
        { "mod_revision", QString::number(expected) } };
    const QJsonObject write { { "request_put",
        QJsonObject { { "key", encodeBase64(key) }, { "value", encodeBase64(value) } } } };
    const QJsonObject readBack { { "request_range", rangeBody({ key }) } };
    const QJsonObject body { { "compare", QJsonArray { compare } }, { "success", QJsonArray { write, readBack } },
        { "failure", QJsonArray { readBack } } };
    this->post("/v3/kv/txn", body, deadline,
        replyHandler(std::move(done), [key, value](const QJsonObject& reply) -> SwapResult {
            const auto responses = reply["responses"].toArray();
            const auto pairs = parseKeyValues(responses.last().toObject());
            if (!pairs.empty() && pairs.front().key != key)
                return StoreFailure::Unknown; // the answer belongs to another call
            const bool succeeded = reply["succeeded"].toBool();
            if (!succeeded)
                return Conflict { pairs.empty() ? KeyValue { key, {}, 0 } : pairs.front() };
            // Only the value that was read back distinguishes this answer from one to another write of the same key.
            if (pairs.empty() || pairs.front().value != value)
                return StoreFailure::Unknown;
            return Swapped { pairs.front().modRevision };
        }));
}

void GatewayStore::put(const std::string& key, const std::string& value, int64_t lease, Deadline deadline,
    std::function<void(WriteResult)> done)
{
    const QJsonObject body { { "key", encodeBase64(key) }, { "value", encodeBase64(value) },
        { "lease", QString::number(lease) } };
    this->post("/v3/kv/put", body, deadline,
        replyHandler(std::move(done), [](const QJsonObject&) -> WriteResult { return Success {}; }));
}

void GatewayStore::remove(const std::string& key, Deadline deadline, std::function<void(WriteResult)> done)
{
    this->post("/v3/kv/deleterange", { { "key", encodeBase64(key) } }, deadline,
        replyHandler(std::move(done), [](const QJsonObject&) -> WriteResult { return Success {}; }));
}

void GatewayStore::grantLease(std::chrono::seconds ttl, Deadline deadline, std::function<void(LeaseResult)> done)
{
    this->post("/v3/lease/grant", { { "TTL", QString::number(ttl.count()) } }, deadline,
        replyHandler(
            std::move(done), [](const QJsonObject& reply) -> LeaseResult { return parseInteger(reply["ID"]); }));
}

void GatewayStore::renewLease(int64_t lease, Deadline deadline, std::function<void(LeaseResult)> done)
{
    this->post("/v3/lease/keepalive", { { "ID", QString::number(lease) } }, deadline,
        replyHandler(std::move(done), [](const QJsonObject& reply) -> LeaseResult {
            const auto result = reply["result"].toObject();
            if (parseInteger(result["TTL"]) <= 0)
                return StoreFailure::NotExecuted;
            return parseInteger(result["ID"]);
        }));
}

}
