#pragma once
// A bounded memory of which target last held which prefix, learnt from answers that went through here.
//
// Wrong entries cost time, never correctness: targets receive the cache scope with each request. Entries
// name the incarnation that they were learnt from, and count no more once the target has another one.

#include "base/Base.h"
#include "routing/PrefixChain.h"

#include <atomic>
#include <memory>
#include <vector>

namespace dragonfly::routing {

/// A target that may hold a prefix.
struct PrefixHolder {
    uint32_t target; ///< hash of the target's name, shortened
    uint32_t incarnation; ///< hash of its incarnation, shortened
    std::chrono::milliseconds age;
};

/// Fixed in size and free of locks; buckets of eight slots, the oldest of which gives way.
class PrefixMemory {
public:
    /// @param slots rounded up to a power of two; 16 bytes each
    explicit PrefixMemory(size_t slots);

    void remember(uint64_t prefix, uint32_t target, uint32_t incarnation, Clock::time_point now);
    /// Writes up to bucketSlots holders to @p holders and returns how many there are.
    size_t find(uint64_t prefix, Clock::time_point now, PrefixHolder* holders) const;

    static constexpr size_t bucketSlots = 8;

private:
    /// The two words may be torn by racing writers; the check bits in `who` then fail to match.
    struct Slot {
        std::atomic<uint64_t> what { 0 }; ///< upper half: check of prefix; lower half: milliseconds
        std::atomic<uint64_t> who { 0 }; ///< target and incarnation, exclusive-or the prefix
    };

    Slot* bucketOf(uint64_t prefix) const;
    uint32_t millisecondsAt(Clock::time_point now) const;

    size_t mask;
    std::unique_ptr<Slot[]> slots;
    Clock::time_point epoch;
};

/// Target names and incarnations in the short form that the memory keeps.
uint32_t shortHash(uint64_t hash);

}
