#pragma once
// Counts one attempt as load on its target, for as long as it lasts.

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

    /// The prompt is no longer queued: its first token has come.
    void promptDone();

private:
    std::shared_ptr<routing::TargetState> state;
    uint32_t promptTokens = 0;
};

}
