#include "routing/TargetState.h"

#include <algorithm>
#include <cmath>

namespace dragonfly::routing {

namespace {

    constexpr std::chrono::milliseconds initialAvoidance { 250 };
    constexpr uint32_t maxDoublings = 5;
    constexpr uint32_t defaultNanosecondsPerToken = 50000;
    /// Weight of a new sample in the moving average of delays.
    constexpr double delayWeight = 0.4;
    /// A recorded delay decays to half in this time, since engines process their queues within seconds.
    constexpr std::chrono::milliseconds delayHalfLife { 1000 };

    /// Estimated rest at @p now of a queue that had @p tokens at time @p since.
    uint32_t remainingTokens(const TargetState& state, const std::atomic<uint32_t>& tokens,
        const std::atomic<Clock::rep>& since, Clock::time_point now)
    {
        const int64_t queued = tokens.load(std::memory_order_relaxed);
        if (!queued)
            return 0;
        const auto cost = costPerToken(state.nanosecondsPerToken.load(std::memory_order_relaxed));
        const int64_t done = (now - timeOf(since)) / cost;
        return static_cast<uint32_t>(std::max<int64_t>(0, queued - done));
    }

}

void recordFailure(TargetState& state, Clock::time_point now)
{
    const auto doublings = std::min(state.consecutiveFailures.fetch_add(1, std::memory_order_relaxed), maxDoublings);
    const auto until = now + initialAvoidance * (1 << doublings);
    state.avoidUntil.store(until.time_since_epoch().count(), std::memory_order_relaxed);
}

void recordSuccess(TargetState& state)
{
    if (!state.consecutiveFailures.load(std::memory_order_relaxed))
        return;
    state.consecutiveFailures.store(0, std::memory_order_relaxed);
    state.avoidUntil.store(0, std::memory_order_relaxed);
}

bool updateLeaving(TargetState& state, bool leaving, Clock::time_point since)
{
    if (isLeaving(state) == leaving || since < timeOf(state.leavingChangedAt))
        return false;
    state.leavingChangedAt.store(since.time_since_epoch().count(), std::memory_order_relaxed);
    return state.leaving.exchange(leaving, std::memory_order_relaxed) != leaving;
}

bool updateIncarnation(TargetState& state, uint64_t incarnation)
{
    if (!incarnation)
        return false;
    const auto before = state.incarnation.exchange(incarnation, std::memory_order_relaxed);
    if (!before || before == incarnation)
        return false;
    // The new process is not leaving, even if the former one was, and its queue is empty.
    updateLeaving(state, false, Clock::now());
    state.reportedTokens.store(0, std::memory_order_relaxed);
    state.replicatedTokens.store(0, std::memory_order_relaxed);
    return true;
}

void recordLoad(TargetState& state, uint32_t queuedTokens, Clock::time_point now)
{
    const auto own = state.pendingTokens.load(std::memory_order_relaxed);
    state.reportedTokens.store(queuedTokens - std::min(queuedTokens, own), std::memory_order_relaxed);
    state.reportedAt.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

uint32_t queuedTokens(const TargetState& state, Clock::time_point now)
{
    const auto reported = remainingTokens(state, state.reportedTokens, state.reportedAt, now);
    const auto replicated = remainingTokens(state, state.replicatedTokens, state.replicatedAt, now);
    return state.pendingTokens.load(std::memory_order_relaxed) + std::max(reported, replicated);
}

std::chrono::microseconds expectedDelay(const TargetState& state, Clock::time_point now)
{
    const auto recorded = state.delayUs.load(std::memory_order_relaxed);
    if (!recorded)
        return std::chrono::microseconds(0);
    const std::chrono::duration<double> age = now - timeOf(state.delayAt);
    const auto halfLives = age / std::chrono::duration<double>(delayHalfLife);
    return std::chrono::microseconds(std::llround(recorded * std::exp2(-std::max(0.0, halfLives))));
}

void recordDelay(TargetState& state, std::chrono::microseconds delay, Clock::time_point now)
{
    const auto before = static_cast<double>(expectedDelay(state, now).count());
    const auto sample = static_cast<double>(std::max<int64_t>(0, delay.count()));
    state.delayUs.store(static_cast<uint32_t>(before + (sample - before) * delayWeight), std::memory_order_relaxed);
    state.delayAt.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

void recordPeerTokens(TargetState& state, uint32_t tokens, Clock::time_point now)
{
    const auto remaining = remainingTokens(state, state.replicatedTokens, state.replicatedAt, now);
    state.replicatedAt.store(now.time_since_epoch().count(), std::memory_order_relaxed);
    state.replicatedTokens.store(remaining + tokens, std::memory_order_relaxed);
}

std::chrono::nanoseconds costPerToken(uint32_t observedNanoseconds)
{
    return std::chrono::nanoseconds(observedNanoseconds ? observedNanoseconds : defaultNanosecondsPerToken);
}

}
