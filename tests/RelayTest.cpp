// Relaying of the platform's records between instances: the history of changes, the choice of the followed peer, and
// request handling while the platform's service is unreachable for some instances.

#include "relay/Relay.h"
#include "platform/Platform.h"
#include "tests/support/FakeWatchableStore.h"
#include "tests/support/ForwardSite.h"

#include <criterion/criterion.h>

using namespace testing;
using namespace dragonfly;
using namespace dragonfly::relay;
using namespace std::chrono_literals;

namespace {

store::Change written(const std::string& key, int64_t revision, const std::string& value = "v")
{
    return { { key, value, revision }, false };
}

store::Change removed(const std::string& key, int64_t revision)
{
    return { { key, {}, revision }, true };
}

std::vector<int64_t> revisionsOf(const std::optional<std::vector<store::Change>>& changes)
{
    std::vector<int64_t> revisions;
    for (const auto& change : changes.value())
        revisions.push_back(change.pair.modRevision);
    return revisions;
}

/// A history with one whole read, at revision 10.
directory::RecordHistory historyAfterRead(size_t maxBytes = 1 << 20)
{
    directory::RecordHistory history(maxBytes);
    history.record(written("a", 3));
    history.record(written("b", 10));
    history.completeWholeRead({ "a", "b" }, 10);
    return history;
}

Peer peer(const std::string& instance, uint32_t capacity = 250, const std::string& dataCentre = "north-a")
{
    const auto region = dataCentre.substr(0, dataCentre.find('-'));
    return { instance, "127.0.0.1:" + std::to_string(1000 + fastHash(instance) % 50000), { region, dataCentre },
        capacity };
}

class FakeTransport : public membership::PeerTransport {
public:
    void send(const std::string& address, const pb::PeerMessage& message) override
    {
        this->sent.emplace_back(address, message);
    }
    void drop(const std::string& address) override
    {
        this->dropped.push_back(address);
    }

    std::vector<std::pair<std::string, pb::PeerMessage>> sent;
    std::vector<std::string> dropped;
};

/// Stands in for the platform's service; calls stay pending until a test answers them.
class FakeService : public store::RecordSource {
public:
    void readPage(const std::string&, const std::string&, Deadline, std::function<void(store::PageResult)>) override
    {
    }
    void watch(
        const std::string&, int64_t, Clock::time_point, Deadline, std::function<void(store::WatchResult)> done) override
    {
        this->watches.push_back(std::move(done));
    }
    void checkRevision(const std::string&, int64_t, Deadline, std::function<void(store::CheckResult)> done) override
    {
        this->checks.push_back(std::move(done));
    }

    std::vector<std::function<void(store::WatchResult)>> watches;
    std::vector<std::function<void(store::CheckResult)>> checks;
};

/// A store for the registry of instances; calls stay pending until a test answers them.
using FakeRegistryStore = testing::FakeWatchableStore;

int argumentCount = 0;

/// An instance of low capacity with two larger peers in its data centre and one in another.
struct Follower {
    QCoreApplication application { argumentCount, nullptr };
    FakeService service;
    FakeTransport transport;
    observe::Metrics metrics;
    PeerRanking ranking { peer("small", 120) };
    RelayedSource source { service, ranking, transport, metrics };
    std::optional<store::WatchResult> result;
    std::optional<store::CheckResult> checked; ///< answer to the latest check

    Follower()
    {
        this->ranking.add(peer("large", 500));
        this->ranking.add(peer("middle", 250));
        this->ranking.add(peer("far", 500, "south-a"));
    }
    void watch(int64_t after = 20, std::chrono::milliseconds timeLeft = 5s)
    {
        this->result.reset();
        this->source.watch("", after, Clock::now() + 4s, Clock::now() + timeLeft,
            [this](const store::WatchResult& received) { this->result = received; });
    }
    /// Answers the latest query as a peer that does not have the changes.
    void replyUnknown()
    {
        pb::RecordsReply reply;
        reply.set_question(this->transport.sent.back().second.follow_records().question());
        this->source.onReply(reply);
    }
    /// Name of the peer queried last; empty when none was.
    std::string queriedPeer() const
    {
        for (const auto* name : { "large", "middle", "far" }) {
            if (!this->transport.sent.empty() && this->transport.sent.back().first == peer(name).address)
                return name;
        }
        return "";
    }
    void reply(int64_t revision, std::chrono::milliseconds proofAge, bool firstHand = true,
        std::optional<std::chrono::milliseconds> revisionAge = std::nullopt)
    {
        pb::RecordsReply reply;
        reply.set_question(this->transport.sent.back().second.follow_records().question());
        reply.set_known(true);
        reply.set_first_hand(firstHand);
        reply.set_revision(revision);
        reply.set_deployment_revision(7);
        reply.set_proof_age_ms(static_cast<uint64_t>(proofAge.count()));
        if (revisionAge)
            reply.set_revision_age_ms(static_cast<uint64_t>(revisionAge->count()));
        this->source.onReply(reply);
    }
    /// Age of the proof that answers a check of revision 7; nothing when the check went to the service.
    std::optional<std::chrono::milliseconds> checkedProofAge()
    {
        this->checked.reset();
        this->source.checkRevision(
            "config", 7, Clock::now() + 1s, [this](const store::CheckResult& received) { this->checked = received; });
        if (!this->checked)
            return std::nullopt;
        return std::get<store::Unchanged>(*this->checked).age;
    }
};

}

Test(recordHistory, sinceReturnsChangesAfterRevision)
{
    auto history = historyAfterRead();
    cr_assert(history.since(10)->empty());
    cr_assert_not(history.since(9).has_value(), "changes before the whole read are unknown");
    history.record(written("c", 11));
    history.record(written("a", 13));
    history.record(removed("c", 14));
    history.advance(14);
    cr_assert_eq(revisionsOf(history.since(10)), (std::vector<int64_t> { 11, 13, 14 }));
    cr_assert_eq(revisionsOf(history.since(13)), (std::vector<int64_t> { 14 }));
    cr_assert_eq(history.revision(), 14);
}

Test(recordHistory, replayedChangesAreIgnored)
{
    auto history = historyAfterRead();
    history.record(written("c", 11));
    history.record(removed("c", 12));
    history.advance(12);
    for (const auto& change : { written("c", 11), removed("c", 12), written("a", 3) })
        history.record(change);
    cr_assert_eq(revisionsOf(history.since(10)), (std::vector<int64_t> { 11, 12 }));
}

Test(recordHistory, furtherWholeReadAddsMissedChangesAndRemovals)
{
    auto history = historyAfterRead();
    // The watch ended at revision 12. The read at 20 lists a new and a changed record and no longer lists "b".
    history.record(written("c", 12));
    history.advance(12);
    history.record(written("a", 15));
    history.record(written("d", 18));
    history.record(written("c", 12));
    history.completeWholeRead({ "a", "c", "d" }, 20);
    cr_assert_eq(revisionsOf(history.since(12)), (std::vector<int64_t> { 15, 18, 20 }));
    const auto last = history.since(18)->back();
    cr_assert(last.isRemoval);
    cr_assert_eq(last.pair.key, "b");
}

Test(recordHistory, oldestChangesAreDroppedAtByteLimit)
{
    auto history = historyAfterRead(2000);
    for (int64_t revision = 11; revision <= 60; ++revision)
        history.record(written("key", revision, std::string(100, 'x')));
    history.advance(60);
    cr_assert_not(history.since(11).has_value(), "the changes behind revision 11 were dropped");
    const auto kept = revisionsOf(history.since(55));
    cr_assert_eq(kept.front(), 56);
    cr_assert_eq(kept.size(), 5);
}

Test(peerRanking, instancesFollowHighestCapacityInTheirDataCentre)
{
    const auto now = Clock::now();
    const std::vector<Peer> peers { peer("a", 120), peer("b", 500), peer("c", 500), peer("d", 500, "south-a") };
    std::set<std::string> followed;
    int leaders = 0;
    for (const auto& self : peers) {
        PeerRanking ranking(self);
        for (const auto& other : peers)
            ranking.add(other);
        const auto relay = ranking.findRelay(now);
        leaders += !relay;
        if (relay) {
            cr_assert_eq(relay->place.dataCentre, self.place.dataCentre);
            followed.insert(relay->instance);
        }
    }
    cr_assert_eq(leaders, 2, "one instance of each data centre follows no peer");
    cr_assert_eq(followed.size(), 1);
    cr_assert_neq(*followed.begin(), "a");
}

Test(peerRanking, excludedPeerIsSkippedUntilExpiry)
{
    const auto now = Clock::now();
    PeerRanking ranking(peer("small", 120));
    ranking.add(peer("large", 500));
    ranking.add(peer("far", 500, "south-a"));
    ranking.exclude("large", ExclusionReason::Silent, now + 3s);
    cr_assert_not(ranking.findRelay(now).has_value());
    cr_assert_eq(ranking.findFallback(now)->instance, "far");
    cr_assert_eq(ranking.findRelay(now + 3s)->instance, "large");
    ranking.remove("large");
    cr_assert_not(ranking.findRelay(now + 3s).has_value());
}

Test(peerRanking, stalePeerIsAFallbackWhenAllPeersAreExcluded)
{
    const auto now = Clock::now();
    PeerRanking ranking(peer("small", 120));
    for (const auto* name : { "large", "middle", "silent" })
        ranking.add(peer(name, 250));
    ranking.exclude("large", ExclusionReason::Stale, now + 1000ms);
    ranking.exclude("middle", ExclusionReason::Stale, now + 700ms);
    ranking.exclude("silent", ExclusionReason::Silent, now + 100ms);
    cr_assert_not(ranking.findRelay(now).has_value());
    cr_assert_eq(ranking.findFallback(now)->instance, "middle", "its exclusion ends first");
    cr_assert_eq(ranking.findFallback(now + 100ms)->instance, "silent");
    ranking.remove("large");
    ranking.remove("middle");
    cr_assert_not(ranking.findFallback(now).has_value(), "a silent peer is not queried while it is excluded");
}

Test(peerRanking, unregisteredPeerIsRemovedWhenSilent)
{
    const auto now = Clock::now();
    PeerRanking ranking(peer("small", 120));
    ranking.addUnregistered(peer("new"));
    ranking.exclude("new", ExclusionReason::Stale, now);
    cr_assert_eq(ranking.findRelay(now)->instance, "new");
    ranking.exclude("new", ExclusionReason::Silent, now + 3s);
    cr_assert_eq(ranking.size(), 0);
    ranking.add(peer("new"));
    auto moved = peer("new");
    moved.address = "127.0.0.1:1";
    ranking.addUnregistered(moved);
    cr_assert_eq(*ranking.findAddress("new"), peer("new").address, "the platform's record takes precedence");
    ranking.exclude("new", ExclusionReason::Silent, now + 3s);
    cr_assert_eq(ranking.size(), 1);
}

Test(relayedSource, changesOfAPeerAreNoNewerThanThePeersKnowledge)
{
    Follower follower;
    const auto before = BootClock::now();
    follower.watch();
    const auto queried = BootClock::now();
    runFor(200ms);
    follower.reply(25, 900ms, true, 1500ms);
    cr_assert_leq(std::get<store::Changes>(*follower.result).asOf, queried - 1500ms);
    cr_assert_geq(std::get<store::Changes>(*follower.result).asOf, before - 1500ms);
    follower.watch();
    follower.reply(26, 900ms);
    cr_assert_eq(std::get<store::Changes>(*follower.result).asOf, BootClock::time_point(), "not reported by the peer");
}

Test(relayedSource, peerReplyDeliversChangesAndProofAge)
{
    Follower follower;
    follower.watch();
    cr_assert_eq(follower.queriedPeer(), "large");
    runFor(200ms);
    follower.reply(25, 900ms);
    cr_assert_eq(std::get<store::Changes>(*follower.result).revision, 25);
    // The time since the query counts, because the peer may have replied with its proof right after the query was sent.
    const auto age = follower.checkedProofAge();
    cr_assert(age.has_value());
    cr_assert_geq(age->count(), 1100);
    cr_assert(follower.service.watches.empty() && follower.service.checks.empty());
}

Test(relayedSource, ageThatDoesNotFitIsNotTakenForRecent)
{
    for (const uint64_t age : { ~uint64_t { 0 }, uint64_t { 1 } << 63, uint64_t { 1 } << 62, uint64_t { 1 } << 45 }) {
        Follower follower;
        follower.watch();
        follower.reply(25, std::chrono::milliseconds(static_cast<int64_t>(age)));
        cr_expect_not(follower.result.has_value(), "a proof of %zu ms", static_cast<size_t>(age));
        cr_expect_not(follower.checkedProofAge().has_value());
        follower.reply(25, 900ms, true, std::chrono::milliseconds(static_cast<int64_t>(age)));
        cr_expect_not(follower.result.has_value(), "records of %zu ms", static_cast<size_t>(age));
    }
}

Test(relayedSource, silentPeerIsExcludedAndNextSourceQueried)
{
    Follower follower;
    follower.watch();
    cr_assert(waitUntil([&] { return follower.queriedPeer() == "middle"; }, 2s));
    cr_assert(waitUntil([&] { return follower.service.watches.size() == 1; }, 2s));
    follower.service.watches.front()(store::Changes { {}, 30, {} });
    cr_assert_eq(std::get<store::Changes>(*follower.result).revision, 30);
    follower.watch(30);
    cr_assert_eq(follower.service.watches.size(), 2, "both silent peers stay excluded");
}

Test(relayedSource, replyWithStaleProofOrOldRevisionIsRejected)
{
    Follower follower;
    follower.watch();
    follower.reply(25, 3s);
    cr_assert_not(follower.result.has_value());
    cr_assert_eq(follower.queriedPeer(), "middle");
    follower.reply(19, 100ms);
    cr_assert_not(follower.result.has_value(), "the peer's revision is older than that of this instance");
    cr_assert_eq(follower.service.watches.size(), 1);
    cr_assert_not(follower.checkedProofAge().has_value());
}

Test(relayedSource, replyOfPeerThatFollowsAnotherPeerIsRejected)
{
    Follower follower;
    follower.watch();
    follower.reply(25, 100ms, false);
    cr_assert_not(follower.result.has_value(), "otherwise two instances could follow each other");
    cr_assert_eq(follower.queriedPeer(), "middle");
    follower.reply(25, 100ms);
    cr_assert(follower.result.has_value());
    runFor(1100ms);
    follower.watch(25);
    cr_assert_eq(follower.queriedPeer(), "large",
        "queried again after its exclusion, since it may query the service itself by now");
}

Test(relayedSource, replyWithOldRecordsAndARecentProofIsRejected)
{
    Follower follower;
    follower.watch();
    cr_assert_eq(follower.queriedPeer(), "large");
    follower.reply(25, 100ms, true, 10s);
    cr_assert_not(follower.result.has_value(), "accepted records that the peer last saw complete 10 s ago");
}

Test(relayedSource, replyOfAPeerThatHasJustLostItsOwnSourceIsAccepted)
{
    Follower follower;
    follower.watch();
    follower.reply(25, 100ms, true, 6s); // its first watch at the service has not ended yet
    cr_assert_eq(std::get<store::Changes>(*follower.result).revision, 25);
}

Test(relayedSource, staleReplyIsAcceptedWhileServiceFails)
{
    Follower follower;
    follower.ranking.remove("far");
    cr_assert_not(follower.checkedProofAge().has_value());
    follower.service.checks.front()(store::StoreFailure::NotExecuted);
    follower.watch();
    follower.reply(25, 3s, false);
    cr_assert(follower.result.has_value());
    const auto former = follower.queriedPeer();
    follower.watch(25);
    cr_assert_neq(follower.queriedPeer(), former, "another peer may have a newer proof");
}

Test(relayedSource, checkGoesToServiceWhenPeerProofIsTooOld)
{
    Follower follower;
    follower.watch();
    follower.reply(25, 1500ms);
    cr_assert(follower.checkedProofAge().has_value());
    runFor(1100ms);
    cr_assert_not(follower.checkedProofAge().has_value());
    cr_assert_eq(follower.service.checks.size(), 1);
}

Test(relayedSource, checkGoesToServiceWhenNoPeerIsFollowed)
{
    Follower follower;
    follower.watch();
    follower.reply(25, 100ms);
    cr_assert(follower.checkedProofAge().has_value());
    for (const auto* name : { "large", "middle" })
        follower.ranking.remove(name);
    follower.watch(25);
    cr_assert_eq(follower.service.watches.size(), 1);
    cr_assert_not(follower.checkedProofAge().has_value(), "the recent proof of a former peer is not renewed");
}

Test(relayedSource, lateReplyIsIgnored)
{
    Follower follower;
    follower.watch();
    const auto number = follower.transport.sent.back().second.follow_records().question();
    cr_assert(waitUntil([&] { return follower.queriedPeer() == "middle"; }, 2s));
    pb::RecordsReply late;
    late.set_question(number);
    late.set_known(true);
    late.set_revision(40);
    follower.source.onReply(late);
    cr_assert_not(follower.result.has_value());
    follower.reply(25, 100ms);
    cr_assert_eq(std::get<store::Changes>(*follower.result).revision, 25);
}

Test(relayedSource, watchMovesToFallbackPeerWhenServiceFails)
{
    Follower follower;
    for (const auto* name : { "large", "middle" })
        follower.ranking.remove(name);
    follower.watch();
    cr_assert_eq(
        follower.service.watches.size(), 1, "the highest-ranked instance of its data centre queries the service");
    cr_assert_not(follower.checkedProofAge().has_value());
    follower.service.checks.front()(store::StoreFailure::Unknown);
    cr_assert_eq(follower.queriedPeer(), "far", "the watch at the service may stay unanswered");
    follower.reply(25, 300ms);
    cr_assert_eq(std::get<store::Changes>(*follower.result).revision, 25);
    cr_assert(follower.checkedProofAge().has_value());
    follower.service.watches.front()(store::Changes { {}, 24, {} }); // late, so ignored
    runFor(2100ms);
    follower.watch(25);
    follower.reply(26, 300ms);
    cr_assert(follower.checkedProofAge().has_value());
    cr_assert_eq(follower.service.checks.size(), 2, "the service is probed, and the check does not wait for it");
    follower.service.checks.back()(store::Unchanged {});
    follower.watch(26);
    cr_assert_eq(follower.service.watches.size(), 2);
}

Test(relayedSource, proofOfAPeerIsUsedWhileACheckWaitsForTheService)
{
    Follower follower;
    follower.watch();
    follower.reply(25, 2500ms); // relayed on, but too old for a check
    cr_assert_not(follower.checkedProofAge().has_value());
    cr_assert_eq(follower.service.checks.size(), 1);
    follower.watch(25);
    follower.reply(26, 300ms);
    cr_assert(follower.checked && std::holds_alternative<store::Unchanged>(*follower.checked));
    const auto age = std::get<store::Unchanged>(*follower.checked).age;
    cr_assert(age > 200ms && age <= 300ms, "%ld ms at the time of the check", static_cast<long>(age.count()));
    follower.service.checks.back()(store::StoreFailure::Unknown);
    cr_assert(std::holds_alternative<store::Unchanged>(*follower.checked));
}

Test(relayedSource, answerOfTheServiceCountsAlsoAfterAProofOfAPeer)
{
    Follower follower;
    follower.watch();
    follower.reply(25, 2500ms);
    cr_assert_not(follower.checkedProofAge().has_value());
    follower.watch(25);
    follower.reply(26, 300ms);
    follower.service.checks.back()(store::Conflict { { "config", "{}", 9 } });
    cr_assert(follower.checked && std::holds_alternative<store::Conflict>(*follower.checked));
}

Test(relayedSource, checkOfARevisionThatNoPeerHasProvedWaitsForTheService)
{
    Follower follower;
    follower.watch();
    follower.source.checkRevision(
        "config", 8, Clock::now() + 1s, [&](const store::CheckResult& received) { follower.checked = received; });
    follower.reply(25, 300ms);
    cr_assert_not(follower.checked.has_value());
    follower.service.checks.back()(store::StoreFailure::Unknown);
    cr_assert(follower.checked && std::holds_alternative<store::StoreFailure>(*follower.checked));
}

Test(relayedSource, watchFromBeforeAnOutageEndsOnRecovery)
{
    Follower follower;
    for (const auto* name : { "large", "middle", "far" })
        follower.ranking.remove(name);
    cr_assert_eq(follower.source.lastOutageEnd(), Clock::time_point(), "no outage yet");
    follower.watch();
    cr_assert_eq(follower.service.watches.size(), 1);
    cr_assert_not(follower.checkedProofAge().has_value());
    follower.service.checks.back()(store::StoreFailure::Unknown);
    cr_assert_not(follower.result.has_value(), "no peer can replace the service");
    cr_assert_geq(follower.source.lastOutageEnd(), Clock::now() - 10ms, "the outage lasts");
    cr_assert_not(follower.checkedProofAge().has_value());
    follower.service.checks.back()(store::Unchanged {});
    cr_assert_eq(std::get<store::Changes>(*follower.result).revision, 20);
    const auto end = follower.source.lastOutageEnd();
    runFor(20ms);
    cr_assert_eq(follower.source.lastOutageEnd(), end);
    follower.watch();
    follower.service.watches.front()(store::StoreFailure::Unknown);
    cr_assert_not(follower.result.has_value(), "the late answer to the former watch is ignored");
}

Test(relayedSource, rejectedPeersAreQueriedAgainWhenServiceFails)
{
    Follower follower;
    follower.ranking.remove("far");
    int proofRenewals = 0;
    follower.source.onServiceFollowed = [&proofRenewals] { ++proofRenewals; };
    follower.watch(20);
    follower.reply(25, 100ms);
    cr_assert_eq(proofRenewals, 0);
    follower.watch(25);
    follower.reply(25, 3s);
    follower.reply(25, 3s);
    cr_assert_eq(follower.service.watches.size(), 1, "neither peer has a recent proof");
    cr_assert_eq(proofRenewals, 1, "peers may rely on the proof of this instance now");
    const auto queries = follower.transport.sent.size();
    runFor(3s); // the last proof is too old to answer a check
    cr_assert_not(follower.checkedProofAge().has_value());
    follower.service.checks.back()(store::StoreFailure::Unknown);
    cr_assert_eq(follower.transport.sent.size(), queries + 1, "the watch at the service may stay unanswered");
    follower.reply(26, 100ms);
    cr_assert_eq(std::get<store::Changes>(*follower.result).revision, 26);
}

Test(relayedSource, stalePeersAreQueriedRatherThanAFailedService)
{
    Follower follower;
    follower.ranking.remove("far");
    cr_assert_not(follower.checkedProofAge().has_value());
    follower.service.checks.front()(store::StoreFailure::Unknown);
    for (int i = 0; i < 6; ++i) {
        follower.watch(25);
        follower.reply(25, 3s, false);
        cr_assert(follower.result.has_value());
    }
    cr_assert(follower.service.watches.empty());
    follower.watch(25);
    follower.reply(26, 100ms);
    cr_assert(follower.checkedProofAge().has_value(), "one of them has reached the service meanwhile");
}

// Instances that start in an outage do not know the revision of one that lived through it.
Test(relayedSource, watchThatNoSourceAnswersEndsAtItsDeadline)
{
    Follower follower;
    follower.ranking.remove("far");
    follower.watch(20, 400ms);
    follower.replyUnknown();
    follower.replyUnknown();
    cr_assert_eq(follower.service.watches.size(), 1);
    runFor(500ms);
    follower.service.watches.front()(store::StoreFailure::Unknown);
    cr_assert_not(follower.result.has_value(), "a peer may replace the service");
    follower.replyUnknown();
    follower.replyUnknown();
    cr_assert(follower.result && std::holds_alternative<store::StoreFailure>(*follower.result),
        "a watch whose deadline has passed cannot be answered by the service");
    cr_assert_eq(follower.service.watches.size(), 1, "sent to the service after its deadline");
    follower.watch();
    follower.replyUnknown();
    follower.replyUnknown();
    cr_assert_eq(follower.service.watches.size(), 2);
    follower.service.watches.back()(store::Changes { {}, 30, {} });
    cr_assert_eq(std::get<store::Changes>(*follower.result).revision, 30);
}

// A service that refuses at once and peers without the changes must not be queried in turn at the pace of their
// answers.
Test(relayedSource, watchLeavesAFailingServiceForItsPeersOnce)
{
    Follower follower;
    follower.ranking.remove("far");
    follower.watch();
    for (size_t round = 0; round < 4 && !follower.result; ++round) {
        follower.replyUnknown();
        follower.replyUnknown();
        follower.service.watches.back()(store::StoreFailure::NotExecuted);
    }
    cr_assert(follower.result && std::holds_alternative<store::StoreFailure>(*follower.result));
    cr_assert_eq(follower.service.watches.size(), 2);
    cr_assert_eq(follower.transport.sent.size(), 4);
}

// Peers answer watches of all keys only.
Test(relayedSource, watchOfAPrefixThatFailsAtTheServiceIsNotSentAgain)
{
    Follower follower;
    std::optional<store::WatchResult> result;
    follower.source.watch("own/", 20, Clock::now() + 4s, Clock::now() + 5s,
        [&](const store::WatchResult& received) { result = received; });
    follower.service.watches.front()(store::StoreFailure::NotExecuted);
    cr_assert(result && std::holds_alternative<store::StoreFailure>(*result));
    cr_assert_eq(follower.service.watches.size(), 1);
}

Test(recordRelay, followerIsKnownBeforeItsRecord)
{
    Follower follower;
    const platform::RecordCodec records;
    directory::Directory directory(4s);
    directory::DirectorySync sync(follower.source, records, directory, follower.metrics);
    RecordRelay relay(follower.transport, follower.source, sync, directory, follower.ranking);
    pb::FollowRecords query;
    query.set_question(9);
    query.set_wait_ms(500);
    *query.mutable_follower() = toRecord(peer("new"));
    relay.onQuery(peer("new").address, query);
    cr_assert_eq(follower.ranking.findAddress("new").value(), peer("new").address);
    const auto& [address, reply] = follower.transport.sent.back();
    cr_assert_eq(address, peer("new").address);
    cr_assert_eq(reply.records_reply().question(), 9);
    cr_assert_not(reply.records_reply().known(), "this instance has read no records yet");
    query.mutable_follower()->set_instance("broken");
    query.mutable_follower()->set_address("no address");
    relay.onQuery(peer("new").address, query);
    cr_assert_not(follower.ranking.findAddress("broken").has_value());
}

Test(instanceRegistry, formerAddressIsReportedOnAddressChangeAndInvalidRecord)
{
    Follower follower;
    http::ClientPool connections;
    platform::StoreClient store({ "127.0.0.1", 1 }, &connections); // never called
    InstanceRegistry registry(store, follower.ranking, follower.metrics);
    std::vector<std::string> formerAddresses; // the daemon drops its connections to these
    registry.onAddressReleased = [&formerAddresses](const std::string& address) { formerAddresses.push_back(address); };
    const auto recordOf = [](const std::string& instance, const std::string& address) {
        pb::PeerAddress record;
        record.set_instance(instance);
        record.set_address(address);
        record.set_data_centre("north-a");
        return store::KeyValue { InstanceRegistry::keyPrefix + instance, record.SerializeAsString(), 5 };
    };
    registry.onRecord(recordOf("new", "10.0.0.1:7"), true);
    cr_assert_eq(*follower.ranking.findAddress("new"), "10.0.0.1:7");
    registry.onRecord(recordOf("new", "10.0.0.2:7"), true);
    cr_assert_eq(formerAddresses.back(), "10.0.0.1:7");
    registry.onRecord({ InstanceRegistry::keyPrefix + std::string("new"), "no record", 6 }, true);
    cr_assert_eq(formerAddresses.back(), "10.0.0.2:7");
    cr_assert_not(follower.ranking.findAddress("new").has_value());
    registry.onRecord(recordOf("new", "no address"), true);
    cr_assert_not(follower.ranking.findAddress("new").has_value());
    cr_assert_eq(formerAddresses.size(), 2);
}

Test(instanceRegistry, lostRecordIsWrittenAgainAndItsLeaseNotRenewed)
{
    Follower follower;
    FakeRegistryStore store;
    InstanceRegistry registry(store, follower.ranking, follower.metrics, { 60s, 30ms, 0ms });
    registry.start();
    cr_assert(waitUntil([&] { return store.grants.size() == 1; }, 1s));
    store.grants.front()(int64_t { 7 });
    store.puts.front()(Success {});
    cr_assert(waitUntil([&] { return store.renewals.size() == 1; }, 1s));
    store.renewals.front()(int64_t { 7 });
    registry.onRecord({ InstanceRegistry::keyPrefix + follower.ranking.own().instance, {}, 9 }, false);
    cr_assert(waitUntil([&] { return store.grants.size() == 2; }, 1s));
    runFor(100ms);
    cr_assert_eq(store.renewals.size(), 1, "the lease of the lost record is not renewed");
    store.grants.back()(int64_t { 8 });
    store.puts.back()(Success {});
    cr_assert(waitUntil([&] { return store.renewals.size() == 2; }, 1s));
}

Test(instanceRegistry, renewalThatIsDueWhileTheRecordIsLostIsSkipped)
{
    Follower follower;
    FakeRegistryStore store;
    InstanceRegistry registry(store, follower.ranking, follower.metrics, { 60s, 30ms, 1500ms });
    registry.start();
    cr_assert(waitUntil([&] { return store.grants.size() == 1; }, 3s));
    store.grants.front()(int64_t { 7 });
    store.puts.front()(Success {});
    // Registers again after a random delay of up to 1.5 s, while the renewal would be due after 30 ms.
    registry.onRecord({ InstanceRegistry::keyPrefix + follower.ranking.own().instance, {}, 9 }, false);
    cr_assert(waitUntil([&] { return store.grants.size() == 2; }, 3s));
    cr_assert(store.renewals.empty());
}

Test(instanceRegistry, instanceRegistersAgainAfterTheStoreReturnedAndLeavesItsFormerLeaseAlone)
{
    Follower follower;
    FakeRegistryStore store;
    InstanceRegistry registry(store, follower.ranking, follower.metrics, { 60s, 30ms, 0ms });
    registry.start();
    cr_assert(waitUntil([&] { return store.grants.size() == 1; }, 1s));
    store.grants.front()(int64_t { 7 });
    store.puts.front()(Success {});
    cr_assert(waitUntil([&] { return store.renewals.size() == 1; }, 1s));
    registry.onStoreReturned();
    store.renewals.front()(int64_t { 7 }); // the id may be that of another instance's lease by now
    cr_assert(waitUntil([&] { return store.grants.size() == 2; }, 1s));
    runFor(100ms);
    cr_assert_eq(store.renewals.size(), 1);
    cr_assert(store.endedLeases.empty());
    // A registration that began before a return is repeated after it.
    registry.onStoreReturned();
    store.grants.back()(int64_t { 8 });
    store.puts.back()(Success {});
    cr_assert(waitUntil([&] { return store.grants.size() == 3; }, 1s));
    store.grants.back()(int64_t { 9 });
    store.puts.back()(Success {});
    cr_assert(waitUntil([&] { return store.renewals.size() == 2; }, 1s));
}

Test(instanceRegistry, registrationInProgressIsUndoneOnStop)
{
    Follower follower;
    for (const bool isWriting : { false, true }) {
        FakeRegistryStore store;
        InstanceRegistry registry(store, follower.ranking, follower.metrics, { 60s, 30ms, 0ms });
        registry.start();
        cr_assert(waitUntil([&] { return store.grants.size() == 1; }, 1s));
        if (isWriting)
            store.grants.front()(int64_t { 7 });
        registry.stop();
        if (isWriting)
            store.puts.front()(store::StoreFailure::Unknown);
        else
            store.grants.front()(int64_t { 7 });
        cr_assert_eq(store.puts.size(), isWriting ? 1 : 0);
        cr_assert_eq(store.endedLeases, (std::vector<int64_t> { 7 }));
    }
}

Test(relay, followersKnowWhenWeightsWereReplaced)
{
    const Application application;
    ForwardSite site;
    site.startEntry(true, "processorShare: 0.5\n");
    auto& follower = site.startEntry(true, "processorShare: 0.1\n");
    cr_assert(waitUntil([&] { return follower.printedLine("from=entry-0"); }, 5s));
    runFor(3s); // until each has seen an answer that followed the first read
    site.setWantedWeights(2);
    cr_assert(waitUntil([&] { return follower.printedLine("model=m version=2 max_age_ms="); }, 3s));
    cr_assert_not(follower.printedLine("version=2 max_age_ms=unknown"));
}

namespace {

/// The instance that the others follow is cut off from the platform's service for nine seconds. All instances must
/// answer requests with keys in that time, and still apply a new configuration.
/// @param mode fault of the proxy between that instance and the service
void checkRequestsSucceedDuringOutage(const char* mode)
{
    const Application application;
    ForwardSite site;
    site.startEntry(true, "processorShare: 0.2\n");
    site.startEntry(true, "processorShare: 0.2\n");
    Process proxy("standin-proxy", { "--to", QString::fromStdString(site.store->address().toString()) }, "control");
    site.startEntry(true, "processorShare: 0.5\n", proxy.address());
    const auto statusOf = [&](size_t entry) {
        const auto status = get(site.entries[entry]->address("admin"), "/status");
        require(waitFor(status), "no status");
        return status->json();
    };
    for (size_t entry : { 0u, 1u })
        cr_assert(waitUntil([&] { return statusOf(entry)["records_from"] == "entry-2"; }, 10s));
    cr_assert(statusOf(2)["records_from"] == "platform",
        "the instance with the highest capacity queries the platform itself");
    control(proxy.address("control"), { { "mode", mode } });
    int served = 0;
    std::string failed; ///< instance and answer of each failed request
    int sent = 0;
    for (const auto end = Clock::now() + 9s; Clock::now() < end; runFor(100ms)) {
        for (size_t entry : { 0u, 1u, 2u }) {
            ++sent;
            const auto answer = site.sendAndWait({ "r" + std::to_string(sent), "/book/x" }, entry);
            served += answer->status == 200;
            if (answer->status != 200)
                failed += " " + std::to_string(entry) + ": " + std::to_string(answer->status) + " " + answer->body;
        }
    }
    cr_assert_eq(served, sent, "%d of %d requests with keys succeeded, failed:%s", served, sent, failed.c_str());
    cr_assert(statusOf(2)["records_from"].toString().startsWith("entry-"));
    // A configuration relayed by a peer takes effect as fast as one read from the service.
    site.publish({ "new-key" });
    for (size_t entry : { 0u, 1u, 2u })
        cr_assert(waitUntil([&] { return site.sendAndWait({ "q", "/book/x" }, entry)->status == 401; }, 3s));
    control(proxy.address("control"), { { "mode", "pass" } });
    cr_assert(waitUntil([&] { return statusOf(2)["records_from"] == "platform"; }, 10s));
}

}

Test(relay, requestsSucceedWhileServiceConnectionsAreCut, .timeout = 60)
{
    checkRequestsSucceedDuringOutage("cut");
}

Test(relay, requestsSucceedWhileServiceAnswersAreDropped, .timeout = 60)
{
    checkRequestsSucceedDuringOutage("drop-answers");
}

Test(relay, platformCallsDoNotGrowWithInstanceCount, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    const auto callsIn = [&site](std::chrono::milliseconds time) {
        const auto before = site.controlStore({})["calls"].toInt();
        runFor(time);
        return site.controlStore({})["calls"].toInt() - before;
    };
    site.startEntry(true, "processorShare: 0.5\n");
    runFor(3s);
    const auto alone = callsIn(4s);
    for (int i = 0; i < 5; ++i)
        site.startEntry(true, "processorShare: 0.1\n");
    runFor(5s);
    const auto together = callsIn(4s);
    cr_assert_leq(together, alone + 2, "%d calls of six instances, %d of one", together, alone);
}

Test(relay, configurationArrivesInTimeAfterFollowedInstanceFreezes, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.startEntry(true, "processorShare: 0.1\n");
    site.startEntry(true, "processorShare: 0.2\n");
    auto& followed = site.startEntry(true, "processorShare: 0.5\n");
    runFor(3s);
    followed.freeze();
    const auto published = Clock::now();
    site.publish({ "new-key" });
    for (size_t entry : { 0u, 1u })
        cr_assert(waitUntil([&] { return site.sendAndWait({ "q", "/book/x" }, entry)->status == 401; }, 5s));
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - published);
    cr_assert_lt(elapsed.count(), 2500, "a configuration must be in force within 3 s, took %d ms",
        static_cast<int>(elapsed.count()));
    followed.thaw();
    const auto stale = site.sendAndWait({ "q", "/book/x" }, 2);
    cr_assert_neq(stale->status, 200, "the thawed instance cannot prove its old configuration");
}

Test(relay, followedInstanceFreezesWhileServiceAnswersAreDropped, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.startEntry(true, "processorShare: 0.5\n");
    site.startEntry(true, "processorShare: 0.2\n");
    Process proxy("standin-proxy", { "--to", QString::fromStdString(site.store->address().toString()) }, "control");
    site.startEntry(true, "processorShare: 0.1\n", proxy.address());
    runFor(3s);
    control(proxy.address("control"), { { "mode", "drop-answers" } });
    site.entries[0]->freeze();
    int sent = 0;
    for (const auto end = Clock::now() + 8s; Clock::now() < end; runFor(100ms)) {
        const auto answer = site.sendAndWait({ "r" + std::to_string(++sent), "/book/x" }, 2);
        cr_assert_eq(answer->status, 200, "request %d: %d %s", sent, answer->status, answer->body.c_str());
    }
    site.entries[0]->thaw();
}

Test(relay, instanceWithoutRepliesOfPeersFollowsTheService, .timeout = 60)
{
    // One-way cut between peers: queries arrive, replies do not. Without the service nothing can be proved then.
    const Application application;
    ForwardSite site;
    site.startEntry(true, "processorShare: 0.5\n");
    Process storeProxy("standin-proxy", { "--to", site.store->address().toString().c_str() }, "control");
    Process peerProxy("standin-proxy", { "--to", "127.0.0.1:1" }, "control"); // nothing listens there
    site.startEntry(
        true, "processorShare: 0.1\npeersAdvertised: " + peerProxy.address().toString() + "\n", storeProxy.address());
    int sent = 0;
    for (const auto end = Clock::now() + 6s; Clock::now() < end; runFor(100ms)) {
        const auto answer = site.sendAndWait({ "r" + std::to_string(++sent), "/book/x" }, 1);
        cr_assert_eq(answer->status, 200, "request %d: %d %s", sent, answer->status, answer->body.c_str());
    }
    control(storeProxy.address("control"), { { "mode", "cut" } });
    runFor(5s);
    const auto answer = site.sendAndWait({ "q", "/book/x" }, 1);
    cr_assert_eq(answer->status, 503);
    cr_assert_eq(answer->execution(), "not-run");
}

namespace {

/// Registrations expire while the service answers nobody. Targets keep their place for a moment after the service is
/// back, since running ones register again, and then count as gone.
void checkExpiredTargetsAreKept(std::chrono::milliseconds outage)
{
    const Application application;
    ForwardSite site;
    site.startEntry(true, "processorShare: 0.5\n");
    for (int i = 0; i < 3; ++i)
        site.startEntry(true, "processorShare: 0.1\n");
    runFor(3s);
    const auto targetsAt = [&site](size_t entry) {
        const auto status = get(site.entries[entry]->address("admin"), "/status");
        require(waitFor(status), "no status");
        return status->json()["targets"].toArray().size();
    };
    site.controlStore({ { "mode", "silent" } });
    for (const auto* id : { "service-0", "service-1" })
        site.controlStore({ { "remove", QString("servers/") + id } });
    runFor(outage);
    site.controlStore({ { "mode", "up" } });
    runFor(1s);
    for (size_t entry = 0; entry < 4; ++entry)
        cr_assert_eq(targetsAt(entry), 4, "instance %zu", entry);
    // A call in progress fails after 1 s and is repeated within 0.8 s; the grace period is 2.2 s.
    for (size_t entry = 0; entry < 4; ++entry)
        cr_assert(waitUntil([&] { return targetsAt(entry) == 2; }, 4s), "instance %zu", entry);
}

}

// Registrations are renewed each 1.2 s and expire after three missed renewals, so none expires in a shorter outage.
Test(relay, targetsKeepTheirPlaceAfterAShortOutage, .timeout = 60)
{
    checkExpiredTargetsAreKept(2400ms);
}

Test(relay, targetsKeepTheirPlaceAfterALongOutage, .timeout = 60)
{
    checkExpiredTargetsAreKept(5500ms);
}
