#pragma once
// Includes one attempt in the load of its target until it is destroyed.

#include "routing/TargetState.h"

#include <memory>

namespace dragonfly::entry {

class TargetLoad {
public:
    TargetLoad() = default;
    TargetLoad(std::shared_ptr<routing::TargetState> state, uint32_t promptTokens);
    ~TargetLoad();
    TargetLoad(TargetLoad&& other) noexcept;
    TargetLoad& operator=(TargetLoad&& other) noexcept;

    /// Removes the prompt's tokens from the target's queue; call it at the first token.
    void promptDone();

private:
    std::shared_ptr<routing::TargetState> state;
    uint32_t promptTokens = 0;
};

}
