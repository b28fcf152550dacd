#pragma once
// What an instance currently believes about one target. Shared by all threads, written without locks.

#include "base/Base.h"

#include <atomic>

namespace dragonfly::routing {

/// Outlives the views that refer to it. Every field may lag; none of them decides correctness.
struct TargetState {
    std::atomic<uint32_t> inFlight { 0 }; ///< calls of this instance under way
    std::atomic<uint32_t> pendingTokens { 0 }; ///< prompt tokens of this instance not yet answered with a first token
    std::atomic<uint32_t> othersTokens { 0 }; ///< queued by others at the last report, in prompt tokens
    std::atomic<Clock::rep> reportedAt { 0 };
    std::atomic<uint32_t> toldTokens { 0 }; ///< queued by others at toldAt, added up from what they told
    std::atomic<Clock::rep> toldAt { 0 };
    std::atomic<Clock::rep> avoidUntil { 0 }; ///< after failures; targets avoided are used only as a last resort
    std::atomic<bool> leaving { false }; ///< it takes no new work
    std::atomic<Clock::rep> leavingChangedAt { 0 }; ///< when the former last changed; 0: never
    std::atomic<uint32_t> failures { 0 }; ///< in a row
    std::atomic<uint64_t> incarnation { 0 }; ///< hash of the incarnation that answered last; 0 while unknown
    std::atomic<uint64_t> weights { 0 }; ///< hash of the weights it answered with last; 0 while unknown
    std::atomic<uint32_t> nanosecondsPerToken { 0 }; ///< observed prefill cost; 0 while unknown
    std::atomic<uint32_t> delayUs { 0 }; ///< by which first tokens came later than expected, at delayAt
    std::atomic<Clock::rep> delayAt { 0 };
    std::atomic<uint32_t> cacheLifeMs { 60000 }; ///< how long a cached prefix was last seen to survive
};

inline Clock::time_point timeOf(const std::atomic<Clock::rep>& value)
{
    return Clock::time_point(Clock::duration(value.load(std::memory_order_relaxed)));
}

inline bool isLeaving(const TargetState& state)
{
    return state.leaving.load(std::memory_order_relaxed);
}

/// Notes one failure; the target is avoided for a time that doubles with each failure in a row.
void noteFailure(TargetState& state, Clock::time_point now);
void noteSuccess(TargetState& state);
/// Notes that a target leaves, or stays after all, by word from @p since. True when this changes anything;
/// older word than the last change does not.
bool noteLeaving(TargetState& state, bool leaving, Clock::time_point since);
/// True when the target is another process than before: whatever it had cached is gone.
bool noteIncarnation(TargetState& state, uint64_t incarnation);
void noteLoad(TargetState& state, uint32_t queuedTokens, Clock::time_point now);

/// Notes by how much an answer began later than the request's own work explains. Work of other instances,
/// slowness and full batches all show in it.
void noteDelay(TargetState& state, std::chrono::microseconds delay, Clock::time_point now);
/// The delay to expect at @p now: what was seen fades, since a target that is not asked reports nothing.
std::chrono::microseconds expectedDelay(const TargetState& state, Clock::time_point now);

/// Another instance says that it sent work of @p tokens. Only from the control thread.
void noteOthersWork(TargetState& state, uint32_t tokens, Clock::time_point now);

/// Prompt tokens that stand before a new request: what this instance has sent and not seen answered, and
/// what others have queued, less what the target has worked off since. Reports lag and peers' word may
/// be lost, so the larger of the two counts.
uint32_t queuedTokens(const TargetState& state, Clock::time_point now);

/// Observed prefill cost of a token, or an assumed one while none was observed.
std::chrono::nanoseconds costPerToken(uint32_t observedNanoseconds);

}
