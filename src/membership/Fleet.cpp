#include "membership/Fleet.h"

#include <QRandomGenerator>
#include <algorithm>
#include <array>

namespace dragonfly::membership {

namespace {

    constexpr std::chrono::milliseconds gossipInterval { 1000 };
    constexpr int maxJitterMs = 200;
    constexpr size_t peersPerRound = 2;
    constexpr size_t peersPerUpdate = 3;
    constexpr size_t maxContactsInDataCentre = 8;
    constexpr size_t maxContactsElsewhere = 4;
    constexpr std::chrono::seconds contactRotationInterval { 30 };
    constexpr size_t maxPeersPerMessage = 3;
    constexpr size_t maxReportsPerMessage = 8;
    constexpr std::chrono::seconds livenessTimeout { 10 };
    constexpr std::chrono::minutes memberRetention { 60 };
    constexpr std::chrono::milliseconds minReplyInterval { 200 };
    constexpr std::chrono::seconds reportTtl { 120 };

    uint64_t millisecondsSince(Clock::time_point then, Clock::time_point now)
    {
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - then).count());
    }

}

Fleet::Fleet(Member self, std::vector<std::string> seeds, PeerTransport& transport, ConfigKeeper& keeper,
    observe::Metrics& metrics)
    : own(std::move(self))
    , seeds(std::move(seeds))
    , transport(transport)
    , keeper(keeper)
    , metrics(metrics)
{
    this->transport.onMessage = [this](const pb::PeerMessage& message) { this->receive(message); };
    connect(&this->timer, &QTimer::timeout, this, &Fleet::tick);
    this->timer.setSingleShot(true);
}

void Fleet::start()
{
    this->tick();
}

void Fleet::tick()
{
    this->removeExpired();
    this->updateContacts();
    for (const auto& address : this->randomAddresses(peersPerRound))
        this->sendGossip(address);
    this->metrics.livePeers.Set(static_cast<double>(this->liveMembers().size()));
    this->timer.start(gossipInterval + std::chrono::milliseconds(QRandomGenerator::global()->bounded(maxJitterMs)));
}

void Fleet::gossipNow()
{
    for (const auto& address : this->randomAddresses(peersPerUpdate))
        this->sendGossip(address);
}

size_t Fleet::contactsInDataCentre() const
{
    const auto live = this->liveMembers();
    return static_cast<size_t>(std::count_if(live.begin(), live.end(), [this](const Member& member) {
        return this->isContact(member) && member.place.dataCentre == this->own.place.dataCentre;
    }));
}

size_t Fleet::sendToDataCentre(const pb::PeerMessage& message)
{
    size_t sent = 0;
    for (const auto& member : this->liveMembers()) {
        if (!this->isContact(member) || member.place.dataCentre != this->own.place.dataCentre)
            continue;
        this->transport.send(member.address, message);
        ++sent;
    }
    return sent;
}

/// Removes contacts that are no longer live and regularly replaces a random one, so that updates reach the
/// whole fleet although each instance has few contacts.
void Fleet::updateContacts()
{
    const auto now = Clock::now();
    const auto live = this->liveMembers();
    std::erase_if(this->contacts, [&live](const std::string& instance) {
        return std::none_of(
            live.begin(), live.end(), [&](const Member& member) { return member.instance == instance; });
    });
    const bool isFull = this->contacts.size() >= maxContactsInDataCentre + maxContactsElsewhere;
    if (isFull && now >= this->contactRotationAt) {
        this->dropOneContact();
        this->contactRotationAt = now + contactRotationInterval;
    }
    this->fillContacts(live);
}

void Fleet::dropOneContact()
{
    const auto position = QRandomGenerator::global()->bounded(static_cast<int>(this->contacts.size()));
    const auto dropped = std::next(this->contacts.begin(), position);
    this->transport.drop(this->members[*dropped].address);
    this->contacts.erase(dropped);
}

/// Adds random members as contacts up to the limits for the own data centre and for all others.
void Fleet::fillContacts(std::vector<Member> live)
{
    std::shuffle(live.begin(), live.end(), *QRandomGenerator::global());
    std::array<size_t, 2> counts {};
    constexpr std::array<size_t, 2> limits { maxContactsInDataCentre, maxContactsElsewhere };
    const auto groupOf
        = [this](const Member& member) { return member.place.dataCentre == this->own.place.dataCentre ? 0u : 1u; };
    for (const auto& member : live)
        counts[groupOf(member)] += this->isContact(member);
    for (const auto& member : live) {
        const auto group = groupOf(member);
        if (counts[group] >= limits[group] || !this->contacts.insert(member.instance).second)
            continue;
        ++counts[group];
    }
}

std::vector<Member> Fleet::liveMembers() const
{
    std::vector<Member> live;
    const auto oldest = Clock::now() - livenessTimeout;
    for (const auto& [instance, member] : this->members) {
        if (member.lastSeenAt > oldest)
            live.push_back(member);
    }
    return live;
}

void Fleet::removeExpired()
{
    const auto now = Clock::now();
    for (auto member = this->members.begin(); member != this->members.end();) {
        if (now - member->second.lastSeenAt < memberRetention) {
            ++member;
            continue;
        }
        this->transport.drop(member->second.address);
        member = this->members.erase(member);
    }
    std::erase_if(this->updates, [now](const auto& entry) { return now - entry.second.observedAt > reportTtl; });
    std::erase_if(this->repliedAt, [now](const auto& entry) { return now - entry.second > livenessTimeout; });
}

/// Returns up to @p count random contacts. With some probability, or if there are too few contacts, adds a seed or a
/// member that is not live, so that the two sides of a healed partition find each other again.
std::vector<std::string> Fleet::randomAddresses(size_t count) const
{
    std::vector<std::string> live;
    std::vector<std::string> other = this->seeds;
    const auto oldest = Clock::now() - livenessTimeout;
    for (const auto& [instance, member] : this->members) {
        if (member.lastSeenAt <= oldest)
            other.push_back(member.address);
        else if (this->isContact(member))
            live.push_back(member.address);
    }
    auto& random = *QRandomGenerator::global();
    std::shuffle(live.begin(), live.end(), random);
    std::shuffle(other.begin(), other.end(), random);
    live.resize(std::min(live.size(), count));
    if (!other.empty() && (live.size() < count || !random.bounded(5)))
        live.push_back(other.front());
    std::erase(live, this->own.address);
    return live;
}

void Fleet::addMember(const Member& member)
{
    if (member.instance == this->own.instance)
        return;
    auto& known = this->members[member.instance];
    if (!known.address.empty() && known.address != member.address)
        this->transport.drop(known.address);
    known.instance = member.instance;
    known.address = member.address;
    known.place = member.place;
    known.lastSeenAt = std::max(known.lastSeenAt, member.lastSeenAt);
}

/// Merges @p received into the known state and returns whether that changed. The later observation wins. The leaving
/// flag is merged by its own time of change, as a later observer may not have known of the change.
bool Fleet::merge(const std::string& target, const TargetUpdate& received)
{
    const auto [found, isFirst] = this->updates.try_emplace(target, received);
    if (isFirst)
        return true;
    auto& known = found->second;
    const auto before = known;
    if (received.observedAt > known.observedAt)
        known = received;
    const auto& changedLast = received.leavingChangedAt > before.leavingChangedAt ? received : before;
    known.leaving = changedLast.leaving;
    known.leavingChangedAt = changedLast.leavingChangedAt;
    return received.observedAt > before.observedAt || known.leaving != before.leaving;
}

void Fleet::report(const std::string& target, const TargetUpdate& update)
{
    const auto before = this->isKnownLeaving(target);
    if (this->merge(target, update) && this->isKnownLeaving(target) != before)
        this->gossipNow();
}

bool Fleet::isKnownLeaving(const std::string& target) const
{
    const auto found = this->updates.find(target);
    return found != this->updates.end() && found->second.leaving;
}

pb::PeerMessage Fleet::buildGossip()
{
    const auto now = Clock::now();
    auto message = newMessage(this->own.address);
    auto* gossip = message.mutable_gossip();
    auto* sender = gossip->mutable_sender();
    sender->set_instance(this->own.instance);
    sender->set_address(this->own.address);
    sender->set_region(this->own.place.region);
    sender->set_data_centre(this->own.place.dataCentre);
    gossip->set_config_revision(this->keeper.revision());
    std::vector<const Member*> advertised;
    for (const auto& [instance, member] : this->members)
        advertised.push_back(&member);
    std::shuffle(advertised.begin(), advertised.end(), *QRandomGenerator::global());
    advertised.resize(std::min(advertised.size(), maxPeersPerMessage));
    for (const auto* member : advertised) {
        auto* peer = gossip->add_peers();
        peer->set_instance(member->instance);
        peer->set_address(member->address);
        peer->set_region(member->place.region);
        peer->set_data_centre(member->place.dataCentre);
        peer->set_heard_ms_ago(millisecondsSince(member->lastSeenAt, now));
    }
    const auto add = [&](const std::string& target, const TargetUpdate& update) {
        auto* report = gossip->add_targets();
        report->set_target(target);
        report->set_leaving(update.leaving);
        report->set_incarnation(update.incarnation);
        report->set_weights(update.weights);
        report->set_queued_tokens(update.queuedTokens);
        report->set_observed_ms_ago(millisecondsSince(update.observedAt, now));
        report->set_leaving_changed_ms_ago(millisecondsSince(update.leavingChangedAt, now));
    };
    // Leaving targets go into every message up to the limit; the others fill the rest by round-robin.
    for (const auto& [target, update] : this->updates) {
        if (update.leaving && gossip->targets_size() < static_cast<int>(maxReportsPerMessage))
            add(target, update);
    }
    for (size_t i = 0; i < this->updates.size() && gossip->targets_size() < static_cast<int>(maxReportsPerMessage);
         ++i) {
        const auto entry
            = std::next(this->updates.begin(), static_cast<ptrdiff_t>(this->nextAdvertised++ % this->updates.size()));
        if (!entry->second.leaving)
            add(entry->first, entry->second);
    }
    return message;
}

void Fleet::sendGossip(const std::string& address)
{
    this->transport.send(address, this->buildGossip());
}

void Fleet::receive(const pb::PeerMessage& message)
{
    switch (message.body_case()) {
    case pb::PeerMessage::kGossip:
        this->receiveGossip(message.gossip());
        break;
    case pb::PeerMessage::kFetchManifest:
        this->keeper.sendReply(message.fetch_manifest(), message.reply_to());
        break;
    case pb::PeerMessage::kFetchParts:
        this->keeper.sendReply(message.fetch_parts(), message.reply_to());
        break;
    case pb::PeerMessage::kManifestReply:
        this->keeper.handleReply(message.manifest_reply(), message.reply_to());
        break;
    case pb::PeerMessage::kPartsReply:
        this->keeper.handleReply(message.parts_reply(), message.reply_to());
        break;
    case pb::PeerMessage::kPlacementNews:
        if (this->onPlacements)
            this->onPlacements(message.placement_news());
        break;
    case pb::PeerMessage::kFollowRecords:
    case pb::PeerMessage::kRecordsReply:
        break; // handled by instances in forwarding mode only
    case pb::PeerMessage::BODY_NOT_SET:
        break; // body type of a later protocol version
    }
}

void Fleet::receiveGossip(const pb::Gossip& gossip)
{
    const auto now = Clock::now();
    const auto& sender = gossip.sender();
    this->addMember({ sender.instance(), sender.address(), { sender.region(), sender.data_centre() }, now });
    for (const auto& peer : gossip.peers()) {
        const auto lastSeenAt = now - statedAge(peer.heard_ms_ago());
        this->addMember({ peer.instance(), peer.address(), { peer.region(), peer.data_centre() }, lastSeenAt });
    }
    for (const auto& report : gossip.targets()) {
        const TargetUpdate received { report.leaving(), now - statedAge(report.leaving_changed_ms_ago()),
            report.incarnation(), report.weights(), report.queued_tokens(), now - statedAge(report.observed_ms_ago()) };
        const auto before = this->isKnownLeaving(report.target());
        if (!this->merge(report.target(), received))
            continue;
        if (this->onTargetUpdate)
            this->onTargetUpdate(report.target(), this->updates[report.target()]);
        if (this->isKnownLeaving(report.target()) != before)
            this->gossipNow();
    }
    this->keeper.requestManifestIfNewer(sender.address(), gossip.config_revision());
    auto& lastReplyAt = this->repliedAt[sender.address()];
    if (gossip.config_revision() < this->keeper.revision() && now - lastReplyAt > minReplyInterval) {
        lastReplyAt = now;
        this->sendGossip(sender.address());
    }
}

}
