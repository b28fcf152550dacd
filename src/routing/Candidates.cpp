#include "routing/Candidates.h"

#include <algorithm>

namespace dragonfly::routing {

namespace {

    /// Longest prefix that counts as the leading prefix, in bytes.
    constexpr uint32_t maxLeadingBytes = 4096;
    /// The last 1/32 of a prompt is assumed to be unique to it; the part before may be shared with other prompts.
    constexpr uint32_t uniqueTailDivisor = 32;
    constexpr uint32_t hitRateSmoothing = 16;
    constexpr uint32_t minCacheLifetimeMs = 500;
    constexpr uint32_t maxCacheLifetimeMs = 3600 * 1000;

    Reach reachOf(const Place& from, const Place& to)
    {
        if (from.dataCentre == to.dataCentre)
            return Reach::SameDataCentre;
        return from.region == to.region ? Reach::SameRegion : Reach::OtherRegion;
    }

    PrefixPoint longestPrefixUpTo(const PrefixChain& chain, uint32_t bytes)
    {
        PrefixPoint longest;
        for (const auto& point : chain) {
            if (point.bytes > bytes)
                break;
            longest = point;
        }
        return longest;
    }

    /// The longest prefix that other prompts may share. It determines the prompt's preferred target, and all
    /// instances compute the same one, since it depends on the prompt alone.
    PrefixPoint sharedPrefix(const PrefixChain& chain)
    {
        return longestPrefixUpTo(chain, chain.promptBytes - chain.promptBytes / uniqueTailDivisor);
    }

    struct RankHashes {
        uint64_t leadingPrefix;
        uint64_t sharedPrefix;
    };

    /// Prompts that are too short to have prefixes are ranked at random.
    RankHashes rankHashesOf(const CandidateQuery& query)
    {
        if (!query.chain || !query.chain->count)
            return { query.random, query.random };
        return { longestPrefixUpTo(*query.chain, maxLeadingBytes).hash, sharedPrefix(*query.chain).hash };
    }

    uint64_t rendezvousRank(uint64_t prefix, uint32_t target)
    {
        const uint64_t pair[] = { prefix, target };
        return fastHash({ reinterpret_cast<const char*>(pair), sizeof(pair) });
    }

    /// Identifies a candidate among the holders in the prefix index, and says how long their entries count.
    struct HolderKey {
        uint32_t targetHash;
        uint32_t incarnationHash;
        uint32_t cacheLifetimeMs;
    };

    /// Sets the estimated cached tokens of each candidate to the longest prefix of the prompt that it may hold.
    void estimateCachedTokens(
        std::vector<Candidate>& candidates, const std::vector<HolderKey>& keys, const CandidateQuery& query)
    {
        size_t remaining = candidates.size();
        PrefixHolder holders[PrefixIndex::bucketSlots];
        for (size_t i = query.chain->count; i > 0 && remaining; --i) {
            const auto& point = query.chain->points[i - 1];
            const auto found = query.index->find(point.hash, query.now, holders);
            for (size_t h = 0; h < found; ++h) {
                for (size_t c = 0; c < candidates.size(); ++c) {
                    const bool isHolder = keys[c].targetHash == holders[h].target;
                    const bool isSame = keys[c].incarnationHash == holders[h].incarnation;
                    if (!isHolder || !isSame || holders[h].age.count() > keys[c].cacheLifetimeMs
                        || candidates[c].cachedTokens)
                        continue;
                    candidates[c].cachedTokens = tokensOf(point.bytes);
                    candidates[c].cachedAge = holders[h].age;
                    --remaining;
                }
            }
        }
    }

}

GatheredCandidates gatherCandidates(const CandidateQuery& query)
{
    GatheredCandidates gathered;
    auto& candidates = gathered.candidates;
    std::vector<HolderKey> keys;
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
        candidate.leadingRank = rendezvousRank(hashes.leadingPrefix, name);
        candidate.rank = rendezvousRank(hashes.sharedPrefix, name);
        candidates.push_back(candidate);
        keys.push_back({ name, shortHash(state.incarnation.load(std::memory_order_relaxed)),
            state.cacheLifetimeMs.load(std::memory_order_relaxed) });
    }
    if (query.chain && query.index)
        estimateCachedTokens(candidates, keys, query);
    for (const auto& candidate : candidates)
        gathered.knownTokens = std::max(gathered.knownTokens, candidate.cachedTokens);
    return gathered;
}

uint32_t sharedPrefixTokens(const PrefixChain& chain)
{
    return tokensOf(sharedPrefix(chain).bytes);
}

void PreferredHitRate::update(uint32_t estimatedTokens, uint32_t sharedPrefixTokens, uint32_t cachedTokens)
{
    // Nearly all of the shared prefix was observed there, so the answer says nothing about unobserved parts.
    if (estimatedTokens + estimatedTokens / hitRateSmoothing >= sharedPrefixTokens)
        return;
    const auto more = cachedTokens > estimatedTokens ? std::min(cachedTokens, sharedPrefixTokens) - estimatedTokens : 0;
    const auto sample = 1000 * static_cast<uint64_t>(more) / (sharedPrefixTokens - estimatedTokens);
    const auto before = this->thousandths.load(std::memory_order_relaxed);
    const auto after = before - before / hitRateSmoothing + static_cast<uint32_t>(sample) / hitRateSmoothing;
    this->thousandths.store(after, std::memory_order_relaxed);
}

void recordPrefixes(PrefixIndex& index, const PrefixChain& chain, const Target& target, Clock::time_point now)
{
    const auto incarnation = shortHash(target.state->incarnation.load(std::memory_order_relaxed));
    const auto name = shortHash(fastHash(target.name));
    for (const auto& point : chain)
        index.record(point.hash, name, incarnation, now);
}

void enqueuePlacements(PlacementQueue& queue, const PrefixChain& chain, const Choice& choice, const Target& target)
{
    if (!chain.count)
        return;
    const auto incarnation = shortHash(target.state->incarnation.load(std::memory_order_relaxed));
    const auto name = shortHash(fastHash(target.name));
    const auto shared = sharedPrefix(chain);
    const auto promptTokens = tokensOf(chain.promptBytes);
    queue.push({ shared.hash, name, incarnation, promptTokens - std::min(promptTokens, choice.cachedTokens) });
    for (const auto& point : chain) {
        if (tokensOf(point.bytes) == choice.knownTokens && point.hash != shared.hash)
            queue.push({ point.hash, name, incarnation, 0 });
    }
}

void updateCacheLifetime(
    TargetState& state, uint32_t estimatedTokens, uint32_t cachedTokens, std::chrono::milliseconds age)
{
    if (!estimatedTokens)
        return;
    const auto ageMs = static_cast<uint32_t>(age.count());
    const auto lifetimeMs = state.cacheLifetimeMs.load(std::memory_order_relaxed);
    if (cachedTokens * 2 < estimatedTokens) {
        if (ageMs < lifetimeMs)
            state.cacheLifetimeMs.store(
                std::max(minCacheLifetimeMs, lifetimeMs - (lifetimeMs - ageMs) / 4), std::memory_order_relaxed);
    } else if (ageMs > lifetimeMs / 2) {
        state.cacheLifetimeMs.store(
            std::min(maxCacheLifetimeMs, lifetimeMs + lifetimeMs / 8), std::memory_order_relaxed);
    }
}

}
