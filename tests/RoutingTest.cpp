// Unit tests of routing: prefix hashes, the prefix index, the policies, and the state of targets.

#include "routing/Routing.h"

#include <criterion/criterion.h>
#include <set>

using namespace dragonfly;
using namespace dragonfly::routing;
using namespace std::chrono_literals;

namespace {

Candidate candidate(uint32_t target, uint32_t queued, uint32_t cached, Reach reach = Reach::SameDataCentre)
{
    Candidate result;
    result.target = target;
    result.queuedTokens = queued;
    result.cachedTokens = cached;
    result.reach = reach;
    result.leadingRank = fastHash(std::to_string(target));
    result.rank = fastHash(std::to_string(target), 1);
    return result;
}

RoutingRequest requestOf(uint32_t tokens, bool preferReuse = false)
{
    RoutingRequest result;
    result.promptTokens = tokens;
    result.preferReuse = preferReuse;
    return result;
}

uint32_t chosen(const Policy& policy, const std::vector<Candidate>& candidates, const RoutingRequest& request)
{
    return chooseTarget(policy, candidates, request)->target;
}

}

Test(prefixChain, promptsWithSharedPrefixShareHashes)
{
    const std::string shared(20000, 'a');
    const auto first = buildPrefixChain(shared + "one", 7);
    const auto second = buildPrefixChain(shared + std::string(9000, 'b'), 7);
    uint32_t common = 0;
    for (size_t i = 0; i < std::min(first.count, second.count) && first.points[i].hash == second.points[i].hash; ++i)
        common = first.points[i].bytes;
    cr_assert_geq(common, 20000 * 8 / 9 - 64);
    cr_assert_leq(common, 20000);
    cr_assert_neq(buildPrefixChain(shared, 8).points[0].hash, first.points[0].hash, "another scope must not match");
    cr_assert_eq(buildPrefixChain("short", 7).count, 0);
    cr_assert_geq(buildPrefixChain(std::string(256 << 10, 'x'), 7).points[50].bytes, 100000);
}

Test(prefixIndex, findsHoldersAndEvictsOldest)
{
    PrefixIndex index(1024);
    const auto now = Clock::now();
    PrefixHolder holders[PrefixIndex::bucketSlots];
    cr_assert_eq(index.find(42, now, holders), 0);
    index.record(42, 1, 10, now);
    index.record(42, 2, 20, now + 1s);
    index.record(42, 1, 11, now + 2s); // the same target, another incarnation
    cr_assert_eq(index.find(42, now + 3s, holders), 2);
    for (uint32_t target = 100; target < 120; ++target)
        index.record(42, target, 1, now + 10s);
    cr_assert_eq(index.find(42, now + 11s, holders), PrefixIndex::bucketSlots);
}

Test(policies, expectedFirstTokenWeighsQueueAgainstCache)
{
    const Policy policy = ExpectedFirstToken {};
    // A cache miss of 10,000 tokens costs more than a queue of 3,000 tokens at the holder, and less than one of 20,000.
    cr_assert_eq(chosen(policy, { candidate(0, 3000, 10000), candidate(1, 0, 0) }, requestOf(10000)), 0);
    cr_assert_eq(chosen(policy, { candidate(0, 20000, 10000), candidate(1, 0, 0) }, requestOf(10000)), 1);
    // A route that prefers reuse accepts a longer queue at the holder.
    cr_assert_eq(chosen(policy, { candidate(0, 20000, 10000), candidate(1, 0, 0) }, requestOf(10000, true)), 0);
}

Test(policies, otherRegionChosenWhenQueueCostsMoreThanSurcharge)
{
    const Policy policy = ExpectedFirstToken {};
    cr_assert_eq(chosen(policy, { candidate(0, 2000, 0), candidate(1, 0, 0, Reach::OtherRegion) }, requestOf(1000)), 0);
    cr_assert_eq(
        chosen(policy, { candidate(0, 40000, 0), candidate(1, 0, 0, Reach::OtherRegion) }, requestOf(1000)), 1);
}

Test(policies, avoidedTargetChosenOnlyWithoutAlternative)
{
    auto failed = candidate(0, 0, 5000);
    failed.avoided = true;
    for (const Policy& policy : { Policy(RoundRobin {}), Policy(LeastLoaded {}), Policy(TwoChoices {}),
             Policy(BoundedHash {}), Policy(ExpectedFirstToken {}) }) {
        cr_assert_eq(chosen(policy, { failed, candidate(1, 9000, 0) }, requestOf(5000)), 1);
        const auto only = chooseTarget(policy, std::vector { failed }, requestOf(5000));
        cr_assert_eq(only->target, 0);
        cr_assert(only->reason == Reason::LastResort);
        cr_assert(!chooseTarget(policy, {}, requestOf(1)));
    }
}

Test(policies, boundedHashSkipsOverloadedPreferredTarget)
{
    const Policy policy = BoundedHash {};
    auto preferred = candidate(0, 0, 0);
    preferred.leadingRank = ~uint64_t(0);
    cr_assert_eq(chosen(policy, { preferred, candidate(1, 0, 0), candidate(2, 0, 0) }, requestOf(100)), 0);
    preferred.queuedTokens = 5000;
    cr_assert_neq(chosen(policy, { preferred, candidate(1, 0, 0), candidate(2, 0, 0) }, requestOf(100)), 0);
}

Test(targetState, reportedQueueShrinksOverTime)
{
    TargetState state;
    state.nanosecondsPerToken = 100000;
    state.pendingTokens = 1000;
    const auto now = Clock::now();
    recordLoad(state, 3000, now);
    cr_assert_eq(queuedTokens(state, now), 3000);
    state.pendingTokens = 1500;
    cr_assert_eq(queuedTokens(state, now), 3500);
    cr_assert_eq(queuedTokens(state, now + 100ms), 2500);
    cr_assert_eq(queuedTokens(state, now + 10s), 1500, "tokens of this instance count until their first token arrives");
    state.pendingTokens = 0;
    cr_assert_eq(queuedTokens(state, now + 10s), 0);
}

Test(targetState, replicatedAndReportedQueuesAreNotAdded)
{
    TargetState state;
    state.nanosecondsPerToken = 100000;
    const auto now = Clock::now();
    recordPeerTokens(state, 1000, now);
    recordPeerTokens(state, 1000, now + 50ms);
    cr_assert_eq(queuedTokens(state, now + 50ms), 1500);
    recordLoad(state, 800, now + 50ms);
    cr_assert_eq(queuedTokens(state, now + 50ms), 1500, "the report covers the same work");
    recordLoad(state, 4000, now + 50ms);
    cr_assert_eq(queuedTokens(state, now + 50ms), 4000);
    cr_assert_eq(queuedTokens(state, now + 10s), 0);
}

Test(targetState, newerLeavingUpdateWins)
{
    TargetState state;
    const auto now = Clock::now();
    cr_assert(updateLeaving(state, true, now));
    cr_assert(!updateLeaving(state, true, now + 1s), "unchanged");
    cr_assert(!updateLeaving(state, false, now - 1s), "older than the last change");
    cr_assert(isLeaving(state));
    cr_assert(updateLeaving(state, false, now + 1s));
    cr_assert(!updateLeaving(state, true, now), "older than the last change");
}

Test(targetState, newIncarnationIsNotLeaving)
{
    TargetState state;
    cr_assert(updateLeaving(state, true, Clock::now()));
    cr_assert(!updateIncarnation(state, 1), "the first observed incarnation is no change");
    cr_assert(isLeaving(state));
    cr_assert(updateIncarnation(state, 2));
    cr_assert(!isLeaving(state));
}
