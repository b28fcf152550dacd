#pragma once
// Routing policies, which choose a target from plain values and give the reason. They use no sockets and no clock.

#include "base/Base.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <variant>

namespace dragonfly::routing {

/// How far a target is from this instance, nearest first.
enum class Reach {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

/// The estimated state of one target at the time of the choice.
struct Candidate {
    uint32_t target = 0; ///< index into the caller's list of targets, such as View::targets
    Reach reach = Reach::SameDataCentre;
    bool avoided = false; ///< it failed recently
    uint32_t inFlight = 0; ///< requests of this instance that are under way on the target
    uint32_t queuedTokens = 0; ///< prompt tokens ahead of a new request, from all instances
    uint32_t cachedTokens = 0; ///< estimated prompt tokens of this request that the target has cached
    std::chrono::milliseconds cachedAge { 0 }; ///< age of the observation behind cachedTokens
    uint32_t nanosecondsPerToken = 0; ///< observed prefill cost; 0 while unknown
    std::chrono::microseconds delay { 0 }; ///< expected delay beyond the request's own work
    std::chrono::nanoseconds surcharge { 0 }; ///< cost of a less useful answer, such as one by replaced weights
    uint64_t leadingRank = 0; ///< rendezvous rank for the leading prefix, which many prompts share
    uint64_t rank = 0; ///< rendezvous rank for the shared prefix
};

/// What a policy needs to know of the request to be routed.
struct RoutingRequest {
    uint32_t promptTokens = 0;
    uint32_t knownTokens = 0; ///< longest prefix that any target is estimated to have cached
    uint32_t sharedPrefixTokens = 0; ///< length of the shared prefix, which determines the preferred target
    /// Probability that the preferred target holds the shared prefix although this instance has not observed it there.
    double preferredHitRate = 0;
    uint64_t random = 0; ///< drawn anew for each choice
    bool preferReuse = false; ///< weighs reuse of cached prefixes over latency
};

/// The main reason of a choice; printed by `dragonflyctl explain`.
enum class Reason {
    OnlyCandidate,
    CachedPrefix,
    PreferredTarget,
    ShortestQueue,
    RandomChoice,
    LastResort, ///< every candidate failed recently
};

std::string_view toString(Reason reason);

/// The target of one attempt, and why it was chosen.
struct Choice {
    uint32_t target = 0; ///< as in Candidate
    Reach reach = Reach::SameDataCentre;
    Reason reason = Reason::OnlyCandidate;
    bool isPreferred = false; ///< whether it is the preferred target of the prefix
    uint32_t cachedTokens = 0; ///< as in Candidate
    uint32_t knownTokens = 0; ///< as in RoutingRequest
    std::chrono::milliseconds cachedAge { 0 }; ///< as in Candidate
    std::chrono::nanoseconds expectedFirstToken { 0 }; ///< expected time to the first token
    std::chrono::nanoseconds queueTime { 0 }; ///< the part of expectedFirstToken spent behind queued requests
};

/// A random one of the nearest targets for each request, so that all receive about equal numbers of requests.
struct RoundRobin { };
/// The nearest target with the fewest queued tokens.
struct LeastLoaded { };
/// The less loaded of two random targets among the nearest.
struct TwoChoices { };
/// Consistent hashing with bounded loads: among the nearest targets whose queue is within the bound, the one with the
/// highest rank for the leading prefix; the least loaded one if no queue is.
struct BoundedHash {
    double maxLoadFactor = 1.25; ///< maximum queue of a target, relative to the average
};
/// Shortest expected time to the first token, from queue, network latency and estimated cached tokens, with weights for
/// prefill and for traffic between regions.
struct ExpectedFirstToken { };
/// Lowest total of expected time and recomputed work, with one preferred target for each long shared prefix over all
/// data centres.
struct LeastCost { };

using Policy = std::variant<RoundRobin, LeastLoaded, TwoChoices, BoundedHash, ExpectedFirstToken, LeastCost>;

/// The policy called @p name in settings, such as "expected-first-token"; empty if there is none.
std::optional<Policy> parsePolicy(std::string_view name);

/// Chooses among @p candidates; empty only if there are none.
std::optional<Choice> chooseTarget(
    const Policy& policy, std::span<const Candidate> candidates, const RoutingRequest& request);

/// Expected time to the first token if @p candidate receives the request.
std::chrono::nanoseconds expectedFirstToken(const Candidate& candidate, const RoutingRequest& request);

}
