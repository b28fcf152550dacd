#pragma once
// The known peers, and the choice of the one from which this instance gets the platform's records.
//
// All instances of a data centre compute the same ranking, so most of them follow the same peer without coordination:
// the one with the highest capacity, which keeps the load on small instances low. An instance follows only peers that
// rank higher than itself unless the platform's service does not answer, so the highest one queries the service.

#include "base/Base.h"
#include "limits/SendShare.h"
#include "routing/View.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonfly::relay {

struct Peer {
    std::string instance;
    std::string address; ///< host:port of the instance's peer socket
    routing::Place place;
    uint32_t capacity = 0; ///< processor time available to the instance, in thousandths of a core
    std::string tunnels = {}; ///< host:port at which the instance opens tunnels to targets; empty: nowhere
};

/// Why a peer is excluded from the choice.
enum class ExclusionReason {
    Silent, ///< it did not answer
    Stale, ///< it answered, but its data was not usable
};

class PeerRanking {
public:
    explicit PeerRanking(Peer self)
        : self(std::move(self))
    {
    }

    const Peer& own() const
    {
        return this->self;
    }
    /// Sets the address of this instance once the port of its peer socket is known.
    void setOwnAddress(const std::string& address)
    {
        this->self.address = address;
    }
    /// Sets where this instance opens tunnels to targets.
    void setOwnTunnels(const std::string& address)
    {
        this->self.tunnels = address;
    }
    /// Where other instances open tunnels to targets: the nearest first, equally near ones in an order that @p random
    /// selects.
    std::vector<Endpoint> tunnels(uint64_t random) const;
    /// Adds or replaces a registered peer. A record of this instance itself is ignored.
    void add(const Peer& peer);
    /// Adds a peer that has sent a query and is not registered yet as far as this instance knows. It is removed when it
    /// does not answer a query, because no removed record would tell that it is gone.
    void addUnregistered(const Peer& peer);
    void remove(const std::string& instance, Clock::time_point now = Clock::now());
    /// The place of this instance among all instances for a target at @p place: the nearest first, in an order that is
    /// the same at all instances and differs between targets. Includes instances whose records were removed recently:
    /// they may go on, and write their records again.
    limits::Standing standingFor(const std::string& target, const routing::Place& place, Clock::time_point now) const;
    /// The address of a peer; nothing when the peer is unknown.
    std::optional<std::string> findAddress(const std::string& instance) const;
    /// Excludes @p instance from the choice until @p until.
    void exclude(const std::string& instance, ExclusionReason reason, Deadline until);

    /// The highest-ranked eligible peer of this data centre; nothing when this instance ranks higher.
    std::optional<Peer> findRelay(Clock::time_point now) const;
    /// The nearest eligible peer of any data centre and rank, for use while the platform's service does not answer.
    /// When all peers are excluded, the one with stale data whose exclusion ends first: its data may be current by now.
    std::optional<Peer> findFallback(Clock::time_point now) const;
    size_t size() const
    {
        return this->peers.size();
    }

private:
    struct Exclusion {
        ExclusionReason reason = ExclusionReason::Silent;
        Deadline until;
    };

    bool isEligible(const std::string& instance, Clock::time_point now) const;
    const Peer* findLeastRecentlyStale() const;

    Peer self;
    std::map<std::string, Peer> peers; ///< keyed by instance
    std::set<std::string> unregistered; ///< the instances among the peers that were added by a query
    std::map<std::string, Exclusion> exclusions; ///< keyed by instance
    struct RemovedPeer {
        routing::Place place;
        Deadline countedUntil;
    };
    std::map<std::string, RemovedPeer> removed; ///< keyed by instance; no other member has it
};

}
