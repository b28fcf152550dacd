#pragma once
// What an instance estimates of one target. Shared by all threads and written without locks.

#include "base/Base.h"

#include <atomic>

namespace dragonfly::routing {

/// Shared by successive views of the configuration. Every field may be stale, so correctness depends on none of them.
struct TargetState {
    std::atomic<uint32_t> inFlight { 0 }; ///< requests of this instance that are under way
    std::atomic<uint32_t> pendingTokens { 0 }; ///< prompt tokens of own requests without a first token yet
    std::atomic<uint32_t> reportedTokens { 0 }; ///< prompt tokens of other instances, by the last report
    std::atomic<Clock::rep> reportedAt { 0 }; ///< time of that report
    std::atomic<uint32_t> replicatedTokens { 0 }; ///< prompt tokens of other instances, by replicated placements
    std::atomic<Clock::rep> replicatedAt { 0 }; ///< when replicatedTokens was last updated
    std::atomic<Clock::rep> avoidUntil { 0 }; ///< set after failures; until then the target is only a last resort
    std::atomic<bool> leaving { false }; ///< the target accepts no new requests
    std::atomic<Clock::rep> leavingChangedAt { 0 }; ///< time of the last change of `leaving`; 0 if it never changed
    std::atomic<uint32_t> consecutiveFailures { 0 };
    std::atomic<uint64_t> incarnation { 0 }; ///< hash of the last observed incarnation; 0 while unknown
    std::atomic<uint64_t> weights { 0 }; ///< hash of the last observed weights; 0 while unknown
    std::atomic<uint32_t> nanosecondsPerToken { 0 }; ///< observed prefill cost; 0 while unknown
    std::atomic<uint32_t> delayUs { 0 }; ///< moving average by which first tokens came later than expected
    std::atomic<Clock::rep> delayAt { 0 }; ///< when delayUs was last updated
    std::atomic<uint32_t> cacheLifetimeMs { 60000 }; ///< estimated time for which a prefix stays cached
};

inline Clock::time_point timeOf(const std::atomic<Clock::rep>& value)
{
    return Clock::time_point(Clock::duration(value.load(std::memory_order_relaxed)));
}

inline bool isLeaving(const TargetState& state)
{
    return state.leaving.load(std::memory_order_relaxed);
}

/// Records a failure. The target is avoided for a time that doubles with each consecutive failure, up to a maximum.
void recordFailure(TargetState& state, Clock::time_point now);
/// Resets the count of consecutive failures and stops avoiding the target.
void recordSuccess(TargetState& state);
/// Updates whether the target is leaving, by information as of @p since. Returns whether this changed the state;
/// information older than the last change is ignored.
bool updateLeaving(TargetState& state, bool leaving, Clock::time_point since);
/// Updates the hash of the target's incarnation; 0 is ignored. Returns whether the target is another process than
/// before, with nothing cached.
bool updateIncarnation(TargetState& state, uint64_t incarnation);
/// Records the target's report of its queue at @p now; @p queuedTokens includes the tokens of this instance.
void recordLoad(TargetState& state, uint32_t queuedTokens, Clock::time_point now);

/// Records how much later an answer began than the request's own work explains. Causes include the work of other
/// instances, a slow target and full batches.
void recordDelay(TargetState& state, std::chrono::microseconds delay, Clock::time_point now);
/// The delay to expect at @p now. A recorded delay decays, since a target that receives no requests yields no samples.
std::chrono::microseconds expectedDelay(const TargetState& state, Clock::time_point now);

/// Adds @p tokens that another instance sent to the target. Call only from the control thread.
void recordPeerTokens(TargetState& state, uint32_t tokens, Clock::time_point now);

/// Prompt tokens ahead of a new request: those of this instance without a first token yet, and those of other
/// instances, less what the target has processed since they were counted. The target's reports may be stale and
/// placements from peers may be lost, so the larger of these two counts is used.
uint32_t queuedTokens(const TargetState& state, Clock::time_point now);

/// Prefill cost of a token: @p observedNanoseconds, or a default if that is 0.
std::chrono::nanoseconds costPerToken(uint32_t observedNanoseconds);

}
