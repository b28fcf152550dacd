#pragma once
// Gathers what is known about a route's targets into candidates for the policy.

#include "routing/Policy.h"
#include "routing/PrefixMemory.h"
#include "routing/View.h"

namespace dragonfly::routing {

struct CandidateQuery {
    const View& view;
    const Route& route;
    const Place& place;
    const PrefixChain* chain = nullptr; ///< null for services
    const PrefixMemory* memory = nullptr;
    std::span<const uint32_t> excluded; ///< targets that were tried already
    Clock::time_point now;
};

/// Targets of the route that stay, were not tried yet, and do not hold other weights.
std::vector<Candidate> gatherCandidates(const CandidateQuery& query);

/// Length in tokens of the leading prefix that decides the home of a prompt.
uint32_t homeTokens(const PrefixChain& chain);

/// Remembers that @p target holds every prefix of @p chain.
void rememberPrompt(PrefixMemory& memory, const PrefixChain& chain, const Target& target, Clock::time_point now);

/// Learns from the target's word on how much it had cached, against what was believed.
void noteCacheOutcome(
    TargetState& state, uint32_t believedTokens, uint32_t cachedTokens, std::chrono::milliseconds age);

}
