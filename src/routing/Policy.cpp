#include "routing/Policy.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace dragonfly::routing {

namespace {

    using std::chrono::nanoseconds;

    constexpr uint32_t assumedNanosecondsPerToken = 50000;
    constexpr nanoseconds networkTime[] = { nanoseconds(500000), nanoseconds(2000000), nanoseconds(60000000) };
    /// Added to other regions in the comparison, because traffic across is paid for.
    constexpr nanoseconds otherRegionSurcharge { 200000000 };
    constexpr uint32_t reuseWeight = 4;

    uint32_t costPerToken(const Candidate& candidate)
    {
        return candidate.nanosecondsPerToken ? candidate.nanosecondsPerToken : assumedNanosecondsPerToken;
    }

    uint32_t uncachedTokens(const Candidate& candidate, const Question& question)
    {
        return question.promptTokens - std::min(question.promptTokens, candidate.cachedTokens);
    }

    using Candidates = std::span<const Candidate>;

    const Candidate& bestByRank(Candidates candidates)
    {
        return *std::max_element(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.rank < b.rank; });
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
            if (hasRoom && (!best || candidate.rank > best->rank))
                best = &candidate;
        }
        if (best)
            return { best, Reason::HomeOfPrefix };
        return pick(LeastLoaded {}, near, question);
    }

    /// What @p candidate costs in the comparison; a home counts as holding half of its prefix.
    nanoseconds score(const Candidate& candidate, const Question& question, bool isHome)
    {
        auto assumed = candidate;
        if (isHome)
            assumed.cachedTokens = std::max(candidate.cachedTokens, question.homeTokens / 2);
        auto result = expectedFirstToken(assumed, question);
        if (question.preferReuse)
            result
                += nanoseconds(uint64_t(reuseWeight - 1) * uncachedTokens(assumed, question) * costPerToken(assumed));
        if (candidate.reach == Reach::OtherRegion)
            result += otherRegionSurcharge;
        return result;
    }

    Pick pick(const ExpectedFirstToken&, Candidates candidates, const Question& question)
    {
        const auto* home = &bestByRank(nearest(candidates));
        const Candidate* best = nullptr;
        nanoseconds bestScore {};
        for (const auto& candidate : candidates) {
            const auto own = score(candidate, question, &candidate == home);
            if (!best || own < bestScore || (own == bestScore && candidate.rank > best->rank)) {
                best = &candidate;
                bestScore = own;
            }
        }
        if (best->cachedTokens)
            return { best, Reason::CachedPrefix };
        return { best, best == home ? Reason::HomeOfPrefix : Reason::ShortestQueue };
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
    return std::nullopt;
}

std::chrono::nanoseconds expectedFirstToken(const Candidate& candidate, const Question& question)
{
    const uint64_t tokens = uint64_t(candidate.queuedTokens) + uncachedTokens(candidate, question);
    return networkTime[static_cast<size_t>(candidate.reach)] + nanoseconds(tokens * costPerToken(candidate));
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
    return Choice { winner.target, winner.reach, picked.reason, winner.cachedTokens, winner.cachedAge,
        expectedFirstToken(winner, question) };
}

}
