#pragma once
// The metadata of requests and answers that the router needs, and its mapping to the headers of a platform.

#include "base/Base.h"
#include "http/Message.h"

#include <optional>
#include <string>
#include <vector>

namespace dragonfly::forward {

/// One part of a prompt. Prompts that begin with the same parts share a prefix.
struct PromptPart {
    std::string id;
    uint32_t tokens = 0;
};

/// The metadata of a caller's request.
struct RequestMetadata {
    std::string requestId; ///< unique to this attempt of the caller
    std::string host;
    std::string path;
    std::optional<std::string> apiKey;
    std::optional<std::chrono::milliseconds> callerTimeout; ///< how long the caller waits for the complete answer
    std::string model; ///< empty for a plain service
    uint32_t promptTokens = 0;
    std::vector<PromptPart> prompt; ///< in order; the last part belongs to this request or its session alone
    std::string lastEventId; ///< last event received of the stream to resume; empty for a new stream
    /// Id of the caller's attempt that brought the first event of the stream to resume; empty if it names none,
    /// several, or one that is too long.
    std::string resumedRequestId;
};

/// The metadata that the router adds to a request for a target.
struct Dispatch {
    std::string targetId;
    std::string organisation; ///< empty for an anonymous request
    std::chrono::milliseconds timeLeft { 0 };
    std::string cacheSalt; ///< engines share cached prefixes only under equal salts; empty for a plain service
    uint64_t weightsVersion = 0; ///< an engine that runs another version refuses; 0: any version
    std::optional<uint32_t> urgency; ///< 0 is the most urgent
    std::optional<Endpoint> fetchCacheFrom; ///< an engine or cache store that holds KV cache of the prompt's prefixes
    std::optional<Endpoint> saveCacheTo; ///< a cache store for the KV cache of the prompt's prefixes
    std::string resumeAfter; ///< id of the last event that the caller received of an interrupted stream
};

/// The load of a target when it answered, in requests.
struct TargetLoadReport {
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 0;
};

/// The metadata in the head of a target's answer.
struct AnswerMetadata {
    bool notRun = false; ///< the target states that it did not and will not run the request
    bool isStamped = false; ///< the answer carries the target's response stamp
    bool isEncoded = false; ///< the body has a content encoding, so it is not the target's original bytes
    std::string requestId; ///< the request that it answers; empty when missing
    std::string targetId;
    std::optional<TargetLoadReport> load;
    std::optional<uint64_t> weightsVersion;
    /// Requests a second that the target takes from all instances together, for as long as its answers name a limit.
    std::optional<double> requestLimit;
    bool hasInvalidLimit = false; ///< a limit is named but cannot be read
    /// Refusals for want of room a second, caused by all instances together, that the target bears.
    std::optional<double> refusalLimit;
    bool hasInvalidRefusalLimit = false; ///< a number of refusals is named but cannot be read
    bool isLeaving = false; ///< the target's process is leaving and wants no further requests
    /// The target turned the request away and wants no requests from this instance for so long.
    std::optional<std::chrono::duration<double>> backoff;
    bool hasInvalidBackoff = false; ///< a time is named, or whether the target is leaving, that cannot be read
    bool isClosing = false; ///< the target closes the connection after this answer
};

/// Translates metadata from and to HTTP headers. Each platform implements it; implementations are stateless.
class Dialect {
public:
    virtual ~Dialect() = default;

    /// Parses the metadata of a caller's request; an error for a malformed header.
    virtual Result<RequestMetadata> parseRequest(const http::Request& request) const = 0;
    /// Builds the request that is sent to the target from @p received and the metadata in @p dispatch.
    virtual http::Request dispatch(const http::Request& received, const Dispatch& dispatch) const = 0;
    /// Parses the metadata of a target's answer; malformed fields count as missing.
    virtual AnswerMetadata parseAnswer(const http::ResponseHead& head) const = 0;
    /// The headers of a target's answer that are relayed to the caller.
    virtual http::Headers answerHeaders(const http::ResponseHead& head) const = 0;
};

}
