#include "limits/SendShare.h"

#include <algorithm>
#include <cmath>

namespace dragonfly::limits {

namespace {

    /// Requests a second that are sent to a target with a lower limit, down to none: only an answer shows that it has
    /// ended.
    constexpr double minLimitPerSecond = 0.1;
    /// Senders, and requests in bursts of all senders, beyond one for each request a second of the limit.
    constexpr double extraBurst = 1;
    /// What all instances that are not senders send together, as a share of the limit.
    constexpr double probingShare = 0.1;
    /// Short, so that few of these instances may send at the same time, and long enough for a request to come.
    constexpr std::chrono::milliseconds probingWindow { 1000 };
    /// Bound of scheduled times, far beyond the life of a target, so that no time point overflows.
    constexpr std::chrono::hours maxInterval { 24 };

    Clock::duration seconds(double count)
    {
        const std::chrono::duration<double> bound = maxInterval;
        return std::chrono::duration_cast<Clock::duration>(std::min(bound, std::chrono::duration<double>(count)));
    }

    Clock::duration interval(const SendShare& share)
    {
        return seconds(1 / share.perSecond);
    }

    Clock::time_point randomWindow(const SendShare& share, Clock::time_point now, double random)
    {
        constexpr double shortest = 0.5; // of the mean interval
        return now + seconds((shortest + random) / share.perSecond);
    }

}

SendShare shareOf(double limitPerSecond, const Standing& standing)
{
    const auto limit = std::max(limitPerSecond, minLimitPerSecond);
    const auto instances = static_cast<double>(standing.instances);
    const auto wholeLimit = std::floor(limit);
    const auto most = std::min(instances, wholeLimit + extraBurst);
    const auto senders = std::clamp(std::max(static_cast<double>(standing.local), wholeLimit), 1.0, most);
    if (static_cast<double>(standing.rank) >= senders)
        return { probingShare * limit / (instances - senders), 1, false };
    return { limit / senders, (limit + extraBurst) / senders, true };
}

SendSchedule startSchedule(const SendShare& share, Clock::time_point now, double random)
{
    if (!share.isSender)
        return { randomWindow(share, now, random) };
    // Bursts precede the due time; so much later that none is possible yet.
    return { now + seconds((share.burst - 1 + random) / share.perSecond) };
}

bool maySend(SendSchedule& schedule, const SendShare& share, Clock::time_point now, double random)
{
    if (!share.isSender && now >= schedule.nextAt + probingWindow)
        schedule.nextAt = randomWindow(share, now, random);
    return now >= nextSendAt(schedule, share);
}

void recordSend(SendSchedule& schedule, const SendShare& share, Clock::time_point now, double random)
{
    schedule.nextAt
        = share.isSender ? std::max(schedule.nextAt, now) + interval(share) : randomWindow(share, now, random);
}

Clock::time_point nextSendAt(const SendSchedule& schedule, const SendShare& share)
{
    return share.isSender ? schedule.nextAt - seconds((share.burst - 1) / share.perSecond) : schedule.nextAt;
}

}
