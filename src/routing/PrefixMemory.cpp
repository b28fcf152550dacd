#include "routing/PrefixMemory.h"

#include <bit>

namespace dragonfly::routing {

PrefixMemory::PrefixMemory(size_t slots)
    : mask(std::bit_ceil(std::max(slots, bucketSlots)) / bucketSlots - 1)
    , slots(std::make_unique<Slot[]>((this->mask + 1) * bucketSlots))
    , epoch(Clock::now() - std::chrono::milliseconds(1))
{
}

PrefixMemory::Slot* PrefixMemory::bucketOf(uint64_t prefix) const
{
    return &this->slots[(prefix & this->mask) * bucketSlots];
}

uint32_t PrefixMemory::millisecondsAt(Clock::time_point now) const
{
    return static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - this->epoch).count());
}

void PrefixMemory::remember(uint64_t prefix, uint32_t target, uint32_t incarnation, Clock::time_point now)
{
    const auto check = prefix & 0xffffffff00000000;
    const auto who = (uint64_t(target) << 32 | incarnation) ^ prefix;
    const auto time = this->millisecondsAt(now);
    auto* bucket = this->bucketOf(prefix);
    auto* chosen = bucket;
    uint32_t greatestAge = 0;
    for (auto* slot = bucket; slot != bucket + bucketSlots; ++slot) {
        const auto what = slot->what.load(std::memory_order_relaxed);
        const auto holder = slot->who.load(std::memory_order_relaxed) ^ prefix;
        if ((what & 0xffffffff00000000) == check && holder >> 32 == target) {
            chosen = slot;
            break;
        }
        const auto age = time - static_cast<uint32_t>(what);
        if (age >= greatestAge) {
            greatestAge = age;
            chosen = slot;
        }
    }
    chosen->who.store(who, std::memory_order_relaxed);
    chosen->what.store(check | time, std::memory_order_relaxed);
}

size_t PrefixMemory::find(uint64_t prefix, Clock::time_point now, PrefixHolder* holders) const
{
    const auto check = prefix & 0xffffffff00000000;
    const auto time = this->millisecondsAt(now);
    size_t count = 0;
    const auto* bucket = this->bucketOf(prefix);
    for (const auto* slot = bucket; slot != bucket + bucketSlots; ++slot) {
        const auto what = slot->what.load(std::memory_order_relaxed);
        if ((what & 0xffffffff00000000) != check || !what)
            continue;
        const auto holder = slot->who.load(std::memory_order_relaxed) ^ prefix;
        const std::chrono::milliseconds age(time - static_cast<uint32_t>(what));
        holders[count++] = { static_cast<uint32_t>(holder >> 32), static_cast<uint32_t>(holder), age };
    }
    return count;
}

uint32_t shortHash(uint64_t hash)
{
    return static_cast<uint32_t>(hash ^ hash >> 32);
}

}
