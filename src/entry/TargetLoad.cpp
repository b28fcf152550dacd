#include "entry/TargetLoad.h"

#include <utility>

namespace dragonfly::entry {

TargetLoad::TargetLoad(std::shared_ptr<routing::TargetState> state, uint32_t promptTokens)
    : state(std::move(state))
    , promptTokens(promptTokens)
{
    this->state->inFlight.fetch_add(1, std::memory_order_relaxed);
    this->state->pendingTokens.fetch_add(promptTokens, std::memory_order_relaxed);
}

TargetLoad::~TargetLoad()
{
    if (!this->state)
        return;
    this->promptDone();
    this->state->inFlight.fetch_sub(1, std::memory_order_relaxed);
}

TargetLoad::TargetLoad(TargetLoad&& other) noexcept
    : state(std::exchange(other.state, nullptr))
    , promptTokens(std::exchange(other.promptTokens, 0))
{
}

TargetLoad& TargetLoad::operator=(TargetLoad&& other) noexcept
{
    std::swap(this->state, other.state);
    std::swap(this->promptTokens, other.promptTokens);
    return *this;
}

void TargetLoad::promptDone()
{
    if (this->state)
        this->state->pendingTokens.fetch_sub(std::exchange(this->promptTokens, 0), std::memory_order_relaxed);
}

}
