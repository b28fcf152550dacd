#include "membership/PlacementExchange.h"

namespace dragonfly::membership {

namespace {

    constexpr std::chrono::milliseconds sendInterval { 100 };
    constexpr std::chrono::milliseconds repeatInterval { 5000 };
    constexpr size_t advertisedSlots = 1 << 14;
    constexpr double placementBytes = sizeof(uint64_t) + 2 * sizeof(uint32_t) + 2;
    constexpr uint32_t alwaysAdvertisedTokens = 256;
    constexpr double messageOverheadBytes = 40;

}

PlacementExchange::PlacementExchange(
    Fleet& fleet, routing::PlacementQueue& queue, routing::PrefixIndex& prefixes, uint64_t bytesPerSecond)
    : fleet(fleet)
    , queue(queue)
    , prefixes(prefixes)
    , advertised(advertisedSlots)
    , bytesPerSecond(static_cast<double>(bytesPerSecond))
    , refilledAt(Clock::now())
{
    this->fleet.onPlacements = [this](const pb::PlacementNews& news) { this->receive(news); };
    connect(&this->timer, &QTimer::timeout, this, &PlacementExchange::tick);
}

void PlacementExchange::setView(const routing::ViewPointer& view)
{
    this->targets.clear();
    for (const auto& target : view->targets)
        this->targets[routing::shortHash(fastHash(target.name))] = target.state;
}

void PlacementExchange::start()
{
    this->timer.start(sendInterval);
}

/// Whether a placement is sent: always if it has many tokens, otherwise unless it was sent recently.
bool PlacementExchange::shouldAdvertise(const routing::Placement& placement, Clock::time_point now) const
{
    if (placement.tokens >= alwaysAdvertisedTokens)
        return true;
    routing::PrefixHolder holders[routing::PrefixIndex::bucketSlots];
    const auto count = this->advertised.find(placement.prefix, now, holders);
    for (size_t i = 0; i < count; ++i) {
        const bool isSame = holders[i].target == placement.target && holders[i].incarnation == placement.incarnation;
        if (isSame && holders[i].age < repeatInterval)
            return false;
    }
    return true;
}

/// Refills the token bucket and returns how many placements may be sent to each of @p peers now.
size_t PlacementExchange::placementsWithinBudget(size_t peers)
{
    const auto now = Clock::now();
    const std::chrono::duration<double> passed = now - this->refilledAt;
    this->refilledAt = now;
    this->availableBytes = std::min(this->bytesPerSecond, this->availableBytes + passed.count() * this->bytesPerSecond);
    const auto bytesPerPeer = this->availableBytes / static_cast<double>(peers) - messageOverheadBytes;
    return bytesPerPeer < placementBytes ? 0 : static_cast<size_t>(bytesPerPeer / placementBytes);
}

void PlacementExchange::tick()
{
    const auto now = Clock::now();
    routing::Placement placement;
    if (!this->queue.pop(placement))
        return;
    const auto peers = this->fleet.contactsInDataCentre();
    const auto maxPlacements = peers ? this->placementsWithinBudget(peers) : 0;
    pb::PeerMessage message = newMessage(this->fleet.self().address);
    auto* news = message.mutable_placement_news();
    do {
        if (static_cast<size_t>(news->prefixes_size()) >= maxPlacements || !this->shouldAdvertise(placement, now))
            continue;
        this->advertised.record(placement.prefix, placement.target, placement.incarnation, now);
        news->add_prefixes(placement.prefix);
        news->add_targets(placement.target);
        news->add_incarnations(placement.incarnation);
        news->add_tokens(placement.tokens);
    } while (this->queue.pop(placement));
    if (!news->prefixes_size())
        return;
    const auto sent = this->fleet.sendToDataCentre(message);
    this->availableBytes -= static_cast<double>(sent) * (messageOverheadBytes + news->prefixes_size() * placementBytes);
}

void PlacementExchange::receive(const pb::PlacementNews& news)
{
    const auto now = Clock::now();
    const auto count
        = std::min({ news.prefixes_size(), news.targets_size(), news.incarnations_size(), news.tokens_size() });
    for (int i = 0; i < count; ++i) {
        this->prefixes.record(news.prefixes(i), news.targets(i), news.incarnations(i), now);
        const auto target = this->targets.find(news.targets(i));
        if (target != this->targets.end() && news.tokens(i))
            routing::recordPeerTokens(*target->second, news.tokens(i), now);
    }
}

}
