#include "routing/Candidates.h"

#include <algorithm>

namespace dragonfly::routing {

namespace {

    constexpr uint32_t familyBytes = 4096;
    /// The end of a prompt is its own; what comes before is shared with others.
    constexpr uint32_t ownShareOfPrompt = 32;
    constexpr uint32_t trustSmoothing = 16;
    constexpr uint32_t shortestCacheLifeMs = 500;
    constexpr uint32_t longestCacheLifeMs = 3600 * 1000;

    Reach reachOf(const Place& from, const Place& to)
    {
        if (from.dataCentre == to.dataCentre)
            return Reach::SameDataCentre;
        return from.region == to.region ? Reach::SameRegion : Reach::OtherRegion;
    }

    PrefixPoint longestUpTo(const PrefixChain& chain, uint32_t bytes)
    {
        PrefixPoint longest;
        for (const auto& point : chain) {
            if (point.bytes > bytes)
                break;
            longest = point;
        }
        return longest;
    }

    /// The prefix that decides where a prompt is at home: the longest one that is not the prompt's own.
    /// All instances find the same one, since it follows from the prompt alone.
    PrefixPoint homePoint(const PrefixChain& chain)
    {
        return longestUpTo(chain, chain.promptBytes - chain.promptBytes / ownShareOfPrompt);
    }

    struct RankHashes {
        uint64_t family;
        uint64_t whole;
    };

    /// Prompts that are too short to have prefixes are ranked at random.
    RankHashes rankHashesOf(const CandidateQuery& query)
    {
        if (!query.chain || !query.chain->count)
            return { query.random, query.random };
        return { longestUpTo(*query.chain, familyBytes).hash, homePoint(*query.chain).hash };
    }

    uint64_t rendezvousRank(uint64_t prefix, uint32_t target)
    {
        const uint64_t pair[] = { prefix, target };
        return fastHash({ reinterpret_cast<const char*>(pair), sizeof(pair) });
    }

    struct Named {
        uint32_t shortName;
        uint32_t incarnation;
        uint32_t lifeMs;
    };

    /// Walks the prompt's prefixes from the longest down and credits each candidate with the first it may hold.
    void creditCachedPrefixes(
        std::vector<Candidate>& candidates, const std::vector<Named>& names, const CandidateQuery& query)
    {
        size_t left = candidates.size();
        PrefixHolder holders[PrefixMemory::bucketSlots];
        for (size_t i = query.chain->count; i > 0 && left; --i) {
            const auto& point = query.chain->points[i - 1];
            const auto found = query.memory->find(point.hash, query.now, holders);
            for (size_t h = 0; h < found; ++h) {
                for (size_t c = 0; c < candidates.size(); ++c) {
                    const bool isHolder = names[c].shortName == holders[h].target;
                    const bool isSame = names[c].incarnation == holders[h].incarnation;
                    if (!isHolder || !isSame || holders[h].age.count() > names[c].lifeMs || candidates[c].cachedTokens)
                        continue;
                    candidates[c].cachedTokens = tokensOf(point.bytes);
                    candidates[c].cachedAge = holders[h].age;
                    --left;
                }
            }
        }
    }

}

GatheredCandidates gatherCandidates(const CandidateQuery& query)
{
    GatheredCandidates gathered;
    auto& candidates = gathered.candidates;
    std::vector<Named> names;
    const auto hashes = rankHashesOf(query);
    const bool isEngine = query.route.path.empty();
    for (const auto index : query.route.targets) {
        const auto& target = query.view.targets[index];
        const auto& state = *target.state;
        const bool wasTried = std::find(query.excluded.begin(), query.excluded.end(), index) != query.excluded.end();
        if (wasTried || isLeaving(state))
            continue;
        const auto weights = state.weights.load(std::memory_order_relaxed);
        if (isEngine && weights && weights != query.view.models[query.route.model].weightsHash)
            continue;
        Candidate candidate;
        candidate.target = index;
        candidate.reach = reachOf(query.place, target.place);
        candidate.avoided = timeOf(state.avoidUntil) > query.now;
        candidate.inFlight = state.inFlight.load(std::memory_order_relaxed);
        candidate.queuedTokens = queuedTokens(state, query.now);
        candidate.nanosecondsPerToken = state.nanosecondsPerToken.load(std::memory_order_relaxed);
        const auto name = shortHash(fastHash(target.name));
        candidate.familyRank = rendezvousRank(hashes.family, name);
        candidate.rank = rendezvousRank(hashes.whole, name);
        candidates.push_back(candidate);
        names.push_back({ name, shortHash(state.incarnation.load(std::memory_order_relaxed)),
            state.cacheLifeMs.load(std::memory_order_relaxed) });
    }
    if (query.chain && query.memory)
        creditCachedPrefixes(candidates, names, query);
    for (const auto& candidate : candidates)
        gathered.knownTokens = std::max(gathered.knownTokens, candidate.cachedTokens);
    return gathered;
}

uint32_t homeTokens(const PrefixChain& chain)
{
    return tokensOf(homePoint(chain).bytes);
}

void HomeTrust::learn(uint32_t believedTokens, uint32_t homeTokens, uint32_t cachedTokens)
{
    if (believedTokens + believedTokens / trustSmoothing >= homeTokens)
        return; // nothing was left to trust in
    const auto more = cachedTokens > believedTokens ? std::min(cachedTokens, homeTokens) - believedTokens : 0;
    const auto seen = 1000 * static_cast<uint64_t>(more) / (homeTokens - believedTokens);
    const auto before = this->thousandths.load(std::memory_order_relaxed);
    const auto after = before - before / trustSmoothing + static_cast<uint32_t>(seen) / trustSmoothing;
    this->thousandths.store(after, std::memory_order_relaxed);
}

void rememberPrompt(PrefixMemory& memory, const PrefixChain& chain, const Target& target, Clock::time_point now)
{
    const auto incarnation = shortHash(target.state->incarnation.load(std::memory_order_relaxed));
    const auto name = shortHash(fastHash(target.name));
    for (const auto& point : chain)
        memory.remember(point.hash, name, incarnation, now);
}

void tellPlacement(PlacementQueue& queue, const PrefixChain& chain, const Choice& choice, const Target& target)
{
    if (!chain.count)
        return;
    const auto incarnation = shortHash(target.state->incarnation.load(std::memory_order_relaxed));
    const auto name = shortHash(fastHash(target.name));
    const auto whole = homePoint(chain);
    const auto promptTokens = tokensOf(chain.promptBytes);
    queue.push({ whole.hash, name, incarnation, promptTokens - std::min(promptTokens, choice.cachedTokens) });
    for (const auto& point : chain) {
        if (tokensOf(point.bytes) == choice.knownTokens && point.hash != whole.hash)
            queue.push({ point.hash, name, incarnation, 0 });
    }
}

void noteCacheOutcome(TargetState& state, uint32_t believedTokens, uint32_t cachedTokens, std::chrono::milliseconds age)
{
    if (!believedTokens)
        return;
    const auto ageMs = static_cast<uint32_t>(age.count());
    const auto life = state.cacheLifeMs.load(std::memory_order_relaxed);
    if (cachedTokens * 2 < believedTokens) {
        if (ageMs < life)
            state.cacheLifeMs.store(
                std::max(shortestCacheLifeMs, life - (life - ageMs) / 4), std::memory_order_relaxed);
    } else if (ageMs > life / 2) {
        state.cacheLifeMs.store(std::min(longestCacheLifeMs, life + life / 8), std::memory_order_relaxed);
    }
}

}
