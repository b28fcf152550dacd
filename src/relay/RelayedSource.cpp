#include "relay/RelayedSource.h"

#include "observe/Log.h"

namespace dragonfly::relay {

using observe::logChange;
using observe::LogLevel;

namespace {

    /// How long a peer waits for a change before it answers that there is none. The age of its proof is known to be
    /// no more than this in addition.
    constexpr std::chrono::milliseconds peerWait { 500 };
    /// Longest way there and back within a data centre, with a peer that is busy.
    constexpr std::chrono::milliseconds replySlack { 300 };
    /// A peer whose proof is older has lost the platform's service: it renews its proof each second.
    constexpr std::chrono::milliseconds oldestPeerProof { 1600 };
    /// A check is answered by a peer's proof up to this age, so that enough of a proof's validity is left to ask the
    /// service when the next one does not come.
    constexpr std::chrono::milliseconds oldestUsedProof { 2400 };
    /// How long a peer that did not answer is left out: each further try costs the time above.
    constexpr std::chrono::milliseconds silencePause { 3000 };
    /// How long a peer that knows too little is left out: it answers at once, and may know more soon.
    constexpr std::chrono::milliseconds ignorancePause { 1000 };
    /// Between two tries of a service that failed, while peers answer.
    constexpr std::chrono::milliseconds serviceProbePeriod { 2000 };
    /// Peers that one watch asks before it goes to the service.
    constexpr int mostPeersAsked = 2;

    store::Change changeOf(const pb::RecordChange& change)
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
    connect(&this->replyTimer, &QTimer::timeout, this, &RelayedSource::onPeerSilent);
}

void RelayedSource::watch(const std::string& prefix, int64_t after, Clock::time_point waitUntil, Deadline deadline,
    std::function<void(store::WatchResult)> done)
{
    this->replyTimer.stop();
    this->current
        = Watch { ++this->lastNumber, prefix, after, waitUntil, deadline, std::move(done), 0, std::nullopt, false, {} };
    this->askNext();
}

void RelayedSource::askNext()
{
    auto& watch = *this->current;
    const auto now = Clock::now();
    std::optional<Peer> peer;
    if (watch.prefix.empty() && watch.peersAsked < mostPeersAsked) {
        watch.isSubstitute = this->serviceProbeAt.has_value();
        peer = watch.isSubstitute ? this->ranking.findSubstitute(now) : this->ranking.findRelay(now);
    }
    if (peer)
        this->askPeer(*peer);
    else
        this->askService();
}

void RelayedSource::askPeer(const Peer& peer)
{
    auto& watch = *this->current;
    watch.number = ++this->lastNumber;
    watch.peer = peer;
    watch.askedAt = BootClock::now();
    ++watch.peersAsked;
    pb::PeerMessage message;
    message.set_reply_to(this->ranking.own().address);
    auto& question = *message.mutable_follow_records();
    question.set_question(watch.number);
    question.set_after(watch.after);
    question.set_wait_ms(static_cast<uint32_t>(peerWait.count()));
    if (this->silentPeers.erase(peer.instance)) {
        this->transport.drop(peer.address);
        question.set_renew_connection(true);
    }
    this->transport.send(peer.address, message);
    this->replyTimer.start(peerWait + replySlack);
}

void RelayedSource::askService()
{
    auto& watch = *this->current;
    watch.number = ++this->lastNumber;
    watch.peer.reset();
    this->noteFollowed(std::nullopt);
    this->metrics.platformCalls.Increment();
    this->service.watch(watch.prefix, watch.after, watch.waitUntil, watch.deadline,
        [this, number = watch.number](const store::WatchResult& result) { this->onServiceAnswer(number, result); });
}

void RelayedSource::onServiceAnswer(uint64_t number, const store::WatchResult& result)
{
    if (!this->current || this->current->number != number)
        return;
    if (std::holds_alternative<store::StoreFailure>(result)) {
        this->noteServiceFailure();
        if (this->current->peer)
            return; // it goes on at a peer
    } else {
        this->noteServiceAnswer();
    }
    this->finish(result);
}

void RelayedSource::onReply(const pb::RecordsReply& reply)
{
    if (!this->current || !this->current->peer || this->current->number != reply.question())
        return;
    this->replyTimer.stop();
    const auto& watch = *this->current;
    const std::chrono::milliseconds age(reply.proof_age_ms());
    if (!reply.known() || reply.revision() < watch.after) {
        this->giveUpPeer("does not know the changes", ignorancePause);
        return;
    }
    // Without the service any knowledge is better than none; what it is worth follows from the proof's age.
    const bool isSound = reply.first_hand() && age <= oldestPeerProof;
    if (!isSound && !watch.isSubstitute) {
        this->giveUpPeer("is cut off from the platform", ignorancePause);
        return;
    }
    if (age > oldestPeerProof)
        this->ranking.distrust(watch.peer->instance, Clock::now() + ignorancePause);
    // The peer answered after it was asked, so its proof is no older than this.
    const Proof told { reply.deployment_revision(), watch.askedAt - age };
    if (!this->proof || told.revision != this->proof->revision || told.provedAt > this->proof->provedAt)
        this->proof = told;
    this->noteFollowed(watch.peer->instance);
    store::Changes changes;
    changes.revision = reply.revision();
    for (const auto& change : reply.changes())
        changes.changes.push_back(changeOf(change));
    this->finish(changes);
}

void RelayedSource::onPeerSilent()
{
    if (!this->current || !this->current->peer)
        return;
    this->silentPeers.insert(this->current->peer->instance);
    this->giveUpPeer("does not answer", silencePause);
}

void RelayedSource::giveUpPeer(const char* reason, std::chrono::milliseconds pause)
{
    const auto instance = this->current->peer->instance;
    this->ranking.distrust(instance, Clock::now() + pause);
    logChange(LogLevel::Info, "peer left out", { { "peer", instance }, { "reason", reason } });
    this->askNext();
}

void RelayedSource::finish(const store::WatchResult& result)
{
    const auto done = std::move(this->current->done);
    this->current.reset();
    done(result);
}

void RelayedSource::noteFollowed(const std::optional<std::string>& peer)
{
    if (this->followedPeer == peer)
        return;
    this->followedPeer = peer;
    logChange(LogLevel::Info, "learns of the platform's records", { { "from", peer.value_or("the platform") } });
}

/// A watch that waits at the service could go unanswered for long: it goes on at a peer where there is one.
void RelayedSource::noteServiceFailure()
{
    if (!this->serviceProbeAt)
        logChange(LogLevel::Warning, "the platform's service does not answer",
            { { "known_instances", std::to_string(this->ranking.size()) } });
    this->serviceProbeAt = Clock::now() + serviceProbePeriod;
    const bool isAtService = this->current && !this->current->peer;
    if (isAtService && this->current->peersAsked < mostPeersAsked && this->ranking.findSubstitute(Clock::now()))
        this->askNext();
}

void RelayedSource::checkRevision(
    const std::string& key, int64_t expected, Deadline deadline, std::function<void(store::CheckResult)> done)
{
    const auto now = BootClock::now();
    // An instance that asks the service itself renews its proof there: others rely on it.
    const bool isProved = this->followedPeer && this->proof && this->proof->revision == expected
        && now - this->proof->provedAt <= oldestUsedProof;
    const bool isProbeDue = this->serviceProbeAt && Clock::now() >= *this->serviceProbeAt;
    if (!isProved) {
        this->askServiceToCheck(key, expected, deadline, std::move(done));
        return;
    }
    if (isProbeDue)
        this->askServiceToCheck(key, expected, deadline, nullptr);
    done(store::Unchanged { std::chrono::ceil<std::chrono::milliseconds>(now - this->proof->provedAt) });
}

/// @param done null when only whether the service answers is of interest
void RelayedSource::askServiceToCheck(
    const std::string& key, int64_t expected, Deadline deadline, std::function<void(store::CheckResult)> done)
{
    this->metrics.platformCalls.Increment();
    this->service.checkRevision(
        key, expected, deadline, [this, done = std::move(done)](const store::CheckResult& result) {
            if (std::holds_alternative<store::StoreFailure>(result))
                this->noteServiceFailure();
            else
                this->noteServiceAnswer();
            if (done)
                done(result);
        });
}

void RelayedSource::noteServiceAnswer()
{
    if (this->serviceProbeAt)
        logChange(LogLevel::Info, "the platform's service answers");
    this->serviceProbeAt.reset();
}

void RelayedSource::readPage(
    const std::string& prefix, const std::string& after, Deadline deadline, std::function<void(store::PageResult)> done)
{
    this->metrics.platformCalls.Increment();
    this->service.readPage(prefix, after, deadline, [this, done = std::move(done)](const store::PageResult& result) {
        if (std::holds_alternative<store::StoreFailure>(result))
            this->noteServiceFailure();
        else
            this->noteServiceAnswer();
        done(result);
    });
}

}
