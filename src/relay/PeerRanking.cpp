#include "relay/PeerRanking.h"

#include <tuple>

namespace dragonfly::relay {

namespace {

    /// Sort key of a peer; the smallest ranks highest.
    auto rankOf(const Peer& peer)
    {
        return std::make_tuple(-static_cast<int64_t>(peer.capacity), fastHash(peer.instance), peer.instance);
    }

    /// 0 in the same data centre, 1 in the same region, else 2.
    int distance(const routing::Place& from, const routing::Place& to)
    {
        if (from.dataCentre == to.dataCentre)
            return 0;
        return from.region == to.region ? 1 : 2;
    }

}

void PeerRanking::add(const Peer& peer)
{
    if (peer.instance != this->self.instance)
        this->peers[peer.instance] = peer;
}

void PeerRanking::remove(const std::string& instance)
{
    this->peers.erase(instance);
    this->excludedUntil.erase(instance);
}

std::optional<std::string> PeerRanking::findAddress(const std::string& instance) const
{
    const auto found = this->peers.find(instance);
    return found == this->peers.end() ? std::nullopt : std::optional(found->second.address);
}

void PeerRanking::exclude(const std::string& instance, Deadline until)
{
    this->excludedUntil[instance] = until;
}

bool PeerRanking::isEligible(const std::string& instance, Clock::time_point now) const
{
    const auto found = this->excludedUntil.find(instance);
    return found == this->excludedUntil.end() || found->second <= now;
}

std::optional<Peer> PeerRanking::findRelay(Clock::time_point now) const
{
    const Peer* highest = &this->self;
    for (const auto& [instance, peer] : this->peers) {
        if (peer.place.dataCentre == this->self.place.dataCentre && this->isEligible(instance, now)
            && rankOf(peer) < rankOf(*highest))
            highest = &peer;
    }
    return highest == &this->self ? std::nullopt : std::optional(*highest);
}

std::optional<Peer> PeerRanking::findFallback(Clock::time_point now) const
{
    const Peer* nearest = nullptr;
    const auto orderOf
        = [this](const Peer& peer) { return std::make_pair(distance(this->self.place, peer.place), rankOf(peer)); };
    for (const auto& [instance, peer] : this->peers) {
        if (this->isEligible(instance, now) && (!nearest || orderOf(peer) < orderOf(*nearest)))
            nearest = &peer;
    }
    return nearest ? std::optional(*nearest) : std::nullopt;
}

}
