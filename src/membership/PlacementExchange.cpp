#include "membership/PlacementExchange.h"

namespace dragonfly::membership {

namespace {

    constexpr std::chrono::milliseconds period { 100 };
    constexpr std::chrono::milliseconds tellAgainTime { 5000 };
    constexpr size_t toldSlots = 1 << 14;
    constexpr double placementBytes = sizeof(uint64_t) + 2 * sizeof(uint32_t) + 2;
    constexpr uint32_t tokensWorthTelling = 256;
    constexpr double messageBytes = 40;

}

PlacementExchange::PlacementExchange(
    Fleet& fleet, routing::PlacementQueue& queue, routing::PrefixIndex& prefixes, uint64_t bytesPerSecond)
    : fleet(fleet)
    , queue(queue)
    , prefixes(prefixes)
    , told(toldSlots)
    , bytesPerSecond(static_cast<double>(bytesPerSecond))
    , filledAt(Clock::now())
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
    this->timer.start(period);
}

/// Worth telling: much work, or a placement that peers have not been told of lately.
bool PlacementExchange::isNews(const routing::Placement& placement, Clock::time_point now) const
{
    if (placement.tokens >= tokensWorthTelling)
        return true;
    routing::PrefixHolder holders[routing::PrefixIndex::bucketSlots];
    const auto count = this->told.find(placement.prefix, now, holders);
    for (size_t i = 0; i < count; ++i) {
        const bool isSame = holders[i].target == placement.target && holders[i].incarnation == placement.incarnation;
        if (isSame && holders[i].age < tellAgainTime)
            return false;
    }
    return true;
}

/// How many placements may go to each of @p peers now.
size_t PlacementExchange::affordable(size_t peers)
{
    const auto now = Clock::now();
    const std::chrono::duration<double> passed = now - this->filledAt;
    this->filledAt = now;
    this->bytesLeft = std::min(this->bytesPerSecond, this->bytesLeft + passed.count() * this->bytesPerSecond);
    const auto forEach = this->bytesLeft / static_cast<double>(peers) - messageBytes;
    return forEach < placementBytes ? 0 : static_cast<size_t>(forEach / placementBytes);
}

void PlacementExchange::tick()
{
    const auto now = Clock::now();
    routing::Placement placement;
    if (!this->queue.pop(placement))
        return;
    const auto peers = this->fleet.contactsInDataCentre();
    const auto most = peers ? this->affordable(peers) : 0;
    pb::PeerMessage message = newMessage(this->fleet.self().address);
    auto* news = message.mutable_placement_news();
    do {
        if (static_cast<size_t>(news->prefixes_size()) >= most || !this->isNews(placement, now))
            continue;
        this->told.record(placement.prefix, placement.target, placement.incarnation, now);
        news->add_prefixes(placement.prefix);
        news->add_targets(placement.target);
        news->add_incarnations(placement.incarnation);
        news->add_tokens(placement.tokens);
    } while (this->queue.pop(placement));
    if (!news->prefixes_size())
        return;
    const auto sent = this->fleet.sendToDataCentre(message);
    this->bytesLeft -= static_cast<double>(sent) * (messageBytes + news->prefixes_size() * placementBytes);
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
