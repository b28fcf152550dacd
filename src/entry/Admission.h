#pragma once
// An organisation's limits, as far as one instance may grant them by itself.
//
// Every instance grants a fixed share that follows from the configuration alone, so that the sum over
// all instances stays within the contract however the fleet is cut apart.

#include "routing/View.h"

namespace dragonfly::entry {

/// Holds one place among an organisation's concurrent requests until it is destroyed.
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

/// Admits a request, or says when to come back.
Result<Admission> admit(
    const routing::Organisation& organisation, const routing::LimitShare& share, Clock::time_point now);

}
