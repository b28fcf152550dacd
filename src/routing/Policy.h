#pragma once
// The choice of a target: plain values in, a choice and its reasons out. No sockets, no clock.

#include "base/Base.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <variant>

namespace dragonfly::routing {

enum class Reach {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

/// One target as it looks at the moment of the choice.
struct Candidate {
    uint32_t target = 0; ///< index into View::targets
    Reach reach = Reach::SameDataCentre;
    bool avoided = false; ///< it failed a moment ago
    uint32_t inFlight = 0;
    uint32_t queuedTokens = 0;
    uint32_t cachedTokens = 0; ///< believed to be cached from this prompt
    std::chrono::milliseconds cachedAge { 0 }; ///< since that belief was formed
    uint32_t nanosecondsPerToken = 0; ///< 0 while unknown
    std::chrono::microseconds delay { 0 }; ///< by which answers came later than their own work explains
    std::chrono::nanoseconds surcharge { 0 }; ///< added in the comparison for what an answer is worth less there
    uint64_t familyRank = 0; ///< rendezvous rank for the prompt's beginning, which many prompts share
    uint64_t rank = 0; ///< rendezvous rank for the prompt's whole prefix
};

struct Question {
    uint32_t promptTokens = 0;
    uint32_t knownTokens = 0; ///< longest prefix that was seen before, on any target
    uint32_t homeTokens = 0; ///< length of the prefix that decides the home
    double homeTrust = 0; ///< how likely a home holds that prefix although nobody here has seen it there
    uint64_t random = 0; ///< fresh for each choice
    bool preferReuse = false;
};

/// What tipped the balance; printed by `dragonflyctl explain`.
enum class Reason {
    OnlyCandidate,
    CachedPrefix,
    HomeOfPrefix,
    ShortestQueue,
    Turn,
    LastResort, ///< every candidate failed a moment ago
};

std::string_view toString(Reason reason);

struct Choice {
    uint32_t target = 0;
    Reach reach = Reach::SameDataCentre;
    Reason reason = Reason::OnlyCandidate;
    bool isHome = false;
    uint32_t cachedTokens = 0;
    uint32_t knownTokens = 0; ///< as in the question
    std::chrono::milliseconds cachedAge { 0 };
    std::chrono::nanoseconds expectedFirstToken { 0 };
    std::chrono::nanoseconds queueTime { 0 }; ///< the part of it that is spent on the work of others
};

/// Each request goes to the next target in turn.
struct RoundRobin { };
/// Fewest queued tokens.
struct LeastLoaded { };
/// The less loaded of two random targets.
struct TwoChoices { };
/// The prefix's home, unless it holds more than its share of the work; then the next in rank.
struct BoundedHash {
    double excess = 1.25; ///< allowed load of a home over the average
};
/// Shortest expected time to the first token, from queue, network and believed cache.
struct ExpectedFirstToken { };
/// Least time and work together, with one home for each shared prefix over all data centres.
struct LeastCost { };

using Policy = std::variant<RoundRobin, LeastLoaded, TwoChoices, BoundedHash, ExpectedFirstToken, LeastCost>;

/// The policy called @p name in settings, such as "expected-first-token".
std::optional<Policy> parsePolicy(std::string_view name);

/// Chooses among @p candidates; empty only when there are none.
std::optional<Choice> chooseTarget(
    const Policy& policy, std::span<const Candidate> candidates, const Question& question);

/// Time to the first token if @p candidate got the request.
std::chrono::nanoseconds expectedFirstToken(const Candidate& candidate, const Question& question);

}
