#pragma once
// A bounded index of the targets that last received each prefix, filled from the requests of this instance and from the
// placements that peers replicate.
//
// A wrong entry costs time but never correctness, since targets receive the cache salt with each request. An entry
// holds the incarnation that received the prefix, and no longer counts once the target has another incarnation.

#include "base/Base.h"
#include "routing/PrefixChain.h"

#include <atomic>
#include <memory>
#include <vector>

namespace dragonfly::routing {

/// A target that may hold a prefix.
struct PrefixHolder {
    uint32_t target; ///< shortHash of the hash of the target's name
    uint32_t incarnation; ///< shortHash of the target's incarnation
    std::chrono::milliseconds age; ///< since the entry was recorded
};

/// A lock-free hash table of fixed size. A full bucket replaces its oldest entry.
class PrefixIndex {
public:
    /// @param slots rounded up to a power of two; 16 bytes each
    explicit PrefixIndex(size_t slots);

    /// Records that @p target received @p prefix; replaces an earlier entry of the same prefix and target.
    void record(uint64_t prefix, uint32_t target, uint32_t incarnation, Clock::time_point now);
    /// Writes up to bucketSlots holders to @p holders and returns how many there are.
    size_t find(uint64_t prefix, Clock::time_point now, PrefixHolder* holders) const;

    static constexpr size_t bucketSlots = 8;

private:
    /// The two words are written separately. If writers of different prefixes race, `maskedHolder` is decoded with the
    /// wrong prefix, and the result in practice matches no target.
    struct Slot {
        std::atomic<uint64_t> tagAndTime { 0 }; ///< upper half of the prefix; milliseconds since `epoch` below
        std::atomic<uint64_t> maskedHolder { 0 }; ///< target in the upper half and incarnation, XOR the prefix
    };

    Slot* bucketOf(uint64_t prefix) const;
    uint32_t millisecondsSinceEpoch(Clock::time_point now) const;

    size_t mask;
    std::unique_ptr<Slot[]> slots;
    Clock::time_point epoch;
};

/// Folds a hash into 32 bits, the form in which entries hold target names and incarnations.
uint32_t shortHash(uint64_t hash);

}
