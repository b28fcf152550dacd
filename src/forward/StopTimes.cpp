#include "forward/StopTimes.h"

#include <algorithm>

namespace dragonfly::forward {

using std::chrono::milliseconds;

namespace {

    /// Multiple of the route's target latency in which an answer is expected; a backup attempt is made after the same.
    constexpr int expectedLatencyFactor = 2;
    /// The same for a request that is lost if it is cut, since it may not be repeated; a refusal costs a round trip.
    constexpr int unrepeatableLatencyFactor = 4;
    /// Connecting to a target in another region may take so long.
    constexpr milliseconds minExpectedTime { 400 };
    /// A stream that arrives later than this after the signal must not be cut by the stop: the platform excuses the
    /// end of those that were sent before.
    constexpr milliseconds excusedStreamAge { 3000 };

    milliseconds expectedTime(const AttemptTimes& attempt)
    {
        const int factor = attempt.isRepeatable ? expectedLatencyFactor : unrepeatableLatencyFactor;
        return std::max(attempt.targetLatency * factor, minExpectedTime);
    }

    std::string text(std::chrono::nanoseconds time)
    {
        return std::to_string(std::chrono::floor<milliseconds>(time).count()) + " ms";
    }

}

std::optional<std::string> findStopConflict(
    const StopTimes& stop, const AttemptTimes& attempt, Clock::time_point now, BootClock::time_point bootNow)
{
    const auto left = stop.end - bootNow;
    const auto timeout = attempt.deadline - now;
    if (timeout <= left)
        return std::nullopt;
    const auto expected = expectedTime(attempt);
    if (left < expected)
        return "the instance stops in " + text(left) + ", and an answer may take " + text(expected);
    const auto age = bootNow - (now - attempt.arrived) - stop.signalledAt;
    if (attempt.kind == directory::RequestKind::Streaming && age > excusedStreamAge)
        return "the instance stops in " + text(left) + ", and the stream, which arrived " + text(age)
            + " after the signal, may take " + text(timeout);
    return std::nullopt;
}

}
