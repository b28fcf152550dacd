#pragma once
// Registers this instance for its peers at the platform's service, and keeps the peer list up to date from their
// records.

#include "observe/Metrics.h"
#include "relay/PeerRanking.h"
#include "store/KeyValueStore.h"

#include <QObject>
#include <QTimer>

namespace dragonfly::relay {

struct RegistrationTimings {
    /// Time to live of an instance's record after the instance is lost. Peers detect a silent instance by themselves,
    /// so a long value with rare renewals is enough.
    std::chrono::seconds leaseTtl { 60 };
    std::chrono::milliseconds renewalInterval { 20000 };
    /// Spreads out the registrations of instances that start, or lose their records, at the same time.
    std::chrono::milliseconds maxJitter { 1500 };
};

class InstanceRegistry : public QObject {
    Q_OBJECT
public:
    /// Key prefix of all instance records; the instance's name follows it.
    static constexpr const char* keyPrefix = "dragonfly/instances/";

    InstanceRegistry(store::WatchableStore& store, PeerRanking& ranking, observe::Metrics& metrics,
        const RegistrationTimings& timings = {});

    /// Registers this instance, and registers it again whenever its record is lost.
    void start();
    /// Removes the record of this instance, so that peers stop sending queries to it.
    void stop();
    /// Applies a record below keyPrefix that was written (@p exists) or removed.
    void onRecord(const store::KeyValue& record, bool exists);
    /// Registers again, because the platform's service has returned from an older copy.
    void onStoreReturned();
    /// Called when an instance has left @p address; the address may be assigned to another instance afterwards.
    std::function<void(const std::string& address)> onAddressReleased;

private:
    void removeInstance(const std::string& instance);
    std::string ownKey() const;
    void registerInstance();
    void writeRecord(int64_t lease);
    void renewLease();
    void scheduleRetry(const char* reason);
    void endLease(int64_t ended);
    std::chrono::milliseconds randomJitter() const;

    store::WatchableStore& store;
    PeerRanking& ranking;
    observe::Metrics& metrics;
    RegistrationTimings timings;
    std::optional<int64_t> lease; ///< lease of this instance's record; empty while it is not registered
    bool isRegistering = false;
    bool isRegistrationOutdated = false; ///< the registration in progress may have begun before the service returned
    bool isStopping = false;
    QTimer registerTimer;
    QTimer renewalTimer;
};

}
