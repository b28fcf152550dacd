#pragma once
// Source of the platform's records that follows a peer when a reliable one exists, and otherwise the platform's
// service.
//
// A peer's replies carry the age of its freshness proof, so that a relayed proof never counts as younger than it is.
// Whole reads go to the service.

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
    /// Called when this instance begins to follow the service instead of a peer. Peers may rely on its freshness proof
    /// from then on, so it is to be renewed at once.
    std::function<void()> onServiceFollowed;
    /// Name of the peer that this instance follows; nothing while it follows the platform's service.
    const std::optional<std::string>& followedInstance() const
    {
        return this->followedPeer;
    }

    void readPage(const std::string& prefix, const std::string& after, Deadline deadline,
        std::function<void(store::PageResult)> done) override;
    /// Peers are queried only for watches of all keys (empty @p prefix); others go to the service.
    void watch(const std::string& prefix, int64_t after, Clock::time_point waitUntil, Deadline deadline,
        std::function<void(store::WatchResult)> done) override;
    /// Answers from the followed peer's proof while it is recent, otherwise from the service. If a recent proof of the
    /// followed peer arrives before the service's answer, @p done is called with both, but not with a failure after the
    /// proof.
    void checkRevision(const std::string& key, int64_t expected, Deadline deadline,
        std::function<void(store::CheckResult)> done) override;
    Clock::time_point lastOutageEnd() const override
    {
        return this->serviceProbeAt ? Clock::now() : this->serviceRecoveredAt;
    }

    /// To be called when the registration of this instance is removed, because it stops. Peers to which it names itself
    /// after that would take it for one that is not registered yet.
    void leave()
    {
        this->isLeaving = true;
    }

private:
    /// The watch in progress.
    struct Watch {
        uint64_t queryNumber = 0; ///< of the latest query; answers to earlier ones are ignored
        std::string prefix;
        int64_t after = 0;
        Clock::time_point waitUntil;
        Deadline deadline;
        std::function<void(store::WatchResult)> done;
        int queriedPeerCount = 0;
        std::optional<Peer> peer; ///< the peer queried last; empty when the service was queried last
        bool isFallback = false; ///< the peer was queried because the service does not answer
        bool hasLeftService = false; ///< it waited at the service and was moved to peers
        BootClock::time_point queriedAt; ///< when the peer was queried
        Clock::time_point sentToServiceAt; ///< when the service was queried last
    };
    /// Freshness proof of a peer: this revision of the deployment was the newest at that moment.
    struct Proof {
        int64_t revision = 0;
        BootClock::time_point provedAt;
    };

    /// A check that waits for the service.
    struct Check {
        uint64_t number = 0; ///< counts the checks
        int64_t expected = 0;
        BootClock::time_point sentAt; ///< the age of its answer counts from then
        std::function<void(store::CheckResult)> done;
    };

    bool isProved(int64_t revision, BootClock::time_point now) const;
    void answerCheckFromProof();
    void queryNextSource();
    void queryPeer(const Peer& peer);
    void queryService();
    void onServiceAnswer(uint64_t queryNumber, const store::WatchResult& result);
    void onReplyTimeout();
    /// Excludes the queried peer from the choice for a while and continues at the next source.
    void excludePeer(const char* detail, ExclusionReason reason);
    void completeWatch(const store::WatchResult& result);
    void updateFollowedPeer(const std::optional<std::string>& peer);
    void recordServiceFailure();
    void recordServiceAnswer();
    void endWatchFromBeforeOutage();
    void checkAtService(
        const std::string& key, int64_t expected, Deadline deadline, std::function<void(store::CheckResult)> done);

    store::RecordSource& service;
    PeerRanking& ranking;
    membership::PeerTransport& transport;
    observe::Metrics& metrics;
    std::optional<Watch> currentWatch;
    uint64_t lastQueryNumber = 0;
    bool isUnanswered = false; ///< a watch ended without an answer, and no later one has been answered
    bool isLeaving = false; ///< queries no longer name this instance
    QTimer replyTimer;
    std::set<std::string> silentPeers; ///< peers that did not answer their last query
    std::optional<Proof> proof;
    std::optional<Check> waitingCheck;
    uint64_t lastCheckNumber = 0;
    std::optional<std::string> followedPeer;
    std::optional<Deadline> serviceProbeAt; ///< earliest next probe of the service; empty while the service answers
    Clock::time_point
        serviceRecoveredAt; ///< when the service last answered after a failure; the epoch if it never failed
};

}
