#pragma once
// Hashes of a prompt's prefixes, at boundaries that are the same for every prompt.

#include "base/Base.h"

#include <array>
#include <string>
#include <string_view>

namespace dragonfly::routing {

struct PrefixPoint {
    uint64_t hash = 0;
    uint32_t bytes = 0; ///< length of the prefix
};

/// Prefix hashes of one prompt, shortest first.
///
/// Each boundary lies about an eighth beyond the one before. Two prompts therefore match in all but an eighth or so of
/// what they share, and a prompt of 256 KiB has about fifty boundaries.
struct PrefixChain {
    static constexpr size_t maxPoints = 64;

    std::array<PrefixPoint, maxPoints> points;
    size_t count = 0;
    uint32_t promptBytes = 0;

    const PrefixPoint* begin() const
    {
        return this->points.data();
    }
    const PrefixPoint* end() const
    {
        return this->points.data() + this->count;
    }
};

/// Hash seed for prompts that may share cached prefixes: those with equal cache scope, model and weights.
uint64_t scopeSeed(std::string_view cacheScope, std::string_view model, std::string_view weights);

/// The cache salt sent to engines, which share cached prefixes only among requests with equal salts.
std::string cacheSalt(std::string_view cacheScope, std::string_view model, std::string_view weights);

PrefixChain buildPrefixChain(std::string_view prompt, uint64_t seed);

/// Estimated number of tokens in @p bytes of prompt, at four bytes a token; accurate enough to compare targets.
uint32_t tokensOf(uint32_t bytes);

}
