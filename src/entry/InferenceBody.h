#pragma once
// The body of a completion request, as far as the router needs to understand it.

#include "base/Base.h"

#include <QJsonObject>

namespace dragonfly::entry {

enum class InferenceShape {
    Completion, ///< POST /v1/completions
    Chat, ///< POST /v1/chat/completions
};

struct InferenceBody {
    InferenceShape shape = InferenceShape::Completion;
    QJsonObject fields;
    std::string model;
    std::string prompt; ///< what decides cached prefixes: the prompt, or all messages in order
    bool stream = false;
    bool wantsUsage = false;
};

Result<InferenceBody> parseInferenceBody(InferenceShape shape, const std::string& text);

/// What an engine is asked beside the caller's own fields.
struct EngineOrder {
    std::string attempt;
    std::string cacheSalt; ///< engines share cached prefixes only among equal salts
    std::string weights; ///< engines with other weights refuse
    uint32_t priority = 0;
    uint32_t resumeTokens = 0; ///< tokens the caller already has
    std::string resumeText;
};

std::string toEngineBody(const InferenceBody& body, const EngineOrder& order);

}
