#pragma once
// Builds the candidates of a request, one for each usable target of its route, for the policy to choose from.

#include "routing/Placement.h"
#include "routing/Policy.h"
#include "routing/PrefixIndex.h"
#include "routing/View.h"

namespace dragonfly::routing {

struct CandidateQuery {
    const View& view;
    const Route& route;
    const Place& place;
    const PrefixChain* chain = nullptr; ///< null for requests to a plain service
    const PrefixIndex* index = nullptr;
    uint64_t random = 0; ///< seed of the ranks for prompts that are too short to have prefixes
    std::span<const uint32_t> excluded; ///< indices of targets that were tried already
    Clock::time_point now;
};

struct GatheredCandidates {
    std::vector<Candidate> candidates;
    uint32_t knownTokens = 0; ///< longest prefix of the prompt that any candidate is estimated to have cached
};

/// Targets of the route that are not leaving, were not tried yet, and are not known to run other weights.
GatheredCandidates gatherCandidates(const CandidateQuery& query);

/// Length in tokens of the longest prefix that other prompts may share, which determines the preferred target; 0 for
/// a prompt that is too short to have prefixes.
uint32_t sharedPrefixTokens(const PrefixChain& chain);

/// Running estimate, updated from answers, of the share of a shared prefix that its preferred target has cached beyond
/// what this instance observed there. All instances compute the same preferred target without communicating, so each
/// benefits from prefixes that the others sent there.
class PreferredHitRate {
public:
    /// The estimate, from 0 to 1.
    double value() const
    {
        return this->thousandths.load(std::memory_order_relaxed) / 1000.0;
    }
    /// Updates the estimate from the answer of a preferred target: of the @p sharedPrefixTokens of the shared prefix,
    /// @p estimatedTokens were estimated to be cached, and @p cachedTokens were.
    void update(uint32_t estimatedTokens, uint32_t sharedPrefixTokens, uint32_t cachedTokens);

private:
    std::atomic<uint32_t> thousandths { 500 };
};

/// Records @p target as a holder of every prefix of @p chain.
void recordPrefixes(PrefixIndex& index, const PrefixChain& chain, const Target& target, Clock::time_point now);

/// Queues the placement of a prompt on @p target for replication to peers: its shared prefix, and the longest prefix
/// that was known before, at which prompts with the same beginning diverge.
void enqueuePlacements(PlacementQueue& queue, const PrefixChain& chain, const Choice& choice, const Target& target);

/// Adjusts the estimated lifetime of cached prefixes on a target, which reported @p cachedTokens where
/// @p estimatedTokens were estimated from an observation of @p age.
void updateCacheLifetime(
    TargetState& state, uint32_t estimatedTokens, uint32_t cachedTokens, std::chrono::milliseconds age);

}
