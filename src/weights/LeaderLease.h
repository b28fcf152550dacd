#pragma once
// Leader election among instances: decides whether this instance may send orders to engines. A state machine
// without input or output.
//
// Leadership is a key under a lease in the platform's service. The leader stops before its lease can have
// expired, and a new leader starts only when no order of its predecessor can still be in flight. Uses the boot
// clock, so that time during which the process was suspended counts. The fencing token is the revision at which
// the key was written, so it only grows.

#include "base/Base.h"

#include <optional>

namespace dragonfly::weights {

struct LeaderLeaseTimings {
    std::chrono::milliseconds leaseDuration { 3000 }; ///< after this time the platform allows a new leader
    /// Orders stop this long before the lease ends, because some may still be in flight. A new leader waits this
    /// long in addition to the lease.
    std::chrono::milliseconds margin { 300 };
};

class LeaderLease {
public:
    explicit LeaderLease(const LeaderLeaseTimings& timings)
        : timings(timings)
    {
    }

    struct HeldLease {
        int64_t leaseId;
        int64_t fencingToken;
        BootClock::time_point ordersFrom;
        BootClock::time_point ordersUntil;
    };

    /// Starts leadership: the key was written under a lease that was requested at @p leaseRequestedAt, and this was
    /// confirmed at @p now.
    void acquire(
        int64_t leaseId, int64_t fencingToken, BootClock::time_point leaseRequestedAt, BootClock::time_point now)
    {
        this->held = HeldLease { leaseId, fencingToken, now + this->timings.leaseDuration + this->timings.margin,
            leaseRequestedAt + this->timings.leaseDuration - this->timings.margin };
    }
    /// Extends the lease, which was renewed by a call sent at @p sentAt.
    void renew(int64_t leaseId, BootClock::time_point sentAt)
    {
        if (!this->held || this->held->leaseId != leaseId)
            return;
        const auto until = sentAt + this->timings.leaseDuration - this->timings.margin;
        this->held->ordersUntil = std::max(this->held->ordersUntil, until);
    }
    /// Ends leadership, for instance because an engine has seen a newer fencing token.
    void drop()
    {
        this->held.reset();
    }
    /// Ends leadership if its lease may have expired. Returns whether this call ended it.
    bool expire(BootClock::time_point now)
    {
        if (!this->held || now < this->held->ordersUntil)
            return false;
        this->held.reset();
        return true;
    }

    const std::optional<HeldLease>& current() const
    {
        return this->held;
    }
    bool maySendOrders(BootClock::time_point now) const
    {
        return this->held && now >= this->held->ordersFrom && now < this->held->ordersUntil;
    }

private:
    LeaderLeaseTimings timings;
    std::optional<HeldLease> held;
};

}
