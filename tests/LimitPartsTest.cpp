// Shares of limits of requests and of refusals: what all instances together send to a target, at several sizes of the
// fleet.

#include "limits/Limits.h"
#include "limits/RefusalBudget.h"
#include "relay/Relay.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <random>
#include <utility>

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

namespace {

/// A target that ends when it has refused more than it bears in a second, and the budgets of all instances there.
struct BrittleTarget {
    struct Arrival {
        Clock::time_point at;
        size_t instance;
        Clock::time_point sentAt;
    };

    size_t waitingRoom = 0;
    size_t running = 0;
    size_t ends = 0;
    Clock::time_point backAt;
    std::vector<Clock::time_point> refusals; ///< of the last second
    std::vector<std::pair<Clock::time_point, Arrival>> runs; ///< by the time of their end
    std::vector<Arrival> arriving;
    std::vector<Arrival> line; ///< requests that wait
    std::vector<RefusalBudget> budgets; ///< of each instance

    RoomReport report() const
    {
        return { static_cast<uint32_t>(this->running), static_cast<uint32_t>(this->line.size()), 8 };
    }
};

/// Many instances with requests for a few targets, each of which tells its room only to whom it answers.
class BrittleService {
public:
    static constexpr size_t targetCount = 10;
    static constexpr size_t slots = 8;
    static constexpr auto step = 5ms;
    static constexpr auto arrivalTime = 5ms; ///< of a request, and as long of its answer
    static constexpr auto runTime = 500ms;
    static constexpr auto restartTime = 3s;

    /// Stated target.
    static constexpr size_t allowedEnds = 2 + targetCount / 10;

    BrittleService(size_t instances, double limit, uint64_t seed)
        : generator(seed)
        , limit(limit)
        , places(instances)
        , rooms(instances)
    {
        for (size_t t = 0; t < targetCount; ++t) {
            this->standingsOf.push_back(standings(instances, "engine-" + std::to_string(t)));
            this->targets.emplace_back();
            this->reset(this->targets.back(), t, this->now);
        }
    }

    /// Plays @p perSecond requests a second in all; each tries up to two targets.
    void play(std::chrono::seconds duration, double perSecond, size_t waitingRoom)
    {
        for (auto& target : this->targets)
            target.waitingRoom = waitingRoom;
        std::poisson_distribution<int> demand(perSecond * std::chrono::duration<double>(step).count());
        for (const auto end = this->now + duration; this->now < end; this->now += step) {
            for (size_t t = 0; t < targetCount; ++t)
                this->advance(this->targets[t], t);
            for (int n = demand(this->generator); n > 0; --n)
                this->sendAnywhere(this->generator() % this->places);
        }
    }

    size_t ends() const
    {
        size_t sum = 0;
        for (const auto& target : this->targets)
            sum += target.ends;
        return sum;
    }

    size_t served = 0;

private:
    double random()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->generator);
    }

    void reset(BrittleTarget& target, size_t number, Clock::time_point from)
    {
        target.running = 0;
        target.runs.clear();
        target.arriving.clear();
        target.line.clear();
        target.refusals.clear();
        target.backAt = from;
        target.budgets.assign(this->places, {});
        for (size_t i = 0; i < this->places; ++i)
            setShare(
                target.budgets[i], refusalShareOf(this->limit, this->standingsOf[number][i]), from, this->random());
    }

    void sendAnywhere(size_t instance)
    {
        const auto first = this->generator() % targetCount;
        for (size_t n = 0; n < targetCount; ++n) {
            auto& target = this->targets[(first + n) % targetCount];
            auto& budget = target.budgets[instance];
            if (this->now < target.backAt
                || !maySend(budget, isFull(this->rooms[instance], this->now), this->now, this->random()))
                continue;
            recordSend(budget, this->now, this->random());
            target.arriving.push_back({ this->now + arrivalTime, instance, this->now });
            return;
        }
    }

    void answer(BrittleTarget& target, const BrittleTarget::Arrival& request, bool isRefusal)
    {
        const RoomAnswer answer { request.sentAt, isRefusal, target.report() };
        const auto arrivesAt = this->now + arrivalTime;
        recordAnswer(this->rooms[request.instance], answer, arrivesAt);
        applyAnswer(target.budgets[request.instance], answer, arrivesAt, this->random());
    }

    void arrive(BrittleTarget& target, size_t number, const BrittleTarget::Arrival& request)
    {
        if (target.running < slots) {
            ++target.running;
            target.runs.emplace_back(this->now + runTime, request);
            this->answer(target, request, false);
            return;
        }
        if (target.line.size() < target.waitingRoom) {
            target.line.push_back(request);
            return;
        }
        this->answer(target, request, true);
        std::erase_if(target.refusals, [this](const auto& time) { return this->now - time >= 1s; });
        target.refusals.push_back(this->now);
        if (static_cast<double>(target.refusals.size()) <= this->limit)
            return;
        ++target.ends;
        this->reset(target, number, this->now + restartTime);
    }

    void advance(BrittleTarget& target, size_t number)
    {
        if (this->now < target.backAt)
            return;
        const auto finished = std::erase_if(target.runs, [this](const auto& run) { return this->now >= run.first; });
        target.running -= finished;
        this->served += finished;
        auto& line = target.line;
        while (target.running < slots && !line.empty()) {
            const auto request = line.front();
            line.erase(line.begin());
            ++target.running;
            target.runs.emplace_back(this->now + runTime, request);
            this->answer(target, request, false);
        }
        auto queued = std::exchange(target.arriving, {});
        for (const auto& request : queued) {
            if (this->now < target.backAt)
                return;
            if (request.at <= this->now)
                this->arrive(target, number, request);
            else
                target.arriving.push_back(request);
        }
    }

    std::mt19937_64 generator;
    double limit;
    size_t places;
    Clock::time_point now { 1000s };
    std::vector<ServiceRoom> rooms; ///< as each instance knows it
    std::vector<std::vector<Standing>> standingsOf; ///< of each target and instance
    std::vector<BrittleTarget> targets;
};

}

namespace {

/// The ends of targets that are idle, then sent twice what they can serve, then also let fewer requests wait.
size_t endsUnderOverload(size_t instances, double limit, uint64_t seed)
{
    constexpr double capacity = 160; // requests a second of all targets
    constexpr size_t roomAtFirst = 32;
    constexpr size_t roomLater = 2;
    BrittleService service(instances, limit, seed);
    service.play(4s, capacity / 2, roomAtFirst);
    service.play(4s, 2 * capacity, roomAtFirst);
    service.play(20s, 2 * capacity, roomLater);
    cr_expect_gt(service.served, 0, "%zu instances, limit %g", instances, limit);
    return service.ends();
}

void expectFewEnds(size_t instances, double limit)
{
    for (const uint64_t seed : { 11, 12, 13 }) {
        const auto ends = endsUnderOverload(instances, limit, seed);
        cr_expect_leq(ends, BrittleService::allowedEnds, "%zu instances, limit %g, seed %u: %zu ends, %zu allowed",
            instances, limit, static_cast<unsigned>(seed), ends, BrittleService::allowedEnds);
    }
}

}

Test(refusalBudget, overloadedTargetsDoNotEndByRefusals)
{
    for (const size_t size : { 1, 9, 40 }) {
        for (const double limit : { 5.0, 12.0, 40.0 })
            expectFewEnds(size, limit);
    }
    for (const size_t size : { 1, 9 })
        expectFewEnds(size, 3);
    expectFewEnds(1, 1);
    expectFewEnds(320, 40);
}

Test(refusalBudget, overloadedTargetsDoNotEndByRefusalsOfManyInstancesForTheNumberThatTheyBear)
{
    for (const size_t size : { 9, 40 })
        expectFewEnds(size, 1);
    expectFewEnds(40, 3);
    for (const double limit : { 1.0, 3.0, 5.0, 12.0 })
        expectFewEnds(320, limit);
}

Test(refusalBudget, refusalTakesItsPartOfTheShareForASecond)
{
    RefusalBudget budget;
    const Clock::time_point start { 1000s };
    setShare(budget, refusalShareOf(4, { 0, 2, 1 }), start, 0.5);
    budget.freeSlots = 0;
    for (int n = 0; n < 2; ++n) {
        cr_assert(maySend(budget, false, start, 0.5));
        recordSend(budget, start, 0.5);
    }
    cr_assert_not(maySend(budget, false, start, 0.5), "both may yet be refused");
    applyAnswer(budget, { start, true, {} }, start + 10ms, 0.5);
    applyAnswer(budget, { start, true, {} }, start + 10ms, 0.5);
    const auto next = nextSendAt(budget, false, start + 10ms);
    cr_assert_eq(next, start + 1010ms);
    cr_assert_not(maySend(budget, false, next - 1ms, 0.5));
    cr_assert(maySend(budget, false, next, 0.5));
}

Test(refusalBudget, sharesSumUpToNoMoreThanTheLimit)
{
    for (const size_t size : { 1, 9, 40, 320 }) {
        for (const double limit : { 0.0, 1.0, 2.0, 3.0, 5.0, 12.0, 40.0, 1000.0 }) {
            size_t sum = 0;
            for (const auto& place : standings(size))
                sum += refusalShareOf(limit, place).perSecond;
            cr_assert_leq(static_cast<double>(sum), limit, "%zu instances, limit %g", size, limit);
            cr_assert(sum > 0 || limit < 1, "%zu instances, limit %g", size, limit);
        }
    }
}

namespace {

struct Brittle {
    observe::Metrics metrics;
    BrittleTargets targets { this->metrics };
    directory::Registration target;
    Clock::time_point start { 1000s };

    Brittle()
    {
        this->target.id = "i-1";
        this->target.startedUnixMs = 1;
        this->target.service = "engines";
        this->targets.random = [] { return 0.5; };
        this->targets.standingOf = [](const directory::Registration&) { return Standing { 0, 1, 1 }; };
    }

    void answer(const NamedRefusalLimit& named, std::chrono::milliseconds sentAt, std::chrono::milliseconds at,
        bool isRefusal = true)
    {
        this->targets.onAnswer(
            this->target, named, { this->start + sentAt, isRefusal, RoomReport { 8, 0, 8 } }, this->start + at);
    }

    /// Requests that may be sent at once.
    int burstAt(std::chrono::milliseconds at)
    {
        constexpr int most = 100;
        int sent = 0;
        while (sent < most && this->targets.maySend(this->target, this->start + at)) {
            this->targets.recordSend(this->target, this->start + at);
            ++sent;
        }
        return sent;
    }
};

}

Test(brittleTargets, numberHoldsUntilALaterRequestIsAnsweredWithoutIt)
{
    Brittle brittle;
    cr_assert_eq(brittle.burstAt(0ms), 100);
    brittle.answer({ 3, false }, 0ms, 100ms);
    cr_assert_eq(brittle.burstAt(100ms), 2, "one was refused");
    brittle.answer({}, 50ms, 200ms, false);
    cr_assert_eq(brittle.metrics.brittleTargets.Value(), 1);
    brittle.answer({}, 150ms, 300ms, false);
    cr_assert_eq(brittle.burstAt(300ms), 100);
    cr_assert_eq(brittle.metrics.brittleTargets.Value(), 0);
}

Test(brittleTargets, unreadableNumberChangesNothing)
{
    Brittle brittle;
    brittle.answer({ std::nullopt, true }, 0ms, 100ms);
    cr_assert_eq(brittle.burstAt(100ms), 100);
    brittle.answer({ 3, false }, 0ms, 200ms);
    brittle.answer({ std::nullopt, true }, 250ms, 300ms, false);
    cr_assert_leq(brittle.burstAt(300ms), 3);
}

Test(brittleTargets, processThatHasNotAnsweredIsTreatedByItsService)
{
    Brittle brittle;
    brittle.answer({ 3, false }, 0ms, 100ms);
    brittle.target.startedUnixMs = 2;
    cr_assert_leq(brittle.burstAt(100ms), 3);
    brittle.answer({}, 200ms, 300ms, false);
    cr_assert_eq(brittle.burstAt(300ms), 100);
}

Test(brittleTargets, endAtOneTargetLetsOneRequestAskTheOthers)
{
    Brittle brittle;
    brittle.targets.standingOf = [](const directory::Registration&) { return Standing { 8, 9, 4 }; };
    brittle.answer({ 3, false }, 0ms, 100ms);
    cr_assert_eq(brittle.burstAt(200ms), 0);
    const auto first = std::exchange(brittle.target.id, "i-2");
    brittle.answer({ 3, false }, 0ms, 300ms, false);
    brittle.answer({}, 350ms, 400ms, false);
    brittle.target.id = first;
    cr_assert_eq(brittle.burstAt(400ms), 1);
}
