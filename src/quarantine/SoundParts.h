#pragma once
// A bounded memory of prompt parts that were answered, whether or not there is evidence against them.

#include "quarantine/PromptEvidence.h"

namespace dragonfly::quarantine {

class SoundParts {
public:
    void remember(PartHash part)
    {
        this->slots[part % slotCount] = part;
    }
    bool contains(PartHash part) const
    {
        return this->slots[part % slotCount] == part;
    }

private:
    /// 64 KB; parts that many requests share are remembered again soon after another one took their slot.
    static constexpr size_t slotCount = 1u << 13;

    std::vector<PartHash> slots = std::vector<PartHash>(slotCount);
};

}
