#include "routing/Policy.h"

#include "routing/TargetState.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

namespace dragonfly::routing {

namespace {

    using std::chrono::nanoseconds;

    /// Network latency to a target, indexed by Reach.
    constexpr nanoseconds networkLatency[] = { nanoseconds(500000), nanoseconds(2000000), nanoseconds(60000000) };
    /// Added to the score of targets in other regions, because traffic between regions is charged for.
    constexpr nanoseconds otherRegionSurcharge { 200000000 };
    /// Weights of the request's own prefill relative to queueing, for routes that prefer latency and reuse. They exceed
    /// one because prefill also delays the requests behind it.
    constexpr uint32_t latencyPrefillWeight = 2;
    constexpr uint32_t reusePrefillWeight = 4;

    uint32_t uncachedTokens(const Candidate& candidate, const RoutingRequest& request)
    {
        return request.promptTokens - std::min(request.promptTokens, candidate.cachedTokens);
    }

    using Candidates = std::span<const Candidate>;

    /// Share of a prefix that has to be cached for the prefix to count as held.
    constexpr double minHeldShare = 0.85;
    /// Factor by which the estimated hit rate falls with each further target in the order of the leading prefix.
    constexpr double hitRateDecay = 0.5;

    /// Whether @p candidate holds the longest prefix of the prompt that any target is known to hold.
    bool holdsKnownPrefix(const Candidate& candidate, const RoutingRequest& request)
    {
        return request.knownTokens && candidate.cachedTokens >= minHeldShare * request.knownTokens;
    }

    const Candidate& highestLeadingRank(Candidates candidates)
    {
        return *std::max_element(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.leadingRank < b.leadingRank; });
    }

    /// The preferred target of the prompt, which instances with the same candidates agree on: the holder of the known
    /// prefix with the highest rank for the shared prefix; without a holder, the target with the highest rank for the
    /// leading prefix.
    const Candidate& preferredOf(Candidates candidates, const RoutingRequest& request)
    {
        const auto* preferred = &highestLeadingRank(candidates);
        for (const auto& candidate : candidates) {
            const bool isHolder = holdsKnownPrefix(candidate, request);
            if (isHolder && (candidate.rank > preferred->rank || !holdsKnownPrefix(*preferred, request)))
                preferred = &candidate;
        }
        return *preferred;
    }

    bool lessLoaded(const Candidate& a, const Candidate& b)
    {
        return std::tuple(a.reach, a.queuedTokens, a.inFlight) < std::tuple(b.reach, b.queuedTokens, b.inFlight);
    }

    /// The candidates of the smallest reach, among candidates sorted by reach. Policies without a cost of distance
    /// choose only among these.
    Candidates nearest(Candidates sorted)
    {
        const auto reach = sorted.front().reach;
        const auto end
            = std::find_if(sorted.begin(), sorted.end(), [reach](const Candidate& c) { return c.reach != reach; });
        return sorted.first(static_cast<size_t>(end - sorted.begin()));
    }

    struct Pick {
        const Candidate* candidate;
        Reason reason;
    };

    Pick pick(const RoundRobin&, Candidates candidates, const RoutingRequest& request)
    {
        const auto near = nearest(candidates);
        return { &near[request.random % near.size()], Reason::RandomChoice };
    }

    Pick pick(const LeastLoaded&, Candidates candidates, const RoutingRequest&)
    {
        return { &*std::min_element(candidates.begin(), candidates.end(), lessLoaded), Reason::ShortestQueue };
    }

    Pick pick(const TwoChoices&, Candidates candidates, const RoutingRequest& request)
    {
        const auto near = nearest(candidates);
        const auto& first = near[request.random % near.size()];
        const auto& second = near[(request.random >> 32) % near.size()];
        return { lessLoaded(second, first) ? &second : &first, Reason::ShortestQueue };
    }

    Pick pick(const BoundedHash& policy, Candidates candidates, const RoutingRequest& request)
    {
        const auto near = nearest(candidates);
        double total = request.promptTokens;
        for (const auto& candidate : near)
            total += candidate.queuedTokens;
        const auto bound = policy.maxLoadFactor * total / static_cast<double>(near.size());
        const Candidate* best = nullptr;
        for (const auto& candidate : near) {
            const bool isWithinBound = !candidate.queuedTokens || candidate.queuedTokens <= bound;
            if (isWithinBound && (!best || candidate.leadingRank > best->leadingRank))
                best = &candidate;
        }
        if (best)
            return { best, Reason::PreferredTarget };
        return pick(LeastLoaded {}, near, request);
    }

    /// Expected cached tokens of a prefix of @p tokens, of which @p cachedTokens are known to be cached and the rest is
    /// cached at @p hitRate.
    uint32_t expectedCachedTokens(uint32_t cachedTokens, uint32_t tokens, double hitRate)
    {
        if (cachedTokens >= tokens)
            return cachedTokens;
        return cachedTokens + static_cast<uint32_t>(hitRate * (tokens - cachedTokens));
    }

    /// Estimated tokens of the prompt that @p candidate has cached, whether or not this instance observed them there.
    /// Other instances send the same prefix to the same preferred target and, when that is busy, to the next targets in
    /// the order of the leading prefix, in which @p candidate is at @p position. When a target is known to hold the
    /// prefix, no other target is assumed to hold it as well.
    uint32_t estimatedCachedTokens(
        const Candidate& candidate, const RoutingRequest& request, size_t position, bool isPreferred)
    {
        if (request.knownTokens >= minHeldShare * request.sharedPrefixTokens)
            return candidate.cachedTokens;
        if (isPreferred)
            return expectedCachedTokens(candidate.cachedTokens, request.sharedPrefixTokens, request.preferredHitRate);
        if (request.knownTokens)
            return candidate.cachedTokens;
        return expectedCachedTokens(
            0, request.sharedPrefixTokens, request.preferredHitRate * std::pow(hitRateDecay, position));
    }

    nanoseconds score(const Candidate& candidate, const RoutingRequest& request)
    {
        auto result = expectedFirstToken(candidate, request);
        const auto weight = request.preferReuse ? reusePrefillWeight : latencyPrefillWeight;
        result += costPerToken(candidate.nanosecondsPerToken)
            * (uint64_t(weight - 1) * uncachedTokens(candidate, request));
        if (candidate.reach == Reach::OtherRegion)
            result += otherRegionSurcharge;
        return result + candidate.surcharge;
    }

    Pick pick(const ExpectedFirstToken&, Candidates candidates, const RoutingRequest& request)
    {
        const auto near = nearest(candidates);
        const auto* preferred = &preferredOf(near, request);
        std::vector<const Candidate*> order;
        for (const auto& candidate : candidates)
            order.push_back(&candidate);
        const auto local = order.begin() + static_cast<ptrdiff_t>(near.size());
        std::sort(order.begin(), local,
            [](const Candidate* a, const Candidate* b) { return a->leadingRank > b->leadingRank; });
        const Candidate* best = nullptr;
        nanoseconds bestScore {};
        for (size_t position = 0; position < order.size(); ++position) {
            auto estimated = *order[position];
            if (position < near.size())
                estimated.cachedTokens
                    = estimatedCachedTokens(estimated, request, position, order[position] == preferred);
            const auto candidateScore = score(estimated, request);
            if (best && candidateScore >= bestScore)
                continue;
            best = order[position];
            bestScore = candidateScore;
        }
        if (best == preferred)
            return { best, Reason::PreferredTarget };
        return { best, best->cachedTokens ? Reason::CachedPrefix : Reason::ShortestQueue };
    }

    /// Recomputing a shared prefix also delays other requests on the engine and evicts other prefixes, so its prefill
    /// time counts this many times more, in addition to the time itself.
    constexpr uint32_t recomputeWeight = 4;
    /// The same for short prefixes, which are requested far more often than long ones. Every engine recomputes a short
    /// prefix that was evicted.
    constexpr uint32_t shortRecomputeWeight = 25;
    /// Shared prefixes of at least this length have one preferred target over all data centres, because recomputing
    /// them costs more than the network latency. Shorter ones have one in each data centre.
    constexpr uint32_t longPrefixTokens = 1024;
    /// Assumed probability that the preferred target holds the shared prefix although this instance has not observed
    /// it there.
    constexpr double assumedHitRate = 0.7;

    nanoseconds costOf(const Candidate& candidate, const RoutingRequest& request, bool isPreferred)
    {
        auto cached = candidate.cachedTokens;
        if (isPreferred && cached < request.sharedPrefixTokens)
            cached = expectedCachedTokens(cached, request.sharedPrefixTokens, assumedHitRate);
        const auto uncached = request.promptTokens - std::min(request.promptTokens, cached);
        const auto uncachedShared = request.sharedPrefixTokens - std::min(request.sharedPrefixTokens, cached);
        const uint64_t weight = request.sharedPrefixTokens >= longPrefixTokens ? recomputeWeight : shortRecomputeWeight;
        const uint64_t tokens = uint64_t(candidate.queuedTokens) + uncached + weight * uncachedShared;
        return networkLatency[static_cast<size_t>(candidate.reach)] + candidate.delay
            + costPerToken(candidate.nanosecondsPerToken) * tokens + candidate.surcharge;
    }

    Pick pick(const LeastCost&, Candidates candidates, const RoutingRequest& request)
    {
        const bool isLong = request.sharedPrefixTokens >= longPrefixTokens;
        const auto* preferred
            = request.sharedPrefixTokens ? &highestLeadingRank(isLong ? candidates : nearest(candidates)) : nullptr;
        const Candidate* best = nullptr;
        nanoseconds lowestCost {};
        for (const auto& candidate : candidates) {
            const auto cost = costOf(candidate, request, &candidate == preferred);
            const bool isBetter = !best || cost < lowestCost
                || (cost == lowestCost
                    && std::tuple(candidate.inFlight, candidate.rank) < std::tuple(best->inFlight, best->rank));
            if (!isBetter)
                continue;
            best = &candidate;
            lowestCost = cost;
        }
        if (best == preferred)
            return { best, Reason::PreferredTarget };
        return { best, best->cachedTokens ? Reason::CachedPrefix : Reason::ShortestQueue };
    }

    /// Candidates that are not avoided after failures, nearest first; all candidates if every one is avoided.
    std::vector<Candidate> usable(Candidates candidates)
    {
        std::vector<Candidate> result;
        for (const auto& candidate : candidates) {
            if (!candidate.avoided)
                result.push_back(candidate);
        }
        if (result.empty())
            result.assign(candidates.begin(), candidates.end());
        std::stable_sort(
            result.begin(), result.end(), [](const Candidate& a, const Candidate& b) { return a.reach < b.reach; });
        return result;
    }

}

std::string_view toString(Reason reason)
{
    switch (reason) {
    case Reason::OnlyCandidate:
        return "only candidate";
    case Reason::CachedPrefix:
        return "holds a cached prefix";
    case Reason::PreferredTarget:
        return "preferred target of the prefix";
    case Reason::ShortestQueue:
        return "shortest queue";
    case Reason::RandomChoice:
        return "random choice";
    case Reason::LastResort:
        break;
    }
    return "last resort: every candidate failed recently";
}

std::optional<Policy> parsePolicy(std::string_view name)
{
    if (name == "round-robin")
        return RoundRobin {};
    if (name == "least-loaded")
        return LeastLoaded {};
    if (name == "two-choices")
        return TwoChoices {};
    if (name == "bounded-hash")
        return BoundedHash {};
    if (name == "expected-first-token")
        return ExpectedFirstToken {};
    if (name == "least-cost")
        return LeastCost {};
    return std::nullopt;
}

std::chrono::nanoseconds expectedFirstToken(const Candidate& candidate, const RoutingRequest& request)
{
    const uint64_t tokens = uint64_t(candidate.queuedTokens) + uncachedTokens(candidate, request);
    return networkLatency[static_cast<size_t>(candidate.reach)] + costPerToken(candidate.nanosecondsPerToken) * tokens;
}

std::optional<Choice> chooseTarget(
    const Policy& policy, std::span<const Candidate> candidates, const RoutingRequest& request)
{
    if (candidates.empty())
        return std::nullopt;
    const auto pool = usable(candidates);
    auto picked = std::visit([&](const auto& chosen) { return pick(chosen, Candidates(pool), request); }, policy);
    if (pool.front().avoided)
        picked.reason = Reason::LastResort;
    else if (pool.size() == 1)
        picked.reason = Reason::OnlyCandidate;
    const auto& winner = *picked.candidate;
    const bool isPreferred = &winner == &preferredOf(nearest(pool), request);
    return Choice { winner.target, winner.reach, picked.reason, isPreferred, winner.cachedTokens, request.knownTokens,
        winner.cachedAge, expectedFirstToken(winner, request),
        costPerToken(winner.nanosecondsPerToken) * winner.queuedTokens };
}

}
