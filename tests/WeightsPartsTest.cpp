// Unit tests of leader election, rollout planning and the confirmation of replaced weights.

#include "tests/support/Process.h"
#include "tests/support/RefusingStore.h"
#include "weights/LeaderLease.h"
#include "weights/RolloutPlan.h"
#include "weights/WeightsRollout.h"

#include <QCoreApplication>
#include <criterion/criterion.h>
#include <random>
#include <set>

using namespace dragonfly;
using namespace dragonfly::weights;
using testing::RefusingStore;
using testing::require;
using namespace std::chrono_literals;

namespace {

constexpr LeaderLeaseTimings timings { 3000ms, 300ms };

std::vector<EngineState> engines(int count, uint64_t version)
{
    std::vector<EngineState> result;
    for (int i = 0; i < count; ++i)
        result.push_back({ "e" + std::to_string(i), "dc" + std::to_string(i % 3), version, false, 0 });
    return result;
}

}

Test(leaderLease, sendsOrdersAfterPredecessorsLeaseAndBeforeOwnLeaseEnds)
{
    LeaderLease lease(timings);
    const BootClock::time_point start { 100s };
    cr_assert_not(lease.maySendOrders(start));
    lease.acquire(7, 41, start, start + 20ms);
    cr_assert_not(lease.maySendOrders(start + 2900ms), "the previous leader may still have an order in flight");
    lease.renew(7, start + 1s);
    lease.renew(7, start + 2s);
    lease.renew(7, start + 3s);
    cr_assert(lease.maySendOrders(start + 3400ms));
    cr_assert_not(lease.maySendOrders(start + 5800ms));
    cr_assert(lease.expire(start + 5800ms));
    cr_assert_not(lease.current().has_value());
}

Test(leaderLease, renewalExtendsLeaseFromItsRequest)
{
    LeaderLease lease(timings);
    const BootClock::time_point start { 100s };
    lease.acquire(7, 41, start, start);
    lease.renew(7, start + 1s); // counts from the request, because the answer may come seconds later
    cr_assert_eq(lease.current()->ordersUntil, start + 1s + 2700ms);
    lease.renew(7, start + 500ms); // answers may arrive out of order
    cr_assert_eq(lease.current()->ordersUntil, start + 1s + 2700ms);
    lease.renew(8, start + 2s); // of another lease
    cr_assert_eq(lease.current()->ordersUntil, start + 1s + 2700ms);
}

/// Two instances and one store. Orders of different instances must be at least one lease apart, whatever answers
/// are lost and however long an instance is suspended.
Test(leaderLease, ordersOfTwoLeadersAreALeaseApart)
{
    for (uint32_t seed = 0; seed < 200; ++seed) {
        std::mt19937 random(seed);
        const auto chance = [&random](double share) { return std::uniform_real_distribution<>(0, 1)(random) < share; };
        LeaderLease leases[2] = { LeaderLease(timings), LeaderLease(timings) };
        int leader = -1; // according to the store
        BootClock::time_point leaseEnds {};
        int64_t token = 0;
        std::optional<std::pair<int, BootClock::time_point>> lastOrder;
        for (BootClock::time_point now { 100s }; now < BootClock::time_point { 160s }; now += 50ms) {
            if (leader >= 0 && now >= leaseEnds)
                leader = -1;
            for (int i = 0; i < 2; ++i) {
                if (chance(0.3))
                    continue; // suspended
                leases[i].expire(now);
                if (leases[i].current() && leader == i && chance(0.1)) {
                    leaseEnds = now + 3s;
                    if (chance(0.7)) // otherwise the answer is lost
                        leases[i].renew(leases[i].current()->leaseId, now);
                }
                if (!leases[i].current() && leader < 0 && chance(0.1)) {
                    leader = i;
                    leaseEnds = now + 3s;
                    ++token;
                    leases[i].acquire(token, token, now, now);
                }
                if (!leases[i].maySendOrders(now))
                    continue;
                cr_assert(!lastOrder || lastOrder->first == i || now - lastOrder->second >= 3s, "seed %u", seed);
                lastOrder = { i, now };
            }
        }
    }
}

Test(rolloutPlan, limitsParallelLoadsAndSpreadsThemOverDataCentres)
{
    auto states = engines(9, 1);
    const auto first = chooseNextLoads(states, 2, 2);
    cr_assert_eq(first.size(), 2);
    states[0].isLoading = true;
    states[1].isLoading = true;
    cr_assert(chooseNextLoads(states, 2, 2).empty());
    states[1].isLoading = false;
    states[1].version = 2;
    const auto next = chooseNextLoads(states, 2, 2);
    cr_assert_eq(next.size(), 1);
    cr_assert_eq(next.front(), "e2", "the third data centre has neither a loading nor an updated engine");
}

Test(rolloutPlan, choosesOldestWeightsFirstAndNothingWhenAllAreNew)
{
    auto states = engines(9, 2);
    states[5].version = 1;
    cr_assert_eq(chooseNextLoads(states, 3, 2).front(), "e5");
    cr_assert(chooseNextLoads(engines(9, 3), 3, 2).empty());
}

Test(rolloutPlan, loadsAsManyEnginesAsTheTimeOfReplacedWeightsNeeds)
{
    // Engines finish their running requests before they load.
    cr_assert_eq(maxParallelLoads(9, { 0.2, 2800ms, 13s }), 2, "the configured share completes in time");
    cr_assert_eq(maxParallelLoads(128, { 0.2, 2800ms, 18s }), 26);
    cr_assert_eq(maxParallelLoads(12, { 0.2, 1400ms, 4s }), 4, "three rounds of loads fit into the time");
    cr_assert_eq(maxParallelLoads(12, { 0.2, 6s, 4s }), 5, "the other engines have to serve");
    cr_assert_eq(maxParallelLoads(12, { 0.2, 1400ms, 0s }), 2);
    cr_assert_eq(maxParallelLoads(2, { 0.2, 1400ms, 4s }), 1, "at least one engine");
}

Test(rolloutPlan, enginesWithPendingOrdersLeaveRoomForOthers)
{
    const RolloutPace pace { 0.2, 1500ms, 14s };
    cr_assert_eq(maxPendingOrders(9, pace, 0ms), 2);
    cr_assert_eq(maxPendingOrders(9, pace, 800ms), 2, "orders may be a little late");
    cr_assert_eq(maxPendingOrders(9, pace, 4s), 5, "orders that need 8 s each leave time for two rounds");
    cr_assert_eq(maxPendingOrders(9, pace, 60s), 6, "the others serve if all orders are carried out at once");
    cr_assert_eq(maxPendingOrders(9, { 0.2, 1500ms, 0s }, 60s), 2, "there is no deadline");
    auto states = engines(9, 1);
    for (int i = 0; i < 3; ++i)
        states[i].isLoading = states[i].isOrderPending = true;
    cr_assert_eq(chooseNextLoads(states, 2, 2).size(), 0, "pending orders count as loads by default");
    cr_assert_eq(chooseNextLoads(states, 2, 2, 6).size(), 2, "at most two begin to load at the same time");
    for (int i = 3; i < 5; ++i)
        states[i].isLoading = true;
    cr_assert_eq(chooseNextLoads(states, 2, 2, 9).size(), 0, "two engines are loading");
}

namespace {

class NoEngines : public EngineApi {
public:
    http::Request reportRequest(const std::string&) const override
    {
        return {};
    }
    Result<EngineReport> readReport(const http::ResponseHead&, std::string_view) const override
    {
        return EngineReport {};
    }
    http::Request orderRequest(const LoadOrder&) const override
    {
        return {};
    }
    OrderOutcome readOrderAnswer(const http::ResponseHead&) const override
    {
        return OrderOutcome::Unknown;
    }
};

int argumentCount = 0;

/// Puts a configuration in force whose service "engines" runs models.
void configureEngines(directory::Directory& directory)
{
    directory::Deployment deployment;
    deployment.version = 1;
    deployment.services.push_back({ "engines", 100, directory::EnginePool {}, std::nullopt });
    directory.apply(std::move(deployment));
}

struct RolloutFixture {
    QCoreApplication application { argumentCount, nullptr };
    RefusingStore store;
    NoEngines api;
    observe::Metrics metrics;
    directory::Directory directory { 3s };
    WeightsRollout rollout { { "entry-0", timings, 15s, 0.2 }, store, api, directory, metrics };

    RolloutFixture()
    {
        configureEngines(this->directory);
    }
    void lead()
    {
        directory::Registration registration;
        registration.id = "e0";
        registration.service = "engines";
        registration.weights["m"] = 1;
        this->directory.registerTarget(registration);
        this->directory.setWantedWeights({ "m", 2 }, BootClock::now());
        this->rollout.applyLeaderKeyState(false);
    }
    bool isConfirmed()
    {
        return testing::waitUntil(
            [this] { return this->store.written.contains("dragonfly/may-still-answer/m/1"); }, 2s);
    }
    /// Leads as an instance that started after version 2 was named and cannot know when.
    void leadAfterALossOfAllInstances()
    {
        this->rollout.recordsAsOf = [] { return BootClock::now(); };
        directory::Registration registration;
        registration.id = "e0";
        registration.service = "engines";
        registration.weights["m"] = 1;
        this->directory.registerTarget(registration);
        this->directory.setWantedWeights({ "m", 2 }, {});
        this->store.swapped["dragonfly/confirmed-for/m"] = { "dragonfly/confirmed-for/m", "1", 7 };
        this->rollout.applyRecord(this->store.swapped["dragonfly/confirmed-for/m"], true);
        this->rollout.applyLeaderKeyState(false);
    }
    /// The former leader has observed the weights until @p revision.
    void observe(int64_t revision)
    {
        this->rollout.applyRecord({ observationKey, "former", revision }, true);
    }
    const std::vector<RefusingStore::Write>& confirmations()
    {
        return this->store.writes["dragonfly/may-still-answer/m/1"];
    }

    const std::string observationKey { WeightsRollout::observationKey };
};

}

Test(weightsRollout, replacedWeightsAreConfirmedByTheLeader)
{
    RolloutFixture fixture;
    fixture.lead();
    cr_assert(fixture.isConfirmed());
}

Test(weightsRollout, claimThatCannotBeReadIsMadeAgain)
{
    for (const auto* value : { "-5", "99999999999999999999999", "2x", "", "x" }) {
        RolloutFixture fixture;
        fixture.rollout.applyRecord({ "dragonfly/confirmed-for/m", value, 7 }, true);
        fixture.lead();
        cr_expect(testing::waitUntil([&] { return fixture.store.claims > 0; }, 3s), "'%s'", value);
    }
}

Test(weightsRollout, confirmationIsTriedAgainAfterARefusedLease)
{
    RolloutFixture fixture;
    fixture.store.refusedConfirmationLeases = 1;
    fixture.lead();
    cr_assert(fixture.isConfirmed(), "no confirmation after one refused call");
}

Test(weightsRollout, confirmationIsTriedAgainAfterARefusedWrite)
{
    RolloutFixture fixture;
    fixture.store.refusedConfirmations = 1;
    fixture.lead();
    cr_assert(fixture.isConfirmed(), "no confirmation after one refused call");
}

Test(weightsRollout, refusedClaimsAreTriedAgainWithABackoff)
{
    RolloutFixture fixture;
    fixture.store.refusedClaims = 100;
    fixture.lead();
    testing::runFor(2400ms);
    cr_assert_leq(fixture.store.claims, 5, "%d claims in 2 s", fixture.store.claims);
}

Test(weightsRollout, weightsThatALeaderSawReplacedAreNotConfirmedByOneThatDoesNotKnowTheirAge)
{
    RolloutFixture fixture;
    fixture.directory.setWantedWeights({ "m", 2 }, BootClock::now());
    fixture.rollout.applyLeaderKeyState(false); // the first leader; no engine runs the model
    testing::runFor(1s);
    // All instances restart; the replacement may be as old as its first leader was.
    directory::Directory directory { 3s };
    configureEngines(directory);
    WeightsRollout next { { "entry-1", timings, 15s, 0.2 }, fixture.store, fixture.api, directory, fixture.metrics };
    directory.setWantedWeights({ "m", 2 }, {});
    directory::Registration registration;
    registration.id = "e0";
    registration.service = "engines";
    registration.weights["m"] = 1;
    directory.registerTarget(registration);
    next.applyLeaderKeyState(false);
    cr_assert_not(fixture.isConfirmed(), "confirmed weights of unknown age that an earlier leader saw replaced");
}

Test(weightsRollout, leaderOfAStoreThatReturnedBeginsAnewAndLeavesItsFormerLeaseAlone)
{
    RolloutFixture fixture;
    fixture.lead();
    require(fixture.isConfirmed(), "not a leader");
    fixture.rollout.onStoreReturned();
    fixture.store.written.clear();
    fixture.rollout.applyRecord({ "dragonfly/confirmed-for/m", {}, 0 }, false);
    fixture.rollout.applyLeaderKeyState(false);
    cr_assert(testing::waitUntil([&] { return fixture.store.acquisitions == 2; }, 3s));
    cr_assert_eq(fixture.store.endedLeases, 0);
    cr_assert(fixture.isConfirmed(), "the confirmation may be lost");
}

Test(weightsRollout, versionThatWasClaimedBeforeTheStoreLostTheClaimIsNotClaimedAgain)
{
    RolloutFixture fixture;
    fixture.lead();
    require(fixture.isConfirmed(), "not a leader");
    const auto claims = fixture.store.claims;
    fixture.rollout.applyRecord({ "dragonfly/confirmed-for/m", "1", store::revisionInEra(1, 3) }, true);
    testing::runFor(1500ms);
    cr_assert_eq(fixture.store.claims, claims);
}

// A time since the start of the leader says nothing about when weights were named while no instance ran.
Test(weightsRollout, weightsNamedWhileNoInstanceRanAreNotConfirmedWithoutAnObservation)
{
    RolloutFixture fixture;
    fixture.leadAfterALossOfAllInstances();
    testing::runFor(1500ms);
    cr_assert_gt(fixture.store.claims, 0);
    cr_assert(fixture.confirmations().empty(), "confirmed for %d s",
        static_cast<int>(fixture.confirmations().front().timeToLive.count()));
}

Test(weightsRollout, weightsNamedWhileNoInstanceRanAreConfirmedWhileAnObservationBoundsTheirAge)
{
    RolloutFixture fixture;
    fixture.observe(20);
    fixture.leadAfterALossOfAllInstances();
    testing::runFor(4s);
    fixture.rollout.applyRecord({ fixture.observationKey, {}, 0 }, false);
    const auto removedAt = BootClock::now();
    testing::runFor(4s);
    const auto& confirmations = fixture.confirmations();
    cr_assert_geq(confirmations.size(), 2);
    for (size_t i = 0; i < confirmations.size(); ++i) {
        const auto& each = confirmations[i];
        // The observation has a lease of 7 s and was made up to 1.9 s before it; 2 s of 15 s are left for queues.
        cr_expect_leq(each.at + each.timeToLive, std::min(each.at, removedAt) + 4100ms);
        cr_expect(each.value.ends_with(" bounded"));
        if (i)
            cr_expect_lt(each.at, confirmations[i - 1].at + confirmations[i - 1].timeToLive, "a gap before %zu", i);
    }
    cr_assert_geq(confirmations.back().at + confirmations.back().timeToLive, removedAt + 1s);
}

Test(weightsRollout, observationOfALaterLeaderBoundsNoEarlierReplacement)
{
    RolloutFixture fixture;
    fixture.leadAfterALossOfAllInstances();
    cr_assert(testing::waitUntil([&] { return fixture.store.claims > 0; }, 2s));
    fixture.observe(fixture.store.revision + 1);
    testing::runFor(1s);
    cr_assert(fixture.confirmations().empty());
}

// A watch without changes ends after 2 s; until then the records do not show that the observation still exists.
Test(weightsRollout, confirmationsHaveNoGapWhileTheObservationExistsAndTheRecordsDoNotChange)
{
    RolloutFixture fixture;
    fixture.observe(20);
    fixture.store.observed = 20;
    fixture.leadAfterALossOfAllInstances();
    fixture.rollout.recordsAsOf = [asOf = BootClock::now()] { return asOf; };
    const auto startedAt = BootClock::now();
    testing::runFor(4500ms);
    fixture.store.observed = 0;
    const auto removedAt = BootClock::now();
    testing::runFor(4s);
    const auto& confirmations = fixture.confirmations();
    cr_assert_not(confirmations.empty());
    auto confirmedUntil = confirmations.front().at;
    for (const auto& each : confirmations) {
        cr_expect_leq(each.at, confirmedUntil, "a gap %d ms after the start",
            static_cast<int>((confirmedUntil - startedAt) / 1ms));
        cr_expect_leq(each.at + each.timeToLive, std::min(each.at, removedAt) + 4100ms);
        confirmedUntil = each.at + each.timeToLive;
    }
    cr_assert_geq(confirmedUntil, removedAt + 1s);
    cr_assert_leq(fixture.store.checks, 10, "about one a second");
}

// The answer to a check says only that the observation existed when the check was sent.
Test(weightsRollout, lateAnswerToACheckOfTheObservationExtendsNoConfirmation)
{
    RolloutFixture fixture;
    fixture.observe(20);
    fixture.store.holdsChecks = true;
    fixture.leadAfterALossOfAllInstances();
    fixture.rollout.recordsAsOf = [asOf = BootClock::now()] { return asOf; };
    cr_assert(testing::waitUntil([&] { return !fixture.store.heldChecks.empty(); }, 3s));
    const auto checkedAt = BootClock::now();
    fixture.store.holdsChecks = false;
    testing::runFor(1500ms);
    fixture.rollout.applyRecord({ fixture.observationKey, {}, 0 }, false);
    fixture.store.heldChecks.front()(store::Unchanged {});
    testing::runFor(3s);
    cr_assert_not(fixture.confirmations().empty());
    for (const auto& each : fixture.confirmations())
        cr_expect_leq(each.at + each.timeToLive, checkedAt + 4100ms);
}

// Weights that were replaced before an earlier loss are older than the observation that bounds the second replacement.
Test(weightsRollout, observationBoundsOnlyTheReplacementAfterTheLastOfTwoLosses)
{
    RolloutFixture fixture;
    fixture.observe(20);
    fixture.leadAfterALossOfAllInstances();
    require(fixture.isConfirmed(), "not a leader");
    fixture.rollout.stop([] {});
    const auto confirmedBefore = fixture.confirmations().size();
    // Version 3 is named while no instance runs; the lease of the observation lasts on.
    directory::Directory directory { 3s };
    configureEngines(directory);
    WeightsRollout next { { "entry-1", timings, 15s, 0.2 }, fixture.store, fixture.api, directory, fixture.metrics };
    next.recordsAsOf = [] { return BootClock::now(); };
    next.applyRecord({ fixture.observationKey, "former", 20 }, true);
    next.applyRecord(fixture.store.swapped["dragonfly/confirmed-for/m"], true);
    for (const uint64_t version : { 1, 2 }) {
        directory::Registration registration;
        registration.id = "e" + std::to_string(version);
        registration.service = "engines";
        registration.weights["m"] = version;
        directory.registerTarget(registration);
    }
    directory.setWantedWeights({ "m", 3 }, {});
    next.applyLeaderKeyState(false);
    cr_assert(testing::waitUntil([&] { return fixture.store.writes.contains("dragonfly/may-still-answer/m/2"); }, 3s));
    testing::runFor(1500ms);
    cr_assert_eq(fixture.confirmations().size(), confirmedBefore);
}

Test(weightsRollout, leaderObservesOnlyWithRecentRecordsAndWithoutUnclaimedWeights)
{
    const std::string key(WeightsRollout::observationKey);
    RolloutFixture fixture;
    auto recordsAge = 5000ms;
    fixture.rollout.recordsAsOf = [&] { return BootClock::now() - recordsAge; };
    fixture.lead();
    require(fixture.isConfirmed(), "not a leader");
    const auto renewals = [&] { return fixture.store.renewals.size(); };
    testing::runFor(1500ms);
    cr_assert_not(fixture.store.written.contains(key), "what the instance knows is 5 s old");
    recordsAge = 200ms;
    cr_assert(testing::waitUntil([&] { return fixture.store.written.contains(key); }, 2s));
    cr_assert_eq(fixture.store.writes[key].front().timeToLive, 7s);
    cr_assert(testing::waitUntil([&] { return renewals() > 0; }, 2s));
    recordsAge = 5000ms;
    const auto before = renewals();
    testing::runFor(1500ms);
    cr_assert_eq(renewals(), before);
    recordsAge = 200ms;
    fixture.store.refusedClaims = 100;
    fixture.directory.setWantedWeights({ "m", 3 }, BootClock::now());
    testing::runFor(1500ms);
    cr_assert_eq(renewals(), before, "version 3 is not claimed");
}

// The build before confirmed for the time since its start, and does not read the value.
Test(weightsRollout, confirmationOfTheBuildBeforeIsNotBelieved)
{
    RolloutFixture fixture;
    const std::string key = "dragonfly/may-still-answer/m/1";
    fixture.rollout.applyRecord({ key, "entry-9", 5 }, true);
    cr_assert_not(fixture.directory.isReplacedVersionConfirmed("m", 1));
    fixture.rollout.applyRecord({ key, "entry-0 bounded", 6 }, true);
    cr_assert(fixture.directory.isReplacedVersionConfirmed("m", 1));
    fixture.rollout.applyRecord({ key, {}, 7 }, false);
    cr_assert_not(fixture.directory.isReplacedVersionConfirmed("m", 1));
}

// The build before takes any value for a confirmation and must not take an observation for a record of its own.
Test(weightsRollout, recordsMeanTheSameToTheBuildBefore)
{
    RolloutFixture fixture;
    fixture.rollout.recordsAsOf = [] { return BootClock::now(); };
    fixture.lead();
    require(fixture.isConfirmed(), "not a leader");
    cr_assert(testing::waitUntil([&] { return fixture.store.writes.contains(fixture.observationKey); }, 3s));
    const std::string confirmations = "dragonfly/may-still-answer/";
    const std::vector<std::string> formerPrefixes { "dragonfly/instances/", "dragonfly/order-holder", confirmations,
        "dragonfly/confirmed-for/", "dragonfly/stream-versions", "dragonfly/stream-starts/", "dragonfly/target-ends/",
        "dragonfly/sound-prompts/" };
    for (const auto& entry : fixture.store.writes) {
        const auto& key = entry.first;
        const auto isRead = [&key](const std::string& prefix) { return key.starts_with(prefix); };
        if (key == fixture.observationKey)
            cr_expect(std::ranges::none_of(formerPrefixes, isRead), "%s", key.c_str());
        else
            cr_expect_eq(key, confirmations + "m/1");
        cr_expect(key.starts_with("dragonfly/"), "instances of the build before would not pass it on");
    }
}
