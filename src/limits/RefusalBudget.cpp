#include "limits/RefusalBudget.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace dragonfly::limits {

namespace {

    /// The period over which a target counts its refusals.
    constexpr std::chrono::seconds refusalPeriod { 1 };
    /// Bound of what a target can name, so that it fits the types.
    constexpr double maxLimitPerSecond = 1e6;
    /// Fewer refusals than this are not divided.
    constexpr size_t minDividedLimit = 2;
    /// The part of the refusals that is left to the probes of instances without a share.
    constexpr size_t probeReserveDivisor = 4;
    /// Probes a second of all instances together for each refusal that is left to them; two in the same second are
    /// rare.
    constexpr double probesPerReserve = 0.1;
    /// Bounds the time after which an instance without a share learns that the target has room again.
    constexpr std::chrono::seconds maxProbeInterval { 60 };

    /// At a full service, free slots are taken within this time.
    constexpr std::chrono::milliseconds freeSlotValidity { 1000 };
    /// The latest answers of a service that count, as a mask of bits.
    constexpr uint8_t latestAnswers = 0x0f;
    /// Answers without free slots among them from which on a service is full.
    constexpr int minFullAnswers = 2;
    /// A service that has not answered for this long may have room again.
    constexpr std::chrono::seconds serviceRoomValidity { 10 };

    size_t activeRisks(const RefusalBudget& budget, Clock::time_point now)
    {
        return static_cast<size_t>(
            std::ranges::count_if(budget.risks, [now](const auto& risk) { return now < risk.until; }));
    }

    bool isWithinShare(const RefusalBudget& budget, Clock::time_point now)
    {
        return activeRisks(budget, now) < budget.share.perSecond;
    }

    /// Whether the target has free slots by what this instance knows.
    bool hasFreeSlots(const RefusalBudget& budget, bool isServiceFull, Clock::time_point now)
    {
        if (!isServiceFull)
            return budget.freeSlots;
        const bool hasShare = budget.share.perSecond > 0;
        return budget.freeSlots && !hasShare && !budget.hasSentSinceAnswer
            && now < budget.answeredAt + freeSlotValidity;
    }

    /// Free slots by @p report.
    uint32_t freeSlotsOf(const RoomReport& report)
    {
        const auto held = static_cast<uint64_t>(report.running) + report.waiting;
        return held < report.slots ? report.slots - static_cast<uint32_t>(held) : 0;
    }

}

RefusalShare refusalShareOf(double limitPerSecond, const Standing& standing)
{
    const auto limit = static_cast<size_t>(std::clamp(limitPerSecond, 0.0, maxLimitPerSecond));
    if (limit >= standing.instances) {
        const auto rest = limit % standing.instances;
        return { limit / standing.instances + (standing.rank < rest ? 1 : 0), {} };
    }
    const auto reserve = std::max<size_t>(1, limit / probeReserveDivisor);
    const auto senders = limit < minDividedLimit ? limit : limit - reserve;
    if (standing.rank < senders)
        return { 1, {} };
    const auto others = static_cast<double>(standing.instances - senders);
    const auto leastPerSecond = 1 / std::chrono::duration<double>(maxProbeInterval).count();
    const auto perSecond = probesPerReserve * static_cast<double>(reserve) / others;
    return { 0, { std::max(perSecond, leastPerSecond), 1, false } };
}

void setShare(RefusalBudget& budget, const RefusalShare& share, Clock::time_point now, double random)
{
    const bool hadShare = budget.share.perSecond > 0;
    const bool isProbing = share.perSecond == 0;
    const bool isNew = !hadShare && budget.probes.nextAt == Clock::time_point();
    budget.share = share;
    if (isProbing && (hadShare || isNew))
        budget.probes = startSchedule(share.probes, now, random);
}

void recordAnswer(ServiceRoom& service, const RoomAnswer& answer, Clock::time_point now)
{
    const bool isFull = answer.isRefusal || (answer.report && !freeSlotsOf(*answer.report));
    service.fullAnswers = static_cast<uint8_t>(service.fullAnswers << 1 | (isFull ? 1 : 0));
    service.answeredAt = now;
}

bool isFull(const ServiceRoom& service, Clock::time_point now)
{
    const auto fullAnswers = std::popcount(static_cast<uint8_t>(service.fullAnswers & latestAnswers));
    return fullAnswers >= minFullAnswers && now < service.answeredAt + serviceRoomValidity;
}

bool maySend(RefusalBudget& budget, bool isServiceFull, Clock::time_point now, double random)
{
    if (hasFreeSlots(budget, isServiceFull, now) || isWithinShare(budget, now))
        return true;
    return !budget.share.perSecond && maySend(budget.probes, budget.share.probes, now, random);
}

void recordSend(RefusalBudget& budget, Clock::time_point now, double random)
{
    std::erase_if(budget.risks, [now](const auto& risk) { return now >= risk.until; });
    budget.risks.push_back({ now, now + refusalArrivalTime });
    budget.hasSentSinceAnswer = true;
    if (budget.freeSlots)
        --budget.freeSlots;
    else if (!budget.share.perSecond)
        recordSend(budget.probes, budget.share.probes, now, random);
}

void applyAnswer(RefusalBudget& budget, const RoomAnswer& answer, Clock::time_point now, double random)
{
    const auto risk = std::ranges::find(budget.risks, answer.sentAt, &RefusalRisk::sentAt);
    if (risk != budget.risks.end())
        budget.risks.erase(risk);
    budget.answeredAt = now;
    budget.hasSentSinceAnswer = false;
    if (!answer.isRefusal) {
        budget.freeSlots = answer.report ? freeSlotsOf(*answer.report) : std::max(budget.freeSlots, 1u);
        return;
    }
    budget.risks.push_back({ answer.sentAt, now + refusalPeriod });
    budget.freeSlots = 0;
    if (!budget.share.perSecond)
        recordSend(budget.probes, budget.share.probes, now, random);
}

Clock::time_point nextSendAt(const RefusalBudget& budget, bool isServiceFull, Clock::time_point now)
{
    if (hasFreeSlots(budget, isServiceFull, now) || isWithinShare(budget, now))
        return now;
    if (!budget.share.perSecond)
        return std::max(now, nextSendAt(budget.probes, budget.share.probes));
    return std::ranges::min_element(budget.risks, {}, [now](const auto& risk) {
        return risk.until > now ? risk.until : Clock::time_point::max();
    })->until;
}

}
