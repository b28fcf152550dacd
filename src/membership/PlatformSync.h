#pragma once
// Reads from the platform what it keeps for all: the manifest, the instances and the list of targets.
//
// Polling was chosen over watches: a waiting watch counts as a call all the same, and one whose
// connection has gone silent looks just like one without news. The period grows with the fleet, so
// that the platform's calls stay bounded; between polls, peers carry the news.

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
    /// Gives the instance's lease back.
    void stop(std::function<void()> done);

    bool isReachable() const
    {
        return this->reachable;
    }
    /// The list's word that a target is leaving, or that it stays after all.
    std::function<void(const std::string& target, bool leaving)> onListed;

private:
    void poll();
    void take(const std::vector<store::KeyValue>& pairs, bool isFull);
    void takeInstance(const store::KeyValue& pair);
    void takeTarget(const store::KeyValue& pair);
    void schedulePoll();
    void setReachable(bool reachable);
    void registerSelf();
    void keepRegistered();
    void putSelf();

    store::KeyValueStore& store;
    ConfigKeeper& keeper;
    Fleet& fleet;
    observe::Metrics& metrics;
    QTimer pollTimer;
    QTimer leaseTimer;
    std::map<std::string, int64_t> listed; ///< revision of each target's entry that was last acted on
    int64_t lease = 0; ///< 0 while there is none
    int64_t lastModRevision = 0; ///< highest one seen; older entries are not read again
    uint64_t polls = 0;
    uint32_t failures = 0;
    bool reachable = false;
    bool stopping = false;
};

}
