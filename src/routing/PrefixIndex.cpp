#include "routing/PrefixIndex.h"

#include <bit>

namespace dragonfly::routing {

PrefixIndex::PrefixIndex(size_t slots)
    : mask(std::bit_ceil(std::max(slots, bucketSlots)) / bucketSlots - 1)
    , slots(std::make_unique<Slot[]>((this->mask + 1) * bucketSlots))
    , epoch(Clock::now() - std::chrono::milliseconds(1))
{
}

PrefixIndex::Slot* PrefixIndex::bucketOf(uint64_t prefix) const
{
    return &this->slots[(prefix & this->mask) * bucketSlots];
}

uint32_t PrefixIndex::millisecondsSinceEpoch(Clock::time_point now) const
{
    return static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - this->epoch).count());
}

void PrefixIndex::record(uint64_t prefix, uint32_t target, uint32_t incarnation, Clock::time_point now)
{
    const auto tag = prefix & 0xffffffff00000000;
    const auto maskedHolder = (uint64_t(target) << 32 | incarnation) ^ prefix;
    const auto time = this->millisecondsSinceEpoch(now);
    auto* bucket = this->bucketOf(prefix);
    auto* chosen = bucket;
    uint32_t maxAge = 0;
    for (auto* slot = bucket; slot != bucket + bucketSlots; ++slot) {
        const auto tagAndTime = slot->tagAndTime.load(std::memory_order_relaxed);
        const auto holder = slot->maskedHolder.load(std::memory_order_relaxed) ^ prefix;
        if ((tagAndTime & 0xffffffff00000000) == tag && holder >> 32 == target) {
            chosen = slot;
            break;
        }
        const auto age = time - static_cast<uint32_t>(tagAndTime);
        if (age >= maxAge) {
            maxAge = age;
            chosen = slot;
        }
    }
    chosen->maskedHolder.store(maskedHolder, std::memory_order_relaxed);
    chosen->tagAndTime.store(tag | time, std::memory_order_relaxed);
}

size_t PrefixIndex::find(uint64_t prefix, Clock::time_point now, PrefixHolder* holders) const
{
    const auto tag = prefix & 0xffffffff00000000;
    const auto time = this->millisecondsSinceEpoch(now);
    size_t count = 0;
    const auto* bucket = this->bucketOf(prefix);
    for (const auto* slot = bucket; slot != bucket + bucketSlots; ++slot) {
        const auto tagAndTime = slot->tagAndTime.load(std::memory_order_relaxed);
        if ((tagAndTime & 0xffffffff00000000) != tag || !tagAndTime)
            continue;
        const auto holder = slot->maskedHolder.load(std::memory_order_relaxed) ^ prefix;
        const std::chrono::milliseconds age(time - static_cast<uint32_t>(tagAndTime));
        holders[count++] = { static_cast<uint32_t>(holder >> 32), static_cast<uint32_t>(holder), age };
    }
    return count;
}

uint32_t shortHash(uint64_t hash)
{
    return static_cast<uint32_t>(hash ^ hash >> 32);
}

}
