#pragma once
// The other instances, and which of them to learn of the platform's records from.
//
// All instances of a data centre rank each other alike, so that most follow the same one without having to
// agree: the one with the most processor time, so that small instances do the least. Nobody follows an instance
// behind itself in rank unless the platform's service does not answer, so the first one goes to the service.

#include "base/Base.h"
#include "routing/View.h"

#include <map>
#include <optional>
#include <string>

namespace dragonfly::relay {

struct Peer {
    std::string instance;
    std::string address; ///< of its peer socket
    routing::Place place;
    uint32_t capacity = 0; ///< processor time that it has, in thousandths of a core
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
    /// Once the port is known.
    void setOwnAddress(const std::string& address)
    {
        this->self.address = address;
    }
    /// Adds or replaces what is known of an instance. The own record is ignored.
    void add(const Peer& peer);
    void remove(const std::string& instance);
    /// The address of a known instance.
    std::optional<std::string> findAddress(const std::string& instance) const;
    /// Leaves @p instance out until @p until: it did not answer, or knows too little.
    void distrust(const std::string& instance, Deadline until);

    /// The first in rank of the own data centre, when it is ahead of this instance.
    std::optional<Peer> findRelay(Clock::time_point now) const;
    /// Any other instance, the nearest first, for the time in which the platform's service does not answer.
    std::optional<Peer> findSubstitute(Clock::time_point now) const;
    size_t size() const
    {
        return this->peers.size();
    }

private:
    bool isTrusted(const std::string& instance, Clock::time_point now) const;

    Peer self;
    std::map<std::string, Peer> peers; ///< by instance
    std::map<std::string, Deadline> distrusted; ///< by instance
};

}
