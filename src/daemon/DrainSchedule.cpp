#include "daemon/DrainSchedule.h"

#include <algorithm>

namespace dragonfly::daemon {

using std::chrono::milliseconds;

namespace {

    /// Load balancers ask for readiness every second and leave an instance out after two misses; the rest is for the
    /// way.
    constexpr milliseconds noticePeriod { 2500 };
    /// Longest notice as a share of the time until the end of the requests: those that are accepted last need time too.
    constexpr int maxNoticeNumerator = 2;
    constexpr int maxNoticeDenominator = 3;
    constexpr milliseconds unlimitedNoticePeriod { 5000 };
    constexpr milliseconds unlimitedCompletion { std::chrono::minutes(5) };
    constexpr milliseconds unlimitedFlush { 1000 };
    /// The part of the grace period that is left for the last answers and the end of the process. Less than a sixth:
    /// the platform does not expect an answer of a target that is still at work in the last sixth, but does before it.
    constexpr int reserveDivisor = 8;
    constexpr milliseconds maxReserve { 1000 };
    /// The reserve of a shorter one would not hold the poll intervals of the drain.
    constexpr milliseconds minGrace { 1000 };

    std::string text(milliseconds time)
    {
        return std::to_string(time.count()) + "ms";
    }

    /// Divisor of the time until the end of the requests that a punctual instance may lose.
    constexpr int lookIntervalDivisor = 64;
    /// Each look is a wake-up and a system call.
    constexpr milliseconds minLookInterval { 10 };
    /// Bounds the error in logs where the drain is long.
    constexpr milliseconds maxLookInterval { 250 };

}

Result<DrainTimings> drainTimingsFor(const DrainSettings& settings)
{
    if (!settings.grace)
        return DrainTimings { settings.notice.value_or(unlimitedNoticePeriod),
            settings.completion.value_or(unlimitedCompletion), unlimitedFlush };
    const auto grace = *settings.grace;
    if (grace < minGrace)
        return Error { ErrorKind::Internal, "grace: expected at least " + text(minGrace), Execution::NotRun, {} };
    const auto reserve = std::min(grace / reserveDivisor, maxReserve);
    const auto end = grace - reserve;
    const auto longestNotice = std::max(end - settings.completion.value_or(milliseconds(0)), milliseconds(0));
    const auto notice = settings.notice.value_or(
        std::min({ noticePeriod, end * maxNoticeNumerator / maxNoticeDenominator, longestNotice }));
    const auto completion = settings.completion.value_or(end - notice);
    if (completion < milliseconds(0) || notice + completion > end)
        return Error { ErrorKind::Internal,
            "expected notice and time of at most " + text(end) + " together, to end within a grace of " + text(grace),
            Execution::NotRun, {} };
    return DrainTimings { notice, completion, reserve / 2 };
}

milliseconds signalLookIntervalFor(const DrainTimings& timings)
{
    return std::clamp((timings.notice + timings.completion) / lookIntervalDivisor, minLookInterval, maxLookInterval);
}

DrainSchedule scheduleDrain(const DrainTimings& timings, BootClock::time_point signalledAt)
{
    const auto closing = signalledAt + timings.notice;
    const auto end = closing + timings.completion;
    return { closing, end, end + timings.flush };
}

}
