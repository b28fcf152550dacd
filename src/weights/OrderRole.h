#pragma once
// Whether this instance may give orders to engines, as a state machine without sockets.
//
// The role is a key with a lease. Its holder stops before the lease can have ended, and a new holder starts
// only when an order of the one before it can no longer be under way. Time while the process stood still
// counts. The fencing token is the revision at which the key was taken, so it only grows.

#include "base/Base.h"

#include <optional>

namespace dragonfly::weights {

struct RoleTimes {
    std::chrono::milliseconds leaseTime { 3000 }; ///< as long as the platform lets holders take turns
    /// Kept off the end of the lease, for orders that are on their way when it ends.
    std::chrono::milliseconds margin { 300 };
};

class OrderRole {
public:
    explicit OrderRole(const RoleTimes& times)
        : times(times)
    {
    }

    struct Held {
        int64_t lease;
        int64_t fencingToken;
        BootClock::time_point ordersFrom;
        BootClock::time_point ordersUntil;
    };

    /// The key was taken with a lease that was asked for at @p leaseAskedAt, by an answer that came at @p now.
    void take(int64_t lease, int64_t fencingToken, BootClock::time_point leaseAskedAt, BootClock::time_point now)
    {
        this->held = Held { lease, fencingToken, now + this->times.leaseTime + this->times.margin,
            leaseAskedAt + this->times.leaseTime - this->times.margin };
    }
    /// The lease was renewed by a call sent at @p askedAt.
    void renew(int64_t lease, BootClock::time_point askedAt)
    {
        if (!this->held || this->held->lease != lease)
            return;
        const auto until = askedAt + this->times.leaseTime - this->times.margin;
        this->held->ordersUntil = std::max(this->held->ordersUntil, until);
    }
    /// Ends the role, for instance because an engine has seen a newer token.
    void drop()
    {
        this->held.reset();
    }
    /// Ends the role when its lease may have ended. True when it did so now.
    bool expire(BootClock::time_point now)
    {
        if (!this->held || now < this->held->ordersUntil)
            return false;
        this->held.reset();
        return true;
    }

    const std::optional<Held>& current() const
    {
        return this->held;
    }
    bool mayOrder(BootClock::time_point now) const
    {
        return this->held && now >= this->held->ordersFrom && now < this->held->ordersUntil;
    }

private:
    RoleTimes times; ///< settings, not waits
    std::optional<Held> held;
};

}
