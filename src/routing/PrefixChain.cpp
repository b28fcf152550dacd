#include "routing/PrefixChain.h"

#define XXH_STATIC_LINKING_ONLY // makes the streaming state a complete type
#include <xxhash.h>

namespace dragonfly::routing {

namespace {

    constexpr uint32_t firstBoundaryBytes = 256;
    constexpr uint32_t boundaryAlignmentBytes = 64;
    constexpr uint32_t growthDivisor = 8;
    constexpr uint32_t bytesPerToken = 4;
    constexpr size_t saltHexDigits = 32;

    uint32_t nextBoundary(uint32_t boundary)
    {
        const auto grown = boundary + boundary / growthDivisor + boundaryAlignmentBytes;
        return grown - grown % boundaryAlignmentBytes;
    }

}

uint64_t scopeSeed(std::string_view cacheScope, std::string_view model, std::string_view weights)
{
    return fastHash(weights, fastHash(model, fastHash(cacheScope)));
}

std::string cacheSalt(std::string_view cacheScope, std::string_view model, std::string_view weights)
{
    std::string text(cacheScope);
    text.append("\n").append(model).append("\n").append(weights);
    return toHex(sha256(text)).substr(0, saltHexDigits);
}

PrefixChain buildPrefixChain(std::string_view prompt, uint64_t seed)
{
    PrefixChain chain;
    chain.promptBytes = static_cast<uint32_t>(prompt.size());
    XXH3_state_t state;
    XXH3_64bits_reset_withSeed(&state, seed);
    uint32_t hashed = 0;
    for (uint32_t boundary = firstBoundaryBytes; boundary <= prompt.size(); boundary = nextBoundary(boundary)) {
        if (chain.count == PrefixChain::maxPoints)
            break;
        XXH3_64bits_update(&state, prompt.data() + hashed, boundary - hashed);
        hashed = boundary;
        chain.points[chain.count++] = PrefixPoint { XXH3_64bits_digest(&state), boundary };
    }
    return chain;
}

uint32_t tokensOf(uint32_t bytes)
{
    return (bytes + bytesPerToken - 1) / bytesPerToken;
}

}
