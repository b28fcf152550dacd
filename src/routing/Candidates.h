#pragma once
// Gathers what is known about a route's targets into candidates for the policy.

#include "routing/Placement.h"
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
    uint64_t random = 0; ///< ranks prompts that are too short to have a home
    std::span<const uint32_t> excluded; ///< targets that were tried already
    Clock::time_point now;
};

struct GatheredCandidates {
    std::vector<Candidate> candidates;
    uint32_t knownTokens = 0; ///< longest prefix of the prompt that any of them is believed to hold
};

/// Targets of the route that stay, were not tried yet, and do not hold other weights.
GatheredCandidates gatherCandidates(const CandidateQuery& query);

/// Length in tokens of the prefix that decides the home of a prompt; 0 when it is too short to have one.
uint32_t homeTokens(const PrefixChain& chain);

/// How far homes can be trusted to hold prefixes that this instance has not seen there, learnt from
/// answers. Instances that see a share of the traffic each meet at homes without a word to each other.
class HomeTrust {
public:
    double value() const
    {
        return this->thousandths.load(std::memory_order_relaxed) / 1000.0;
    }
    /// A home was asked that was believed to hold @p believedTokens of @p homeTokens, and held @p cachedTokens.
    void learn(uint32_t believedTokens, uint32_t homeTokens, uint32_t cachedTokens);

private:
    std::atomic<uint32_t> thousandths { 500 };
};

/// Remembers that @p target holds every prefix of @p chain.
void rememberPrompt(PrefixMemory& memory, const PrefixChain& chain, const Target& target, Clock::time_point now);

/// Queues what others need to know of it: the whole prefix, and the part that was known before, from
/// which other prompts branch off.
void tellPlacement(PlacementQueue& queue, const PrefixChain& chain, const Choice& choice, const Target& target);

/// Learns from the target's word on how much it had cached, against what was believed.
void noteCacheOutcome(
    TargetState& state, uint32_t believedTokens, uint32_t cachedTokens, std::chrono::milliseconds age);

}
