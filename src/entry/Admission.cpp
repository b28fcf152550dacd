#include "entry/Admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dragonfly::entry {

namespace {

    using std::chrono::duration;
    using std::chrono::duration_cast;

    /// Allowed burst, in seconds of the permitted rate.
    constexpr double burstSeconds = 1.0;

    /// Consumes one request from the rate (generic cell rate algorithm). Returns zero when the request conforms,
    /// else the time to wait.
    Clock::duration consumeRate(routing::OrganisationState& state, double perSecond, Clock::time_point now)
    {
        const auto interval = duration_cast<Clock::duration>(duration<double>(1 / perSecond));
        const auto tolerance = duration_cast<Clock::duration>(duration<double>(std::max(burstSeconds, 1 / perSecond)));
        auto arrival = state.nextArrival.load(std::memory_order_relaxed);
        while (true) {
            const auto due = std::max(now, Clock::time_point(Clock::duration(arrival)));
            const auto next = due + interval;
            if (next - now > tolerance + interval / 2)
                return next - now - tolerance;
            const auto value = next.time_since_epoch().count();
            if (state.nextArrival.compare_exchange_weak(arrival, value, std::memory_order_relaxed))
                return Clock::duration::zero();
        }
    }

    Error limitError(const char* detail, Clock::duration wait)
    {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
        return { ErrorKind::LimitExceeded, detail, Execution::NotRun, std::max(seconds, std::chrono::seconds(1)) };
    }

}

Admission::Admission(std::shared_ptr<routing::OrganisationState> state)
    : state(std::move(state))
{
}

Admission::~Admission()
{
    if (this->state)
        this->state->inFlight.fetch_sub(1, std::memory_order_relaxed);
}

Admission::Admission(Admission&& other) noexcept
    : state(std::exchange(other.state, nullptr))
{
}

Admission& Admission::operator=(Admission&& other) noexcept
{
    std::swap(this->state, other.state);
    return *this;
}

Result<Admission> admit(
    const routing::Organisation& organisation, const routing::LimitShare& share, Clock::time_point now)
{
    auto& state = *organisation.state;
    const auto inFlight = state.inFlight.fetch_add(1, std::memory_order_relaxed);
    Admission admission(organisation.state);
    if (organisation.concurrentRequests) {
        const auto slots = std::floor(organisation.concurrentRequests * share.ofFleet);
        if (inFlight >= slots)
            return limitError("the organisation's limit of concurrent requests is reached", Clock::duration::zero());
    }
    if (organisation.requestsPerSecond) {
        const auto perSecond = organisation.requestsPerSecond * share.ofFleet;
        if (perSecond <= 0)
            return limitError("this data centre has no share of the organisation's limit", std::chrono::seconds(1));
        const auto wait = consumeRate(state, perSecond, now);
        if (wait > Clock::duration::zero())
            return limitError("the organisation's limit of requests per second is reached", wait);
    }
    return admission;
}

}
