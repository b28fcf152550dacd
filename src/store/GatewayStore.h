#pragma once
// Client of a key-value service through its JSON gateway (paths below /v3/kv/ and /v3/lease/).

#include "store/HttpTransport.h"

#include <QJsonObject>

namespace dragonfly::store {

class GatewayStore : public KeyValueStore {
public:
    GatewayStore(std::vector<Endpoint> endpoints, http::ClientPool* pool);

    void read(const std::vector<ReadRequest>& ranges, Deadline deadline, std::function<void(ReadResult)> done) override;
    void compareAndSwap(const std::string& key, int64_t expected, const std::string& value, Deadline deadline,
        std::function<void(SwapResult)> done) override;
    void put(const std::string& key, const std::string& value, int64_t lease, Deadline deadline,
        std::function<void(WriteResult)> done) override;
    void remove(const std::string& key, Deadline deadline, std::function<void(WriteResult)> done) override;
    void grantLease(std::chrono::seconds ttl, Deadline deadline, std::function<void(LeaseResult)> done) override;
    void renewLease(int64_t lease, Deadline deadline, std::function<void(LeaseResult)> done) override;

private:
    using Reply = std::variant<QJsonObject, StoreFailure>;
    /// Posts @p body as JSON and passes the object in the reply, or the failure, to @p done.
    void post(const char* path, const QJsonObject& body, Deadline deadline, std::function<void(Reply)> done);

    HttpTransport transport;
};

}
