#pragma once
// Hashes of a prompt's prefixes at boundaries that depend on nothing but the prompt.

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
/// Boundaries grow by an eighth each, so that two prompts lose at most an eighth of what they share,
/// and a prompt of a quarter megabyte has about fifty of them.
struct PrefixChain {
    static constexpr size_t mostPoints = 64;

    std::array<PrefixPoint, mostPoints> points;
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

/// Seed for everything that may share cached prefixes: same scope, same model, same weights.
uint64_t scopeSeed(std::string_view cacheScope, std::string_view model, std::string_view weights);

/// The salt that engines receive: they share cached prefixes only among equal salts.
std::string cacheSalt(std::string_view cacheScope, std::string_view model, std::string_view weights);

PrefixChain buildPrefixChain(std::string_view prompt, uint64_t seed);

/// Rough number of tokens in @p bytes of prompt; good enough to compare targets.
uint32_t tokensOf(uint32_t bytes);

}
