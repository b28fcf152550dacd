#include "directory/RevisionTimes.h"

#include <algorithm>

namespace dragonfly::directory {

namespace {

    /// Changes are applied within a few answers of the sources, so only the latest observations are needed.
    constexpr size_t maxObservations = 64;

}

void RevisionTimes::observe(int64_t revision, BootClock::time_point at)
{
    if (at == BootClock::time_point() || this->lowerBound(revision + 1) >= at)
        return;
    const auto isImplied = [&](const Observation& other) { return other.revision >= revision && other.at <= at; };
    std::erase_if(this->observations, isImplied);
    const auto next = std::find_if(this->observations.begin(), this->observations.end(),
        [revision](const Observation& other) { return other.revision > revision; });
    this->observations.insert(next, { revision, at });
    if (this->observations.size() > maxObservations)
        this->observations.pop_front();
}

BootClock::time_point RevisionTimes::lowerBound(int64_t revision) const
{
    const auto last = std::find_if(this->observations.rbegin(), this->observations.rend(),
        [revision](const Observation& observation) { return observation.revision < revision; });
    return last == this->observations.rend() ? BootClock::time_point() : last->at;
}

}
