#pragma once
// Makes this instance known to the others through the platform's service, and takes their records.

#include "observe/Metrics.h"
#include "relay/PeerRanking.h"
#include "store/KeyValueStore.h"

#include <QObject>
#include <QTimer>

namespace dragonfly::relay {

class InstanceRegistry : public QObject {
    Q_OBJECT
public:
    /// Records of instances lie below this, each under the instance's name.
    static constexpr const char* keyPrefix = "dragonfly/instances/";

    InstanceRegistry(store::WatchableStore& store, PeerRanking& ranking, observe::Metrics& metrics);

    /// Registers this instance, and again whenever its record is lost.
    void start();
    /// Removes the record, so that nobody asks this instance any more.
    void stop();
    /// A record below keyPrefix was seen, or seen to be gone.
    void onRecord(const store::KeyValue& record, bool exists);
    /// An instance is gone from @p address, which may be given to another one.
    std::function<void(const std::string& address)> onAddressLeft;

private:
    void forget(const std::string& instance);
    std::string ownKey() const;
    void registerOwn();
    void writeRecord(int64_t lease);
    void renew();
    void retryLater(const char* reason);

    store::WatchableStore& store;
    PeerRanking& ranking;
    observe::Metrics& metrics;
    std::optional<int64_t> lease; ///< of the own record
    bool isWriting = false;
    bool stopping = false;
    QTimer writeTimer;
    QTimer renewTimer;
};

}
