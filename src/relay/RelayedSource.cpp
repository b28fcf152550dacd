#include "relay/RelayedSource.h"

#include "observe/Log.h"
#include "relay/PeerRecord.h"

#include <algorithm>
#include <utility>

namespace dragonfly::relay {

using observe::logChange;
using observe::LogLevel;

namespace {

    /// How long a peer waits for a change before it replies that there is none. The age of its proof is overestimated
    /// by up to this time.
    constexpr std::chrono::milliseconds peerWaitTimeout { 500 };
    /// Maximum round trip within a data centre to a busy peer.
    constexpr std::chrono::milliseconds replyGracePeriod { 300 };
    /// A peer renews its proof each second, so one with an older proof has lost the platform's service.
    constexpr std::chrono::milliseconds maxPeerProofAge { 1600 };
    /// A peer whose records are older gets no answers to its watches, although its proofs, which are only about the
    /// configuration, are renewed. Allows for a peer that has just lost its own source: what it had may be 2.8 s old,
    /// two silent peers take 1.6 s, and its first watch at the service 2.7 s.
    constexpr std::chrono::milliseconds maxPeerRecordsAge { 7100 };
    /// Maximum age of a peer's proof that answers a check. Leaves enough of the proof's validity to query the service
    /// when no newer proof arrives.
    constexpr std::chrono::milliseconds maxCheckProofAge { 2400 };
    /// How long a peer that did not answer is excluded. Each further attempt costs the wait and the grace period above.
    constexpr std::chrono::milliseconds silentPeerExclusion { 3000 };
    /// How long a peer with stale data is excluded. Short, because such a peer answers at once and may catch up soon.
    constexpr std::chrono::milliseconds stalePeerExclusion { 1000 };
    /// Interval between probes of a failed service while peers answer.
    constexpr std::chrono::milliseconds serviceProbeInterval { 2000 };
    /// Number of peers that one watch queries before it falls back to the service.
    constexpr int maxQueriedPeers = 2;
    /// A watch with less time left is not sent to the service, because it would fail there although the service
    /// answers. Allows for a round trip to a busy service.
    constexpr std::chrono::milliseconds minServiceTime { 300 };

    store::Change decodeChange(const pb::RecordChange& change)
    {
        return { { change.key(), change.value(), change.revision() }, change.removed() };
    }

}

RelayedSource::RelayedSource(
    store::RecordSource& service, PeerRanking& ranking, membership::PeerTransport& transport, observe::Metrics& metrics)
    : service(service)
    , ranking(ranking)
    , transport(transport)
    , metrics(metrics)
{
    this->replyTimer.setSingleShot(true);
    connect(&this->replyTimer, &QTimer::timeout, this, &RelayedSource::onReplyTimeout);
}

void RelayedSource::watch(const std::string& prefix, int64_t after, Clock::time_point waitUntil, Deadline deadline,
    std::function<void(store::WatchResult)> done)
{
    this->replyTimer.stop();
    this->currentWatch = Watch { ++this->lastQueryNumber, prefix, after, waitUntil, deadline, std::move(done), 0,
        std::nullopt, false, false, {}, {} };
    this->queryNextSource();
}

void RelayedSource::queryNextSource()
{
    auto& watch = *this->currentWatch;
    const auto now = Clock::now();
    std::optional<Peer> peer;
    if (watch.prefix.empty() && watch.queriedPeerCount < maxQueriedPeers) {
        watch.isFallback = this->serviceProbeAt.has_value();
        peer = watch.isFallback ? this->ranking.findFallback(now) : this->ranking.findRelay(now);
    }
    if (peer) {
        this->queryPeer(*peer);
    } else if (remaining(watch.deadline, now) >= minServiceTime) {
        this->queryService();
    } else {
        if (!std::exchange(this->isUnanswered, true))
            logChange(LogLevel::Warning, "watch of platform records ended without an answer",
                { { "after", std::to_string(store::revisionWithinEra(watch.after)) },
                    { "known_instances", std::to_string(this->ranking.size()) } });
        this->completeWatch(store::StoreFailure::NotExecuted);
    }
}

void RelayedSource::queryPeer(const Peer& peer)
{
    auto& watch = *this->currentWatch;
    watch.queryNumber = ++this->lastQueryNumber;
    watch.peer = peer;
    watch.queriedAt = BootClock::now();
    ++watch.queriedPeerCount;
    pb::PeerMessage message;
    message.set_reply_to(this->ranking.own().address);
    auto& query = *message.mutable_follow_records();
    if (!this->isLeaving)
        *query.mutable_follower() = toRecord(this->ranking.own());
    query.set_question(watch.queryNumber);
    query.set_after(watch.after);
    query.set_wait_ms(static_cast<uint32_t>(peerWaitTimeout.count()));
    if (this->silentPeers.erase(peer.instance)) {
        // Either direction of the connection may be broken, so both sides open a new one.
        this->transport.drop(peer.address);
        query.set_renew_connection(true);
    }
    this->transport.send(peer.address, message);
    this->replyTimer.start(peerWaitTimeout + replyGracePeriod);
}

void RelayedSource::queryService()
{
    auto& watch = *this->currentWatch;
    watch.queryNumber = ++this->lastQueryNumber;
    watch.peer.reset();
    watch.sentToServiceAt = Clock::now();
    const bool wasFollowingPeer = this->followedPeer.has_value();
    this->updateFollowedPeer(std::nullopt);
    if (wasFollowingPeer && this->onServiceFollowed)
        this->onServiceFollowed();
    this->metrics.platformCalls.Increment();
    this->service.watch(watch.prefix, watch.after, watch.waitUntil, watch.deadline,
        [this, number = watch.queryNumber](
            const store::WatchResult& result) { this->onServiceAnswer(number, result); });
}

void RelayedSource::onServiceAnswer(uint64_t queryNumber, const store::WatchResult& result)
{
    if (!this->currentWatch || this->currentWatch->queryNumber != queryNumber)
        return;
    if (std::holds_alternative<store::StoreFailure>(result)) {
        this->recordServiceFailure();
        if (!this->currentWatch || this->currentWatch->queryNumber != queryNumber)
            return; // the watch continues at a peer
    } else {
        this->recordServiceAnswer();
    }
    this->completeWatch(result);
}

void RelayedSource::onReply(const pb::RecordsReply& reply)
{
    if (!this->currentWatch || !this->currentWatch->peer || this->currentWatch->queryNumber != reply.question())
        return;
    this->replyTimer.stop();
    const auto& watch = *this->currentWatch;
    const auto age = statedAge(reply.proof_age_ms());
    if (!reply.known() || reply.revision() < watch.after) {
        this->excludePeer("requested changes not available", ExclusionReason::Stale);
        return;
    }
    // While the service does not answer, stale or relayed data is accepted too: the age of the proof bounds its use.
    const auto recordsAge = statedAge(reply.revision_age_ms()); // 0 from peers that do not report it
    const bool isReliable = reply.first_hand() && age <= maxPeerProofAge && recordsAge <= maxPeerRecordsAge;
    if (!isReliable && !watch.isFallback) {
        this->excludePeer("no direct connection to the platform", ExclusionReason::Stale);
        return;
    }
    if (age > maxPeerProofAge)
        this->ranking.exclude(watch.peer->instance, ExclusionReason::Stale, Clock::now() + stalePeerExclusion);
    // The peer replied after the query was sent, so this is a lower bound for the time of its proof.
    const Proof peerProof { reply.deployment_revision(), watch.queriedAt - age };
    if (!this->proof || peerProof.revision != this->proof->revision || peerProof.provedAt > this->proof->provedAt)
        this->proof = peerProof;
    this->updateFollowedPeer(watch.peer->instance);
    this->answerCheckFromProof();
    store::Changes changes;
    changes.revision = reply.revision();
    if (reply.has_revision_age_ms())
        changes.asOf = watch.queriedAt - recordsAge;
    for (const auto& change : reply.changes())
        changes.changes.push_back(decodeChange(change));
    this->completeWatch(changes);
}

void RelayedSource::onReplyTimeout()
{
    if (!this->currentWatch || !this->currentWatch->peer)
        return;
    this->silentPeers.insert(this->currentWatch->peer->instance);
    this->excludePeer("query timed out", ExclusionReason::Silent);
}

void RelayedSource::excludePeer(const char* detail, ExclusionReason reason)
{
    const auto instance = this->currentWatch->peer->instance;
    const auto duration = reason == ExclusionReason::Silent ? silentPeerExclusion : stalePeerExclusion;
    this->ranking.exclude(instance, reason, Clock::now() + duration);
    logChange(LogLevel::Info, "peer excluded", { { "peer", instance }, { "reason", detail } });
    this->queryNextSource();
}

void RelayedSource::completeWatch(const store::WatchResult& result)
{
    const auto done = std::move(this->currentWatch->done);
    this->currentWatch.reset();
    this->isUnanswered = this->isUnanswered && std::holds_alternative<store::StoreFailure>(result);
    done(result);
}

void RelayedSource::updateFollowedPeer(const std::optional<std::string>& peer)
{
    if (this->followedPeer == peer)
        return;
    this->followedPeer = peer;
    logChange(LogLevel::Info, "source of platform records changed", { { "from", peer.value_or("the platform") } });
}

/// Moves a watch that waits at the service to a peer if there is one, because it may stay unanswered for long. Each
/// watch is moved once: peers that do not know its revision would otherwise return it to the service without end.
void RelayedSource::recordServiceFailure()
{
    if (!this->serviceProbeAt)
        logChange(LogLevel::Warning, "the platform's service is unavailable",
            { { "known_instances", std::to_string(this->ranking.size()) } });
    this->serviceProbeAt = Clock::now() + serviceProbeInterval;
    const bool isAtService = this->currentWatch && !this->currentWatch->peer && this->currentWatch->prefix.empty();
    if (!isAtService || this->currentWatch->hasLeftService || !this->ranking.findFallback(Clock::now()))
        return;
    this->currentWatch->hasLeftService = true;
    // Peers queried before this failure were candidates for a relay; as fallbacks they may be queried again.
    this->currentWatch->queriedPeerCount = 0;
    this->queryNextSource();
}

/// Whether the followed peer has recently proved that @p revision is the newest.
bool RelayedSource::isProved(int64_t revision, BootClock::time_point now) const
{
    // An instance without a followed peer renews its proof at the service, because its own followers rely on it.
    return this->followedPeer && this->proof && this->proof->revision == revision
        && now - this->proof->provedAt <= maxCheckProofAge;
}

/// Answers the check that waits for the service. The service may not answer until the proof that the instance has ends.
void RelayedSource::answerCheckFromProof()
{
    if (!this->waitingCheck || !this->isProved(this->waitingCheck->expected, BootClock::now()))
        return;
    const auto check = std::exchange(this->waitingCheck, std::nullopt);
    const auto age = std::max(check->sentAt - this->proof->provedAt, BootClock::duration::zero());
    check->done(store::Unchanged { std::chrono::ceil<std::chrono::milliseconds>(age) });
}

void RelayedSource::checkRevision(
    const std::string& key, int64_t expected, Deadline deadline, std::function<void(store::CheckResult)> done)
{
    const auto now = BootClock::now();
    const bool isProbeDue = this->serviceProbeAt && Clock::now() >= *this->serviceProbeAt;
    if (!this->isProved(expected, now)) {
        this->checkAtService(key, expected, deadline, std::move(done));
        return;
    }
    if (isProbeDue)
        this->checkAtService(key, expected, deadline, nullptr);
    done(store::Unchanged { std::chrono::ceil<std::chrono::milliseconds>(now - this->proof->provedAt) });
}

/// @param done null for a probe, which only detects whether the service answers
void RelayedSource::checkAtService(
    const std::string& key, int64_t expected, Deadline deadline, std::function<void(store::CheckResult)> done)
{
    this->metrics.platformCalls.Increment();
    const auto number = ++this->lastCheckNumber;
    if (done)
        this->waitingCheck = Check { number, expected, BootClock::now(), done };
    this->service.checkRevision(
        key, expected, deadline, [this, number, done = std::move(done)](const store::CheckResult& result) {
            const bool isFailure = std::holds_alternative<store::StoreFailure>(result);
            if (isFailure)
                this->recordServiceFailure();
            else
                this->recordServiceAnswer();
            const bool isWaiting = this->waitingCheck && this->waitingCheck->number == number;
            if (isWaiting)
                this->waitingCheck.reset();
            if (done && (isWaiting || !isFailure))
                done(result);
            this->endWatchFromBeforeOutage();
        });
}

void RelayedSource::recordServiceAnswer()
{
    if (!this->serviceProbeAt)
        return;
    logChange(LogLevel::Info, "the platform's service is available again");
    this->serviceProbeAt.reset();
    this->serviceRecoveredAt = Clock::now();
}

/// Completes a watch that was sent to the service before it recovered from an outage: its answer may have been lost,
/// and changes would be missed until it times out.
void RelayedSource::endWatchFromBeforeOutage()
{
    const bool isAtService = this->currentWatch && !this->currentWatch->peer;
    if (isAtService && !this->serviceProbeAt && this->currentWatch->sentToServiceAt < this->serviceRecoveredAt)
        this->completeWatch(store::Changes { {}, this->currentWatch->after, {} });
}

void RelayedSource::readPage(
    const std::string& prefix, const std::string& after, Deadline deadline, std::function<void(store::PageResult)> done)
{
    this->metrics.platformCalls.Increment();
    this->service.readPage(prefix, after, deadline, [this, done = std::move(done)](const store::PageResult& result) {
        if (std::holds_alternative<store::StoreFailure>(result))
            this->recordServiceFailure();
        else
            this->recordServiceAnswer();
        done(result);
    });
}

}
