#include "routing/Policy.h"

#include "routing/TargetState.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

namespace dragonfly::routing {

namespace {

    using std::chrono::nanoseconds;

    constexpr nanoseconds networkTime[] = { nanoseconds(500000), nanoseconds(2000000), nanoseconds(60000000) };
    /// Added to other regions in the comparison, because traffic across is paid for.
    constexpr nanoseconds otherRegionSurcharge { 200000000 };
    /// Prefill delays those who come after as well, so it weighs more than waiting does.
    constexpr uint32_t latencyComputeWeight = 2;
    constexpr uint32_t reuseComputeWeight = 4;

    uint32_t uncachedTokens(const Candidate& candidate, const Question& question)
    {
        return question.promptTokens - std::min(question.promptTokens, candidate.cachedTokens);
    }

    using Candidates = std::span<const Candidate>;

    /// A target belongs to a prompt's family when it holds about all of the prompt that is known anywhere.
    constexpr double familyShare = 0.85;
    /// How likely the next target in the family's order holds what the one before it holds.
    constexpr double spillShare = 0.5;

    bool isFamily(const Candidate& candidate, const Question& question)
    {
        return question.knownTokens && candidate.cachedTokens >= familyShare * question.knownTokens;
    }

    const Candidate& bestByFamilyRank(Candidates candidates)
    {
        return *std::max_element(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.familyRank < b.familyRank; });
    }

    /// Where all instances expect the prompt: the family's member of highest rank for the whole prefix.
    const Candidate& homeOf(Candidates candidates, const Question& question)
    {
        const auto* home = &bestByFamilyRank(candidates);
        for (const auto& candidate : candidates) {
            const bool isMember = isFamily(candidate, question);
            if (isMember && (candidate.rank > home->rank || !isFamily(*home, question)))
                home = &candidate;
        }
        return *home;
    }

    bool lessLoaded(const Candidate& a, const Candidate& b)
    {
        return std::tuple(a.reach, a.queuedTokens, a.inFlight) < std::tuple(b.reach, b.queuedTokens, b.inFlight);
    }

    /// The baselines know no cost of distance: they stay as near as they can.
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

    Pick pick(const RoundRobin&, Candidates candidates, const Question& question)
    {
        const auto near = nearest(candidates);
        return { &near[question.random % near.size()], Reason::Turn };
    }

    Pick pick(const LeastLoaded&, Candidates candidates, const Question&)
    {
        return { &*std::min_element(candidates.begin(), candidates.end(), lessLoaded), Reason::ShortestQueue };
    }

    Pick pick(const TwoChoices&, Candidates candidates, const Question& question)
    {
        const auto near = nearest(candidates);
        const auto& first = near[question.random % near.size()];
        const auto& second = near[(question.random >> 32) % near.size()];
        return { lessLoaded(second, first) ? &second : &first, Reason::ShortestQueue };
    }

    Pick pick(const BoundedHash& policy, Candidates candidates, const Question& question)
    {
        const auto near = nearest(candidates);
        double total = question.promptTokens;
        for (const auto& candidate : near)
            total += candidate.queuedTokens;
        const auto bound = policy.excess * total / static_cast<double>(near.size());
        const Candidate* best = nullptr;
        for (const auto& candidate : near) {
            const bool hasRoom = !candidate.queuedTokens || candidate.queuedTokens <= bound;
            if (hasRoom && (!best || candidate.familyRank > best->familyRank))
                best = &candidate;
        }
        if (best)
            return { best, Reason::HomeOfPrefix };
        return pick(LeastLoaded {}, near, question);
    }

    uint32_t withTrust(uint32_t cachedTokens, uint32_t tokens, double trust)
    {
        if (cachedTokens >= tokens)
            return cachedTokens;
        return cachedTokens + static_cast<uint32_t>(trust * (tokens - cachedTokens));
    }

    /// Tokens of the prompt that @p candidate may hold, seen here or not. Other instances send the same
    /// prefixes to the same home, and when it is busy to the next in the family's order, and so on. Where
    /// the prefix is known to be held, no other target is assumed to hold it as well.
    uint32_t assumedTokens(const Candidate& candidate, const Question& question, size_t place, bool isHome)
    {
        if (question.knownTokens >= familyShare * question.homeTokens)
            return candidate.cachedTokens;
        if (isHome)
            return withTrust(candidate.cachedTokens, question.homeTokens, question.homeTrust);
        if (question.knownTokens)
            return candidate.cachedTokens;
        return withTrust(0, question.homeTokens, question.homeTrust * std::pow(spillShare, place));
    }

    nanoseconds score(const Candidate& candidate, const Question& question)
    {
        auto result = expectedFirstToken(candidate, question);
        const auto weight = question.preferReuse ? reuseComputeWeight : latencyComputeWeight;
        result += costPerToken(candidate.nanosecondsPerToken)
            * (uint64_t(weight - 1) * uncachedTokens(candidate, question));
        if (candidate.reach == Reach::OtherRegion)
            result += otherRegionSurcharge;
        return result + candidate.surcharge;
    }

    Pick pick(const ExpectedFirstToken&, Candidates candidates, const Question& question)
    {
        const auto near = nearest(candidates);
        const auto* home = &homeOf(near, question);
        std::vector<const Candidate*> order;
        for (const auto& candidate : candidates)
            order.push_back(&candidate);
        const auto local = order.begin() + static_cast<ptrdiff_t>(near.size());
        std::sort(
            order.begin(), local, [](const Candidate* a, const Candidate* b) { return a->familyRank > b->familyRank; });
        const Candidate* best = nullptr;
        nanoseconds bestScore {};
        for (size_t place = 0; place < order.size(); ++place) {
            auto assumed = *order[place];
            if (place < near.size())
                assumed.cachedTokens = assumedTokens(assumed, question, place, order[place] == home);
            const auto own = score(assumed, question);
            if (best && own >= bestScore)
                continue;
            best = order[place];
            bestScore = own;
        }
        if (best == home)
            return { best, Reason::HomeOfPrefix };
        return { best, best->cachedTokens ? Reason::CachedPrefix : Reason::ShortestQueue };
    }

    /// Reading a shared prefix again also takes its engine from others and pushes other prefixes out, so it
    /// weighs this many times its own time, beside that time itself.
    constexpr uint32_t rereadWeight = 4;
    /// Short prefixes are asked for far more often than long ones, and a lost one is read by every engine.
    constexpr uint32_t shortRereadWeight = 25;
    /// Longer shared prefixes have one home over all data centres: reading them costs more than the way there.
    /// Shorter ones have one in each.
    constexpr uint32_t longPrefixTokens = 1024;
    /// How likely the home holds the shared prefix although this instance has not seen it there.
    constexpr double homeTrust = 0.7;

    nanoseconds costAt(const Candidate& candidate, const Question& question, bool isHome)
    {
        auto cached = candidate.cachedTokens;
        if (isHome && cached < question.homeTokens)
            cached = withTrust(cached, question.homeTokens, homeTrust);
        const auto unread = question.promptTokens - std::min(question.promptTokens, cached);
        const auto unreadShared = question.homeTokens - std::min(question.homeTokens, cached);
        const uint64_t weight = question.homeTokens >= longPrefixTokens ? rereadWeight : shortRereadWeight;
        const uint64_t tokens = uint64_t(candidate.queuedTokens) + unread + weight * unreadShared;
        return networkTime[static_cast<size_t>(candidate.reach)] + candidate.delay
            + costPerToken(candidate.nanosecondsPerToken) * tokens + candidate.surcharge;
    }

    Pick pick(const LeastCost&, Candidates candidates, const Question& question)
    {
        const bool isLong = question.homeTokens >= longPrefixTokens;
        const auto* home = question.homeTokens ? &bestByFamilyRank(isLong ? candidates : nearest(candidates)) : nullptr;
        const Candidate* best = nullptr;
        nanoseconds least {};
        for (const auto& candidate : candidates) {
            const auto cost = costAt(candidate, question, &candidate == home);
            const bool isBetter = !best || cost < least
                || (cost == least
                    && std::tuple(candidate.inFlight, candidate.rank) < std::tuple(best->inFlight, best->rank));
            if (!isBetter)
                continue;
            best = &candidate;
            least = cost;
        }
        if (best == home)
            return { best, Reason::HomeOfPrefix };
        return { best, best->cachedTokens ? Reason::CachedPrefix : Reason::ShortestQueue };
    }

    /// Candidates that did not just fail, nearest first; all of them when every one did.
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
        return "holds the longest useful prefix";
    case Reason::HomeOfPrefix:
        return "home of the prefix";
    case Reason::ShortestQueue:
        return "shortest queue";
    case Reason::Turn:
        return "its turn";
    case Reason::LastResort:
        break;
    }
    return "last resort: every candidate failed a moment ago";
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

std::chrono::nanoseconds expectedFirstToken(const Candidate& candidate, const Question& question)
{
    const uint64_t tokens = uint64_t(candidate.queuedTokens) + uncachedTokens(candidate, question);
    return networkTime[static_cast<size_t>(candidate.reach)] + costPerToken(candidate.nanosecondsPerToken) * tokens;
}

std::optional<Choice> chooseTarget(
    const Policy& policy, std::span<const Candidate> candidates, const Question& question)
{
    if (candidates.empty())
        return std::nullopt;
    const auto pool = usable(candidates);
    auto picked = std::visit([&](const auto& chosen) { return pick(chosen, Candidates(pool), question); }, policy);
    if (pool.front().avoided)
        picked.reason = Reason::LastResort;
    else if (pool.size() == 1)
        picked.reason = Reason::OnlyCandidate;
    const auto& winner = *picked.candidate;
    const bool isHome = &winner == &homeOf(nearest(pool), question);
    return Choice { winner.target, winner.reach, picked.reason, isHome, winner.cachedTokens, question.knownTokens,
        winner.cachedAge, expectedFirstToken(winner, question),
        costPerToken(winner.nanosecondsPerToken) * winner.queuedTokens };
}

}
