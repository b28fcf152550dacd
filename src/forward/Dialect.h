#pragma once
// What the router needs to know of a request and its answer, and how both sides spell it.

#include "base/Base.h"
#include "http/Message.h"

#include <optional>
#include <string>
#include <vector>

namespace dragonfly::forward {

/// One part of a prompt. Prompts with the same parts at their beginning share a prefix.
struct PromptPart {
    std::string id;
    uint32_t tokens = 0;
};

/// What a caller says of its request.
struct Description {
    std::string requestId; ///< names this attempt of the caller alone
    std::string host;
    std::string path;
    std::optional<std::string> apiKey;
    std::optional<std::chrono::milliseconds> patience; ///< how long the caller waits for the whole answer
    std::string model; ///< empty for a plain service
    uint32_t promptTokens = 0;
    std::vector<PromptPart> prompt; ///< in order; the last part is the request's or its session's own
    std::string lastEventId; ///< of a stream that the caller resumes
};

/// What a target is told beside the caller's own request.
struct Dispatch {
    std::string targetId;
    std::string organisation; ///< empty for an anonymous request
    std::chrono::milliseconds timeLeft { 0 };
    std::string cacheSalt; ///< engines share cached prefixes among equal salts only; empty for a plain service
    uint64_t weightsVersion = 0; ///< an engine with another one refuses; 0: not asked for
    std::optional<uint32_t> urgency; ///< 0 is first
    std::optional<Endpoint> fetchCacheFrom; ///< an engine or store that holds prefixes of the prompt
    std::optional<Endpoint> saveCacheTo; ///< a store that is to keep the prompt's prefixes
    std::string resumeAfter; ///< the last event that the caller has of a broken stream
};

/// How much a target had to do when it answered.
struct TargetLoadReport {
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 0;
};

/// What a target says in the head of its answer.
struct AnswerNote {
    bool notRun = false; ///< its own word that the request did not run and never will
    bool isStamped = false; ///< it vouches for the answer
    bool isEncoded = false; ///< the body is not the target's own bytes
    std::string requestId; ///< whose answer it is; empty when it does not say
    std::string targetId;
    std::optional<TargetLoadReport> load;
    std::optional<uint64_t> weightsVersion;
    bool isClosing = false; ///< it closes the connection after this answer
};

/// Implemented for each way in which callers and targets spell all this. Has no state.
class Dialect {
public:
    virtual ~Dialect() = default;

    virtual Result<Description> describe(const http::Request& request) const = 0;
    /// The request as a target receives it.
    virtual http::Request dispatch(const http::Request& received, const Dispatch& dispatch) const = 0;
    virtual AnswerNote readAnswer(const http::ResponseHead& head) const = 0;
    /// The headers of a target's answer that the caller receives.
    virtual http::Headers answerHeaders(const http::ResponseHead& head) const = 0;
};

}
