#pragma once
// The answers of the engine stand-in: a token sequence determined by prompt and weights.

#include "base/Base.h"

#include <string>

namespace standins {

/// Text of the token at @p index, counted from 0.
inline std::string tokenText(const std::string& prompt, const std::string& weights, uint32_t index)
{
    const auto seed = dragonfly::fastHash(weights, dragonfly::fastHash(prompt));
    const auto hash = dragonfly::fastHash(std::to_string(index), seed);
    return " w" + std::to_string(hash % 100000);
}

/// The complete answer of @p count tokens.
inline std::string answerText(const std::string& prompt, const std::string& weights, uint32_t count)
{
    std::string text;
    for (uint32_t index = 0; index < count; ++index)
        text += tokenText(prompt, weights, index);
    return text;
}

}
