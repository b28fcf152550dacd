#pragma once
// Selects the target of an attempt, and the source from which its engine may fetch KV cache of the prompt.

#include "backoff/Backoff.h"
#include "directory/Directory.h"
#include "forward/Dialect.h"
#include "routing/Routing.h"
#include "streams/StreamOrigins.h"

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
    const std::vector<std::string>& excluded; ///< ids of the targets that may not be selected
    backoff::SendGate& gate;
    std::chrono::milliseconds replacedWeightsTtl { 0 }; ///< how long replaced weights may still answer
    uint64_t random = 0; ///< a new random number for each attempt
    Clock::time_point now;
    BootClock::time_point bootNow; ///< the same moment; ages of weights include suspensions of the machine
    /// Of a resumable stream: where it may begin; null for any other request.
    const streams::StreamOrigins* origins = nullptr;
    const std::set<std::string>* softwareVersions = nullptr; ///< if set, the only ones at which the stream may go on
    bool isLate = false; ///< also targets that drain may be selected, as the stream can go on at no other
    const std::vector<std::string>* only = nullptr; ///< if set, the ids of the only targets that may be selected
};

/// The selected target and the metadata of the attempt.
struct TargetChoice {
    directory::TargetPointer target;
    routing::Choice policyChoice;
    size_t candidates = 0; ///< number of targets that were compared
    size_t withheld = 0; ///< number of targets left out because they take no request from this instance now
    uint64_t weightsVersion = 0; ///< the version that the target must run; 0 for a plain service
    std::string cacheSalt; ///< empty for a plain service
    std::vector<uint64_t> prefixes; ///< hashes of the prompt's prefixes under cacheSalt, shortest first
    uint32_t sharedTokens = 0; ///< length of the longest prefix that other prompts may share
    std::optional<Endpoint> fetchCacheFrom;
    std::optional<Endpoint> saveCacheTo;
};

/// The best usable target of the route's services; nullopt when there is none.
std::optional<TargetChoice> chooseTarget(const routing::Policy& policy, const ChoiceQuery& query);

/// When a target of the route takes a request again, and why none does so now.
struct NextSend {
    Clock::time_point at;
    backoff::Verdict reason; ///< Open if the target takes requests, or has just refused one
};

/// The earliest time at which any target that may be selected takes a request; nullopt if there is none.
std::optional<NextSend> nextSend(const ChoiceQuery& query);

/// Whether a target that may be selected runs only weights that may no longer answer. It takes requests again once it
/// has loaded newer ones.
bool isAwaitingWeights(const ChoiceQuery& query);

/// Whether the route has targets, but none of the software versions at which the stream may go on.
bool isVersionGone(const ChoiceQuery& query);

/// Whether a target that may be selected is usable, but streams may not begin at its software version yet.
bool isAwaitingVersion(const ChoiceQuery& query);

/// Applies what @p answer says about further requests to @p gate, unless another process than @p target sent it.
/// @param source the id of the request, or the kind of the call, that was answered
void applyStatement(backoff::SendGate& gate, const directory::Registration& target, const AnswerMetadata& answer,
    const std::string& source, Clock::time_point now);

/// Records in @p memory that the selected target now holds the prompt's prefixes.
void rememberPrompt(routing::PrefixIndex& memory, const TargetChoice& choice, Clock::time_point now);

}
