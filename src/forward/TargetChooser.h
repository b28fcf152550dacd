#pragma once
// Chooses the target of one attempt, and where its engine may fetch cached prefixes from.

#include "directory/Directory.h"
#include "forward/Dialect.h"
#include "routing/Routing.h"

namespace dragonfly::forward {

struct ChoiceQuery {
    const directory::Directory& directory;
    const directory::RouteTable& routes;
    const directory::Route& route;
    const Description& description;
    const directory::Organisation* organisation = nullptr; ///< null for an anonymous request
    const routing::Place& place; ///< of this instance
    const std::map<std::string, std::string>& regions; ///< data centre to region
    const routing::PrefixMemory& memory;
    const std::vector<std::string>& excluded; ///< ids of targets that were tried
    std::chrono::milliseconds weightsTime { 0 }; ///< how long replaced weights may answer
    uint64_t random = 0;
    Clock::time_point now;
};

struct TargetChoice {
    directory::TargetPointer target;
    routing::Choice choice;
    size_t candidates = 0;
    uint64_t weightsVersion = 0; ///< that the target is expected to run; 0 for a plain service
    std::string cacheSalt;
    std::vector<uint64_t> prefixes; ///< hashes of the prompt's prefixes under that salt, shortest first
    uint32_t sharedTokens = 0; ///< of the prefix that other prompts may share
    std::optional<Endpoint> fetchCacheFrom;
    std::optional<Endpoint> saveCacheTo;
};

/// The best usable target of the route's services; nothing when there is none.
std::optional<TargetChoice> chooseTarget(const routing::Policy& policy, const ChoiceQuery& query);

/// Remembers that the chosen target now holds the prompt's prefixes.
void rememberPrompt(routing::PrefixMemory& memory, const TargetChoice& choice, Clock::time_point now);

}
