#include "routing/TargetState.h"

#include <algorithm>
#include <cmath>

namespace dragonfly::routing {

namespace {

    constexpr std::chrono::milliseconds firstAvoidance { 250 };
    constexpr uint32_t mostDoublings = 5;
    constexpr uint32_t assumedNanosecondsPerToken = 50000;
    /// Weight of one answer against what was seen before.
    constexpr double delayWeight = 0.4;
    /// Half of a delay that is not seen again is forgotten in this time: queues are worked off within seconds.
    constexpr std::chrono::milliseconds delayHalfLife { 1000 };

    /// What is left at @p now of a queue of @p tokens at time @p since.
    uint32_t leftOf(const TargetState& state, const std::atomic<uint32_t>& tokens, const std::atomic<Clock::rep>& since,
        Clock::time_point now)
    {
        const int64_t queued = tokens.load(std::memory_order_relaxed);
        if (!queued)
            return 0;
        const auto cost = costPerToken(state.nanosecondsPerToken.load(std::memory_order_relaxed));
        const int64_t done = (now - timeOf(since)) / cost;
        return static_cast<uint32_t>(std::max<int64_t>(0, queued - done));
    }

}

void noteFailure(TargetState& state, Clock::time_point now)
{
    const auto doublings = std::min(state.failures.fetch_add(1, std::memory_order_relaxed), mostDoublings);
    const auto until = now + firstAvoidance * (1 << doublings);
    state.avoidUntil.store(until.time_since_epoch().count(), std::memory_order_relaxed);
}

void noteSuccess(TargetState& state)
{
    if (!state.failures.load(std::memory_order_relaxed))
        return;
    state.failures.store(0, std::memory_order_relaxed);
    state.avoidUntil.store(0, std::memory_order_relaxed);
}

bool noteLeaving(TargetState& state, bool leaving, Clock::time_point since)
{
    if (isLeaving(state) == leaving || since < timeOf(state.leavingChangedAt))
        return false;
    state.leavingChangedAt.store(since.time_since_epoch().count(), std::memory_order_relaxed);
    return state.leaving.exchange(leaving, std::memory_order_relaxed) != leaving;
}

bool noteIncarnation(TargetState& state, uint64_t incarnation)
{
    if (!incarnation)
        return false;
    const auto before = state.incarnation.exchange(incarnation, std::memory_order_relaxed);
    if (!before || before == incarnation)
        return false;
    // A new process is not the one that was leaving, and its queue is empty.
    noteLeaving(state, false, Clock::now());
    state.othersTokens.store(0, std::memory_order_relaxed);
    state.toldTokens.store(0, std::memory_order_relaxed);
    return true;
}

void noteLoad(TargetState& state, uint32_t queuedTokens, Clock::time_point now)
{
    const auto own = state.pendingTokens.load(std::memory_order_relaxed);
    state.othersTokens.store(queuedTokens - std::min(queuedTokens, own), std::memory_order_relaxed);
    state.reportedAt.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

uint32_t queuedTokens(const TargetState& state, Clock::time_point now)
{
    const auto reported = leftOf(state, state.othersTokens, state.reportedAt, now);
    const auto told = leftOf(state, state.toldTokens, state.toldAt, now);
    return state.pendingTokens.load(std::memory_order_relaxed) + std::max(reported, told);
}

std::chrono::microseconds expectedDelay(const TargetState& state, Clock::time_point now)
{
    const auto seen = state.delayUs.load(std::memory_order_relaxed);
    if (!seen)
        return std::chrono::microseconds(0);
    const std::chrono::duration<double> age = now - timeOf(state.delayAt);
    const auto halves = age / std::chrono::duration<double>(delayHalfLife);
    return std::chrono::microseconds(std::llround(seen * std::exp2(-std::max(0.0, halves))));
}

void noteDelay(TargetState& state, std::chrono::microseconds delay, Clock::time_point now)
{
    const auto before = static_cast<double>(expectedDelay(state, now).count());
    const auto seen = static_cast<double>(std::max<int64_t>(0, delay.count()));
    state.delayUs.store(static_cast<uint32_t>(before + (seen - before) * delayWeight), std::memory_order_relaxed);
    state.delayAt.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

void noteOthersWork(TargetState& state, uint32_t tokens, Clock::time_point now)
{
    const auto left = leftOf(state, state.toldTokens, state.toldAt, now);
    state.toldAt.store(now.time_since_epoch().count(), std::memory_order_relaxed);
    state.toldTokens.store(left + tokens, std::memory_order_relaxed);
}

std::chrono::nanoseconds costPerToken(uint32_t observedNanoseconds)
{
    return std::chrono::nanoseconds(observedNanoseconds ? observedNanoseconds : assumedNanosecondsPerToken);
}

}
