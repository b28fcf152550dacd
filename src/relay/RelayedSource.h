#pragma once
// The platform's records, followed at a peer where one can be relied on, and else at the platform's service.
//
// A peer's answers carry the age of its own proof that the configuration is the newest, so that proofs can be
// handed on without counting as younger than they are. Whole reads go to the service.

#include "membership/PeerTransport.h"
#include "observe/Metrics.h"
#include "relay/PeerRanking.h"
#include "store/KeyValueStore.h"

#include <QObject>
#include <QTimer>
#include <set>

namespace dragonfly::relay {

class RelayedSource : public QObject, public store::RecordSource {
    Q_OBJECT
public:
    RelayedSource(store::RecordSource& service, PeerRanking& ranking, membership::PeerTransport& transport,
        observe::Metrics& metrics);

    void onReply(const pb::RecordsReply& reply);
    /// The instance that answered last; nothing while the platform's service does.
    const std::optional<std::string>& followed() const
    {
        return this->followedPeer;
    }

    void readPage(const std::string& prefix, const std::string& after, Deadline deadline,
        std::function<void(store::PageResult)> done) override;
    /// Peers answer watches of all keys only; others go to the service.
    void watch(const std::string& prefix, int64_t after, Clock::time_point waitUntil, Deadline deadline,
        std::function<void(store::WatchResult)> done) override;
    /// Answered from the last peer's proof while that is young.
    void checkRevision(const std::string& key, int64_t expected, Deadline deadline,
        std::function<void(store::CheckResult)> done) override;

private:
    /// The watch under way. Its number tells late answers from those to it.
    struct Watch {
        uint64_t number = 0;
        std::string prefix;
        int64_t after = 0;
        Clock::time_point waitUntil;
        Deadline deadline;
        std::function<void(store::WatchResult)> done;
        int peersAsked = 0;
        std::optional<Peer> peer; ///< that was asked last; nothing when the service was
        bool isSubstitute = false; ///< the peer was asked because the service does not answer
        BootClock::time_point askedAt;
    };
    /// What a peer proved: this revision of the deployment was the newest at that moment.
    struct Proof {
        int64_t revision = 0;
        BootClock::time_point provedAt;
    };

    void askNext();
    void askPeer(const Peer& peer);
    void askService();
    void onServiceAnswer(uint64_t number, const store::WatchResult& result);
    void onPeerSilent();
    void giveUpPeer(const char* reason, std::chrono::milliseconds pause);
    void finish(const store::WatchResult& result);
    void noteFollowed(const std::optional<std::string>& peer);
    void noteServiceFailure();
    void noteServiceAnswer();
    void askServiceToCheck(
        const std::string& key, int64_t expected, Deadline deadline, std::function<void(store::CheckResult)> done);

    store::RecordSource& service;
    PeerRanking& ranking;
    membership::PeerTransport& transport;
    observe::Metrics& metrics;
    std::optional<Watch> current;
    uint64_t lastNumber = 0;
    QTimer replyTimer;
    std::set<std::string> silentPeers; ///< did not answer their last question
    std::optional<Proof> proof;
    std::optional<std::string> followedPeer;
    std::optional<Deadline> serviceProbeAt; ///< when to try the service again; set while it does not answer
};

}
