#pragma once
// Polls the manifest, the instances and the list of targets from the platform's service, and registers this
// instance there under a lease.
//
// It polls instead of watching because a waiting watch also counts as a call, and a watch whose connection
// has gone silent can't be told from one without changes. The poll interval grows with the number of
// instances to bound the calls to the platform; between polls, gossip replicates changes.

#include "membership/Fleet.h"
#include "store/KeyValueStore.h"

#include <QObject>
#include <QTimer>

namespace dragonfly::membership {

inline constexpr std::string_view instancesPrefix = "dragonfly/instances/";
inline constexpr std::string_view targetsPrefix = "platform/targets/";

class PlatformSync : public QObject {
    Q_OBJECT
public:
    PlatformSync(store::KeyValueStore& store, ConfigKeeper& keeper, Fleet& fleet, observe::Metrics& metrics);

    void start();
    /// Removes this instance's key from the platform's service and calls @p done, also on failure.
    void stop(std::function<void()> done);

    /// Whether the last poll succeeded.
    bool isReachable() const
    {
        return this->reachable;
    }
    /// Called once for each write of a target's entry in the platform's list, with its state.
    std::function<void(const std::string& target, bool leaving)> onTargetListed;

private:
    void poll();
    void applyEntries(const std::vector<store::KeyValue>& pairs, bool isFull);
    void applyInstance(const store::KeyValue& pair);
    void applyTarget(const store::KeyValue& pair);
    void schedulePoll();
    void setReachable(bool reachable);
    void registerSelf();
    void renewLease();
    void writeOwnAddress();

    store::KeyValueStore& store;
    ConfigKeeper& keeper;
    Fleet& fleet;
    observe::Metrics& metrics;
    QTimer pollTimer;
    QTimer leaseTimer;
    std::map<std::string, int64_t> appliedTargetRevisions; ///< last applied revision of each target's entry
    int64_t lease = 0; ///< id of the lease of this instance's key; 0 while there is none
    int64_t lastModRevision = 0; ///< highest revision read so far; partial polls read later entries only
    uint64_t polls = 0;
    uint32_t failures = 0; ///< polls that failed in a row
    bool reachable = false;
    bool stopping = false;
};

}
