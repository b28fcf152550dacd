#pragma once
// The answers that the engine stand-in gives: a fixed sequence of tokens for each prompt and weights.

#include "base/Base.h"

#include <string>

namespace standins {

inline std::string tokenText(const std::string& prompt, const std::string& weights, uint32_t index)
{
    const auto seed = dragonfly::fastHash(weights, dragonfly::fastHash(prompt));
    const auto hash = dragonfly::fastHash(std::to_string(index), seed);
    return " w" + std::to_string(hash % 100000);
}

/// The whole answer of @p count tokens.
inline std::string answerText(const std::string& prompt, const std::string& weights, uint32_t count)
{
    std::string text;
    for (uint32_t index = 0; index < count; ++index)
        text += tokenText(prompt, weights, index);
    return text;
}

}
