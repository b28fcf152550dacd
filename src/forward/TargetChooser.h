#pragma once
// Selects the target of an attempt, and the source from which its engine may fetch KV cache of the prompt.

#include "directory/Directory.h"
#include "forward/Dialect.h"
#include "limits/Limits.h"
#include "routing/Routing.h"

namespace dragonfly::forward {

/// The inputs of one selection.
struct ChoiceQuery {
    const directory::Directory& directory;
    const directory::RouteTable& routes;
    const directory::Route& route;
    const RequestMetadata& metadata;
    const directory::Organisation* organisation = nullptr; ///< null for an anonymous request
    const routing::Place& place; ///< data centre and region of this instance
    const std::map<std::string, std::string>& regions; ///< region of each data centre
    const routing::PrefixIndex& prefixIndex;
    const std::vector<std::string>& excluded; ///< ids of the targets of earlier attempts
    limits::RequestLimits& limits;
    std::chrono::milliseconds replacedWeightsTtl { 0 }; ///< how long replaced weights may still answer
    uint64_t random = 0; ///< a new random number for each attempt
    Clock::time_point now;
    BootClock::time_point bootNow; ///< the same moment; ages of weights include suspensions of the machine
};

/// The selected target and the metadata of the attempt.
struct TargetChoice {
    directory::TargetPointer target;
    routing::Choice policyChoice;
    size_t candidates = 0; ///< number of targets that were compared
    size_t atLimit = 0; ///< number of targets left out because this instance has used its share of their limits
    uint64_t weightsVersion = 0; ///< the version that the target must run; 0 for a plain service
    std::string cacheSalt; ///< empty for a plain service
    std::vector<uint64_t> prefixes; ///< hashes of the prompt's prefixes under cacheSalt, shortest first
    uint32_t sharedTokens = 0; ///< length of the longest prefix that other prompts may share
    std::optional<Endpoint> fetchCacheFrom;
    std::optional<Endpoint> saveCacheTo;
};

/// The best usable target of the route's services; nullopt when there is none.
std::optional<TargetChoice> chooseTarget(const routing::Policy& policy, const ChoiceQuery& query);

/// The earliest time at which the limit of a usable target lets a request of the route pass; nullopt if there is no
/// usable target, whether or not it is at its limit.
std::optional<Clock::time_point> nextSendAt(const ChoiceQuery& query);

/// Records in @p memory that the selected target now holds the prompt's prefixes.
void rememberPrompt(routing::PrefixIndex& memory, const TargetChoice& choice, Clock::time_point now);

}
