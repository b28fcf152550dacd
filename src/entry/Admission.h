#pragma once
// Admission control: enforces an organisation's limits on rate and concurrency within one instance.
//
// Each instance enforces a fixed share of every limit. The share follows from the configuration alone, so the
// sum over all instances stays within the limit even while a network partition separates them.

#include "routing/View.h"

namespace dragonfly::entry {

/// Occupies one of an organisation's concurrency slots until it is destroyed.
class Admission {
public:
    Admission() = default;
    explicit Admission(std::shared_ptr<routing::OrganisationState> state);
    ~Admission();
    Admission(Admission&& other) noexcept;
    Admission& operator=(Admission&& other) noexcept;

private:
    std::shared_ptr<routing::OrganisationState> state;
};

/// Admits a request, or returns LimitExceeded with the time after which to retry.
Result<Admission> admit(
    const routing::Organisation& organisation, const routing::LimitShare& share, Clock::time_point now);

}
