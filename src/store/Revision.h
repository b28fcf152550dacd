#pragma once
// Revisions of a store that may return from an older copy of itself.
//
// Such a store gives out revisions again, for other content. It counts its returns, and the count makes up the upper
// bits of a revision here, so that revisions only rise and each names one content. A store that never returns from a
// copy, or does not count, has the era 0.

#include <cstdint>
#include <optional>

namespace dragonfly::store {

/// At a million writes a second these last for 12 days; at the 3,200 of the largest site, for ten years.
inline constexpr int revisionBits = 40;
/// Revisions up to this era are exact in a double, as JSON numbers may be.
inline constexpr int64_t maxEra = (int64_t { 1 } << (53 - revisionBits)) - 1;

inline int64_t eraOf(int64_t revision)
{
    return revision >> revisionBits;
}

/// The revision as the store itself counts it.
inline int64_t revisionWithinEra(int64_t revision)
{
    return revision & ((int64_t { 1 } << revisionBits) - 1);
}

/// @p revision of the store in @p era; 0, which names no content, in every era.
inline int64_t revisionInEra(int64_t era, int64_t revision)
{
    return revision ? (era << revisionBits) | revision : 0;
}

}
