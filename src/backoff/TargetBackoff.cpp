#include "backoff/TargetBackoff.h"

#include <algorithm>

namespace dragonfly::backoff {

namespace {

    /// Bound of the time without requests, far beyond the life of a target, so that no time point overflows.
    constexpr std::chrono::hours maxBackoff { 24 };
    /// The return period as a share of the time without requests. Short against it, since the target is not used in
    /// full before its end.
    constexpr int returnPeriodDivisor = 8;
    /// Longer than the differences between the times at which instances received their answers.
    constexpr std::chrono::milliseconds minReturnPeriod { 50 };
    /// Within a second, a target's answers show whether it has room again.
    constexpr std::chrono::milliseconds maxReturnPeriod { 1000 };
    /// For targets that do not register their slots.
    constexpr uint32_t defaultSlots = 8;

    Clock::duration bounded(std::chrono::duration<double> backoff)
    {
        const std::chrono::duration<double> bound = maxBackoff;
        return std::chrono::ceil<Clock::duration>(std::min(backoff, bound));
    }

    bool isReturning(const TargetBackoff& target, Clock::time_point now)
    {
        return now >= target.noneBefore && now < target.fullFrom;
    }

}

std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Open:
        break;
    case Verdict::Leaving:
        return "is leaving";
    case Verdict::BackingOff:
        return "has asked for time";
    case Verdict::AtLimit:
        return "is at its request limit";
    case Verdict::NoRoom:
        return "has no room by what it reported";
    }
    return "takes requests";
}

bool extend(TargetBackoff& target, std::chrono::duration<double> backoff, const ReturnPace& pace, Clock::time_point now,
    double random)
{
    const auto length = bounded(backoff);
    if (length <= Clock::duration::zero() || now + length <= target.noneBefore)
        return false;
    const auto period = std::clamp<Clock::duration>(length / returnPeriodDivisor, minReturnPeriod, maxReturnPeriod);
    const auto batch = static_cast<double>(pace.slots ? pace.slots : defaultSlots);
    target.noneBefore = now + length;
    target.fullFrom = target.noneBefore + period;
    target.share = limits::shareOf(batch / std::chrono::duration<double>(period).count(), pace.standing);
    target.schedule = limits::startSchedule(target.share, target.noneBefore, random);
    return true;
}

Verdict ask(TargetBackoff& target, Clock::time_point now, double random)
{
    if (target.isLeaving)
        return Verdict::Leaving;
    if (now < target.noneBefore)
        return Verdict::BackingOff;
    if (isReturning(target, now) && !limits::maySend(target.schedule, target.share, now, random))
        return Verdict::BackingOff;
    return Verdict::Open;
}

void recordSend(TargetBackoff& target, Clock::time_point now, double random)
{
    if (isReturning(target, now))
        limits::recordSend(target.schedule, target.share, now, random);
}

Verdict askAgain(TargetBackoff& target, Clock::time_point recordedAt, Clock::time_point now, double random)
{
    const bool isRecorded = recordedAt >= target.noneBefore;
    if (isRecorded && !target.isLeaving)
        return Verdict::Open;
    const auto verdict = ask(target, now, random);
    if (verdict == Verdict::Open)
        recordSend(target, now, random);
    return verdict;
}

Clock::time_point returnTime(const TargetBackoff& target, double random)
{
    const std::chrono::duration<double> period = target.fullFrom - target.noneBefore;
    return target.fullFrom + std::chrono::duration_cast<Clock::duration>(period * random);
}

}
