#include "relay/PeerRanking.h"

#include <algorithm>
#include <tuple>

namespace dragonfly::relay {

namespace {

    /// Sort key of a peer; the smallest ranks highest.
    auto rankOf(const Peer& peer)
    {
        return std::make_tuple(-static_cast<int64_t>(peer.capacity), fastHash(peer.instance), peer.instance);
    }

    /// How long an instance counts after its record was removed. One that goes on notices the loss within a renewal of
    /// its lease, 20 s, and writes its record again within some retries.
    constexpr std::chrono::milliseconds removedPeerRetention { 30000 };

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
    if (peer.instance == this->self.instance)
        return;
    this->peers[peer.instance] = peer;
    this->unregistered.erase(peer.instance);
    this->removed.erase(peer.instance);
}

void PeerRanking::addUnregistered(const Peer& peer)
{
    const bool isKnown = this->peers.contains(peer.instance) && !this->unregistered.contains(peer.instance);
    if (isKnown || peer.instance == this->self.instance)
        return;
    this->peers[peer.instance] = peer;
    this->unregistered.insert(peer.instance);
    this->removed.erase(peer.instance);
}

void PeerRanking::remove(const std::string& instance, Clock::time_point now)
{
    std::erase_if(this->removed, [now](const auto& each) { return each.second.countedUntil <= now; });
    if (const auto found = this->peers.find(instance); found != this->peers.end()) {
        this->removed[instance] = { found->second.place, now + removedPeerRetention };
        this->peers.erase(found);
    }
    this->unregistered.erase(instance);
    this->exclusions.erase(instance);
}

limits::Standing PeerRanking::standingFor(
    const std::string& target, const routing::Place& place, Clock::time_point now) const
{
    const auto orderOf = [&](const std::string& instance, const routing::Place& from) {
        return std::make_tuple(distance(from, place), fastHash(instance, fastHash(target)), instance);
    };
    const auto own = orderOf(this->self.instance, this->self.place);
    limits::Standing standing { 0, 0, 0 };
    const auto count = [&](const std::string& instance, const routing::Place& from) {
        ++standing.instances;
        standing.local += from.dataCentre == place.dataCentre;
        standing.rank += orderOf(instance, from) < own;
    };
    count(this->self.instance, this->self.place);
    for (const auto& [instance, peer] : this->peers)
        count(instance, peer.place);
    for (const auto& [instance, peer] : this->removed) {
        if (peer.countedUntil > now)
            count(instance, peer.place);
    }
    return standing;
}

std::vector<Endpoint> PeerRanking::tunnels(uint64_t random) const
{
    std::vector<std::tuple<int, uint64_t, Endpoint>> ordered;
    for (const auto& [instance, peer] : this->peers) {
        if (const auto endpoint = parseRemoteEndpoint(peer.tunnels))
            ordered.emplace_back(distance(this->self.place, peer.place), fastHash(instance, random), *endpoint);
    }
    std::ranges::sort(
        ordered, {}, [](const auto& each) { return std::make_pair(std::get<0>(each), std::get<1>(each)); });
    std::vector<Endpoint> endpoints;
    for (const auto& each : ordered)
        endpoints.push_back(std::get<2>(each));
    return endpoints;
}

std::optional<std::string> PeerRanking::findAddress(const std::string& instance) const
{
    const auto found = this->peers.find(instance);
    return found == this->peers.end() ? std::nullopt : std::optional(found->second.address);
}

void PeerRanking::exclude(const std::string& instance, ExclusionReason reason, Deadline until)
{
    if (reason == ExclusionReason::Silent && this->unregistered.contains(instance)) {
        this->remove(instance);
        return;
    }
    this->exclusions[instance] = { reason, until };
}

bool PeerRanking::isEligible(const std::string& instance, Clock::time_point now) const
{
    const auto found = this->exclusions.find(instance);
    return found == this->exclusions.end() || found->second.until <= now;
}

const Peer* PeerRanking::findLeastRecentlyStale() const
{
    const Peer* result = nullptr;
    Deadline earliest;
    for (const auto& [instance, exclusion] : this->exclusions) {
        const auto peer = this->peers.find(instance);
        if (exclusion.reason != ExclusionReason::Stale || peer == this->peers.end())
            continue;
        if (result && exclusion.until >= earliest)
            continue;
        result = &peer->second;
        earliest = exclusion.until;
    }
    return result;
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
    if (!nearest)
        nearest = this->findLeastRecentlyStale();
    return nearest ? std::optional(*nearest) : std::nullopt;
}

}
