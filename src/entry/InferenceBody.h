#pragma once
// The body of a completion request: the fields that the router reads, and the body sent to engines.

#include "base/Base.h"

#include <QJsonObject>

namespace dragonfly::entry {

enum class InferenceShape {
    Completion, ///< POST /v1/completions
    Chat, ///< POST /v1/chat/completions
};

struct InferenceBody {
    InferenceShape shape = InferenceShape::Completion;
    QJsonObject fields; ///< the complete body as received
    std::string model;
    std::string prompt; ///< text that prefix caching is based on: the prompt, or all messages in order
    bool stream = false;
    bool includeUsage = false; ///< the caller requested usage at the end of the stream
};

Result<InferenceBody> parseInferenceBody(InferenceShape shape, const std::string& text);

/// Fields that the router adds to the caller's for an engine.
struct EngineOptions {
    std::string requestId; ///< of this attempt; the engine returns it with every event
    std::string cacheSalt; ///< engines share cached prefixes only between requests with the same salt
    std::string weights; ///< an engine with different weights refuses the request
    uint32_t priority = 0;
    uint32_t resumeTokens = 0; ///< number of tokens already received in previous attempts
    std::string resumeText; ///< the text of these tokens
};

std::string toEngineBody(const InferenceBody& body, const EngineOptions& options);

}
