// Shares of request limits: what all instances together send to a target, at several sizes of the fleet.

#include "limits/Limits.h"
#include "relay/Relay.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <random>

using namespace dragonfly;
using namespace dragonfly::limits;
using namespace std::chrono_literals;

namespace {

constexpr size_t dataCentres = 3;

relay::Peer instance(size_t number)
{
    const auto dataCentre = "dc-" + std::to_string(number % dataCentres);
    return { "edge-" + std::to_string(number), "127.0.0.1:" + std::to_string(1000 + number), { dataCentre, dataCentre },
        250 };
}

/// The standings of @p count instances for @p target, each computed from the instance's own view.
std::vector<Standing> standings(size_t count, const std::string& target = "engine-1")
{
    std::vector<Standing> found;
    for (size_t own = 0; own < count; ++own) {
        relay::PeerRanking ranking(instance(own));
        for (size_t other = 0; other < count; ++other)
            ranking.add(instance(other));
        found.push_back(ranking.standingFor(target, { "dc-1", "dc-1" }, Clock::now()));
    }
    return found;
}

struct Fleet {
    std::mt19937_64 generator { 7 };
    std::vector<SendShare> shares;
    std::vector<SendSchedule> schedules;
    std::vector<Clock::time_point> sends;

    Fleet(double limit, const std::vector<Standing>& places, Clock::time_point start)
    {
        for (const auto& place : places) {
            this->shares.push_back(shareOf(limit, place));
            this->schedules.push_back(startSchedule(this->shares.back(), start, this->random()));
        }
    }

    double random()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->generator);
    }

    /// Each instance sends whatever its schedule allows, with a pause in the middle in which bursts gather.
    void play(Clock::time_point start, std::chrono::seconds duration)
    {
        for (auto now = start; now < start + duration; now += 10ms) {
            const auto second = std::chrono::duration_cast<std::chrono::seconds>(now - start);
            if (second >= duration / 2 && second < duration / 2 + 10s)
                continue;
            for (size_t i = 0; i < this->shares.size(); ++i) {
                constexpr int mostAtOnce = 1000;
                for (int n = 0; n < mostAtOnce && maySend(this->schedules[i], this->shares[i], now, this->random());
                     ++n) {
                    recordSend(this->schedules[i], this->shares[i], now, this->random());
                    this->sends.push_back(now);
                }
            }
        }
    }

    size_t mostInWindow() const
    {
        size_t most = 0;
        size_t first = 0;
        for (size_t last = 0; last < this->sends.size(); ++last) {
            while (this->sends[last] - this->sends[first] >= 4s)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }
};

/// Stated target for any 4 s.
double allowed(double limit)
{
    return 1.5 * limit * 4 + 5;
}

constexpr size_t fleetSizes[] = { 1, 2, 3, 9, 40, 320 };
constexpr double limitsPerSecond[] = { 0, 0.2, 1, 4.7, 5.3, 20, 300 };

}

Test(sendShare, allInstancesTogetherKeepToTheLimitAtAnyFleetSize)
{
    for (const auto size : fleetSizes) {
        for (const auto limit : limitsPerSecond) {
            const Clock::time_point start { 1000s };
            Fleet fleet(limit, standings(size), start);
            fleet.play(start, 120s);
            cr_assert_leq(fleet.mostInWindow(), allowed(limit), "%zu instances, limit %g: %zu in 4 s", size, limit,
                fleet.mostInWindow());
        }
    }
}

Test(sendShare, senderThatOnlySomeInstancesKnowStaysWithinTheBound)
{
    for (const size_t size : { 9, 40, 320 }) {
        for (const auto limit : limitsPerSecond) {
            const Clock::time_point start { 1000s };
            auto places = standings(size);
            places.push_back(*std::ranges::min_element(places, {}, &Standing::rank));
            Fleet fleet(limit, places, start);
            fleet.play(start, 120s);
            cr_assert_leq(fleet.mostInWindow(), allowed(limit), "%zu instances, limit %g: %zu in 4 s", size, limit,
                fleet.mostInWindow());
        }
    }
}

Test(sendShare, sendersUseTheLimitWhenAllHaveRequests)
{
    for (const size_t size : { 1, 9, 40, 320 }) {
        const Clock::time_point start { 1000s };
        Fleet fleet(5, standings(size), start);
        fleet.play(start, 120s);
        constexpr double playedSeconds = 110; // without the pause
        cr_assert_geq(static_cast<double>(fleet.sends.size()), 0.9 * 5 * playedSeconds, "%zu instances", size);
    }
}

Test(sendShare, instancesAgreeOnTheirOrderAndNearestOnesComeFirst)
{
    const auto places = standings(40);
    std::vector<size_t> ranks;
    for (size_t i = 0; i < places.size(); ++i) {
        ranks.push_back(places[i].rank);
        cr_assert_eq(places[i].instances, 40);
        cr_assert_eq(places[i].local, 13);
        cr_assert_eq(places[i].rank < 13, i % dataCentres == 1, "instance %zu", i);
    }
    std::ranges::sort(ranks);
    for (size_t rank = 0; rank < ranks.size(); ++rank)
        cr_assert_eq(ranks[rank], rank);
    const auto other = standings(40, "engine-2");
    const auto hasSameRank = [](const Standing& a, const Standing& b) { return a.rank == b.rank; };
    cr_assert_not(std::ranges::equal(places, other, hasSameRank), "the order differs between targets");
}

Test(sendShare, removedInstanceCountsUntilItCanHaveWrittenItsRecordAgain)
{
    relay::PeerRanking ranking(instance(0));
    ranking.add(instance(1));
    const auto now = Clock::now();
    ranking.remove("edge-1", now);
    cr_assert_eq(ranking.standingFor("t", {}, now + 29s).instances, 2);
    cr_assert_eq(ranking.standingFor("t", {}, now + 31s).instances, 1);
    ranking.add(instance(1));
    cr_assert_eq(ranking.standingFor("t", {}, now + 29s).instances, 2);
}

namespace {

struct Limited {
    observe::Metrics metrics;
    RequestLimits limits { this->metrics };
    directory::Registration target;
    Clock::time_point start { 1000s };

    Limited()
    {
        this->target.id = "i-1";
        this->target.startedUnixMs = 1;
        this->limits.random = [] { return 1.0; };
        this->limits.standingOf = [](const directory::Registration&) { return Standing { 0, 1, 1 }; };
    }

    void answer(const NamedLimit& named, std::chrono::milliseconds sentAt, std::chrono::milliseconds at)
    {
        this->limits.onAnswer(this->target, named, this->start + sentAt, this->start + at);
    }

    /// Requests that may be sent at once.
    int burstAt(std::chrono::milliseconds at)
    {
        constexpr int most = 100;
        int sent = 0;
        while (sent < most && this->limits.maySend(this->target, this->start + at)) {
            this->limits.recordSend(this->target, this->start + at);
            ++sent;
        }
        return sent;
    }
};

}

Test(requestLimits, limitHoldsUntilALaterRequestIsAnsweredWithoutIt)
{
    Limited limited;
    cr_assert_eq(limited.burstAt(0ms), 100);
    limited.answer({ 1, false }, 0ms, 100ms);
    cr_assert_eq(limited.burstAt(100ms), 0);
    limited.answer({}, 50ms, 200ms);
    cr_assert_eq(limited.burstAt(200ms), 0, "that answer may have been composed before the limit");
    limited.answer({}, 150ms, 300ms);
    cr_assert_eq(limited.burstAt(300ms), 100);
}

Test(requestLimits, unreadableLimitChangesNothing)
{
    Limited limited;
    limited.answer({ std::nullopt, true }, 0ms, 100ms);
    cr_assert_eq(limited.burstAt(100ms), 100);
    limited.answer({ 1, false }, 0ms, 200ms);
    limited.answer({ std::nullopt, true }, 250ms, 300ms);
    cr_assert_eq(limited.burstAt(300ms), 0);
}

Test(requestLimits, newProcessOfATargetHasNoLimit)
{
    Limited limited;
    limited.answer({ 1, false }, 0ms, 100ms);
    limited.target.startedUnixMs = 2;
    cr_assert_eq(limited.burstAt(100ms), 100);
}

Test(requestLimits, nextSendIsAnnouncedAsItThenHappens)
{
    Limited limited;
    limited.answer({ 1, false }, 0ms, 100ms);
    const auto now = limited.start + 100ms;
    const auto next = limited.limits.nextSendAt(limited.target, now);
    cr_assert(next > now);
    cr_assert_not(limited.limits.maySend(limited.target, next - 1ms));
    cr_assert(limited.limits.maySend(limited.target, next));
}
