#include "weights/EngineLoad.h"

#include <algorithm>

namespace dragonfly::weights {

namespace {

    /// A load that takes this many times the average is an exception, for which the other engines do not wait.
    constexpr int maxLoadTimeFactor = 3;
    /// The part of the time to complete a rollout that one place may take, so that others can follow in it.
    constexpr int placesPerRollout = 2;
    /// Two round trips between regions, and as much again: others go before an engine that sends no report by then.
    /// Many that are lost together would otherwise take the others' places one after the other, each for the time of a
    /// call.
    constexpr std::chrono::milliseconds timeToReport { 300 };
    /// Before an engine is tried again after a first failure, and at most after several. A longer time would add to
    /// the rollout when the engine can be reached again, a shorter one to the probes of engines that are lost.
    constexpr std::chrono::milliseconds firstRetryDelay { 400 };
    constexpr std::chrono::milliseconds maxRetryDelay { 2000 };

    std::chrono::milliseconds retryDelay(uint32_t failures)
    {
        auto delay = firstRetryDelay;
        for (uint32_t i = 1; i < failures && delay < maxRetryDelay; ++i)
            delay *= 2;
        return std::min(delay, maxRetryDelay);
    }

}

std::chrono::milliseconds maxPlaceTime(std::chrono::milliseconds loadTime, std::chrono::milliseconds timeToComplete)
{
    return std::max(loadTime, std::min(maxLoadTimeFactor * loadTime, timeToComplete / placesPerRollout));
}

std::chrono::milliseconds maxTimeToReport(const EngineLoad& load, std::chrono::milliseconds placeTime)
{
    // One that failed before gets all the time, in places apart from the others'.
    return load.failures ? placeTime : std::min(placeTime, timeToReport);
}

Deadline pendingPlaceEnd(Clock::time_point sentAt, std::chrono::milliseconds timeToComplete)
{
    // An order that has been pending for some time is expected to stay so for as long again.
    return sentAt + timeToComplete / placesPerRollout;
}

void takePlace(EngineLoad& load, const std::string& model, uint64_t version, Deadline until)
{
    const auto failures = load.failures;
    load = EngineLoad {};
    load.model = model;
    load.version = version;
    load.holdsPlace = true;
    load.placeUntil = until;
    load.failures = failures;
}

void releasePlace(EngineLoad& load, Clock::time_point now)
{
    load.holdsPlace = false;
    ++load.failures;
    load.checkAt = now + retryDelay(load.failures);
}

}
