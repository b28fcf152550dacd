#include "entry/ExplainLog.h"

namespace dragonfly::entry {

namespace {

    constexpr size_t maxExplanations = 4096;

}

void ExplainLog::add(Explanation explanation)
{
    const std::lock_guard lock(this->mutex);
    if (this->explanations.size() >= maxExplanations)
        this->explanations.pop_front();
    this->explanations.push_back(std::move(explanation));
}

std::optional<Explanation> ExplainLog::find(std::string_view requestId) const
{
    const std::lock_guard lock(this->mutex);
    for (auto found = this->explanations.rbegin(); found != this->explanations.rend(); ++found) {
        if (found->requestId == requestId)
            return *found;
    }
    return std::nullopt;
}

}
