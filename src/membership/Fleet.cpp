#include "membership/Fleet.h"

#include <QRandomGenerator>
#include <algorithm>
#include <array>

namespace dragonfly::membership {

namespace {

    constexpr std::chrono::milliseconds period { 1000 };
    constexpr int jitterMs = 200;
    constexpr size_t peersPerTick = 2;
    constexpr size_t peersPerNews = 3;
    constexpr size_t contactsInCentre = 8;
    constexpr size_t contactsElsewhere = 4;
    constexpr std::chrono::seconds contactLife { 30 };
    constexpr size_t mostPeersTold = 3;
    constexpr size_t mostReportsTold = 8;
    constexpr std::chrono::seconds liveTime { 10 };
    constexpr std::chrono::minutes rememberedTime { 60 };
    constexpr std::chrono::milliseconds replyPause { 200 };
    constexpr std::chrono::seconds reportLife { 120 };

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
    this->forgetSilent();
    this->renewContacts();
    for (const auto& address : this->randomAddresses(peersPerTick))
        this->sendGossip(address);
    this->metrics.livePeers.Set(static_cast<double>(this->liveMembers().size()));
    this->timer.start(period + std::chrono::milliseconds(QRandomGenerator::global()->bounded(jitterMs)));
}

void Fleet::spreadNow()
{
    for (const auto& address : this->randomAddresses(peersPerNews))
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

/// Keeps the contacts to live members and exchanges one of them now and then, so that news crosses the
/// whole fleet although each instance talks to few.
void Fleet::renewContacts()
{
    const auto now = Clock::now();
    const auto live = this->liveMembers();
    std::erase_if(this->contacts, [&live](const std::string& instance) {
        return std::none_of(
            live.begin(), live.end(), [&](const Member& member) { return member.instance == instance; });
    });
    const bool isFull = this->contacts.size() >= contactsInCentre + contactsElsewhere;
    if (isFull && now >= this->contactsRenewal) {
        this->dropOneContact();
        this->contactsRenewal = now + contactLife;
    }
    this->fillContacts(live);
}

void Fleet::dropOneContact()
{
    const auto place = QRandomGenerator::global()->bounded(static_cast<int>(this->contacts.size()));
    const auto given = std::next(this->contacts.begin(), place);
    this->transport.drop(this->members[*given].address);
    this->contacts.erase(given);
}

/// Takes random members as contacts while there is room: for more of the own data centre than of others.
void Fleet::fillContacts(std::vector<Member> live)
{
    std::shuffle(live.begin(), live.end(), *QRandomGenerator::global());
    std::array<size_t, 2> taken {};
    constexpr std::array<size_t, 2> room { contactsInCentre, contactsElsewhere };
    const auto kindOf
        = [this](const Member& member) { return member.place.dataCentre == this->own.place.dataCentre ? 0u : 1u; };
    for (const auto& member : live)
        taken[kindOf(member)] += this->isContact(member);
    for (const auto& member : live) {
        const auto kind = kindOf(member);
        if (taken[kind] >= room[kind] || !this->contacts.insert(member.instance).second)
            continue;
        ++taken[kind];
    }
}

std::vector<Member> Fleet::liveMembers() const
{
    std::vector<Member> live;
    const auto oldest = Clock::now() - liveTime;
    for (const auto& [instance, member] : this->members) {
        if (member.heardAt > oldest)
            live.push_back(member);
    }
    return live;
}

void Fleet::forgetSilent()
{
    const auto now = Clock::now();
    for (auto member = this->members.begin(); member != this->members.end();) {
        if (now - member->second.heardAt < rememberedTime) {
            ++member;
            continue;
        }
        this->transport.drop(member->second.address);
        member = this->members.erase(member);
    }
    std::erase_if(this->news, [now](const auto& entry) { return now - entry.second.observedAt > reportLife; });
    std::erase_if(this->answeredAt, [now](const auto& entry) { return now - entry.second > liveTime; });
}

/// Mostly contacts; now and then a member that fell silent, or a seed, so that healed parts find each other.
std::vector<std::string> Fleet::randomAddresses(size_t count) const
{
    std::vector<std::string> live;
    std::vector<std::string> other = this->seeds;
    const auto oldest = Clock::now() - liveTime;
    for (const auto& [instance, member] : this->members) {
        if (member.heardAt <= oldest)
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

void Fleet::addKnown(const Member& member)
{
    if (member.instance == this->own.instance)
        return;
    auto& known = this->members[member.instance];
    if (!known.address.empty() && known.address != member.address)
        this->transport.drop(known.address);
    known.instance = member.instance;
    known.address = member.address;
    known.place = member.place;
    known.heardAt = std::max(known.heardAt, member.heardAt);
}

/// Takes over what is new in @p told: its observation when that is later, and whether the target is leaving
/// when that changed later. A later observer may not have known of the change.
bool Fleet::merge(const std::string& target, const TargetNews& told)
{
    const auto [found, isFirst] = this->news.try_emplace(target, told);
    if (isFirst)
        return true;
    auto& known = found->second;
    const auto before = known;
    if (told.observedAt > known.observedAt)
        known = told;
    const auto& changedLast = told.leavingChangedAt > before.leavingChangedAt ? told : before;
    known.leaving = changedLast.leaving;
    known.leavingChangedAt = changedLast.leavingChangedAt;
    return told.observedAt > before.observedAt || known.leaving != before.leaving;
}

void Fleet::report(const std::string& target, const TargetNews& news)
{
    const auto before = this->isKnownLeaving(target);
    if (this->merge(target, news) && this->isKnownLeaving(target) != before)
        this->spreadNow();
}

bool Fleet::isKnownLeaving(const std::string& target) const
{
    const auto found = this->news.find(target);
    return found != this->news.end() && found->second.leaving;
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
    std::vector<const Member*> told;
    for (const auto& [instance, member] : this->members)
        told.push_back(&member);
    std::shuffle(told.begin(), told.end(), *QRandomGenerator::global());
    told.resize(std::min(told.size(), mostPeersTold));
    for (const auto* member : told) {
        auto* peer = gossip->add_peers();
        peer->set_instance(member->instance);
        peer->set_address(member->address);
        peer->set_region(member->place.region);
        peer->set_data_centre(member->place.dataCentre);
        peer->set_heard_ms_ago(millisecondsSince(member->heardAt, now));
    }
    const auto add = [&](const std::string& target, const TargetNews& news) {
        auto* report = gossip->add_targets();
        report->set_target(target);
        report->set_leaving(news.leaving);
        report->set_incarnation(news.incarnation);
        report->set_weights(news.weights);
        report->set_queued_tokens(news.queuedTokens);
        report->set_observed_ms_ago(millisecondsSince(news.observedAt, now));
        report->set_leaving_changed_ms_ago(millisecondsSince(news.leavingChangedAt, now));
    };
    // Leaving targets go into every message, the rest takes turns.
    for (const auto& [target, news] : this->news) {
        if (news.leaving && gossip->targets_size() < static_cast<int>(mostReportsTold))
            add(target, news);
    }
    for (size_t i = 0; i < this->news.size() && gossip->targets_size() < static_cast<int>(mostReportsTold); ++i) {
        const auto entry
            = std::next(this->news.begin(), static_cast<ptrdiff_t>(this->nextReport++ % this->news.size()));
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
        this->keeper.answer(message.fetch_manifest(), message.reply_to());
        break;
    case pb::PeerMessage::kFetchParts:
        this->keeper.answer(message.fetch_parts(), message.reply_to());
        break;
    case pb::PeerMessage::kManifestReply:
        this->keeper.take(message.manifest_reply(), message.reply_to());
        break;
    case pb::PeerMessage::kPartsReply:
        this->keeper.take(message.parts_reply(), message.reply_to());
        break;
    case pb::PeerMessage::kPlacementNews:
        if (this->onPlacements)
            this->onPlacements(message.placement_news());
        break;
    case pb::PeerMessage::kFollowRecords:
    case pb::PeerMessage::kRecordsReply:
        break; // of instances that forward
    case pb::PeerMessage::BODY_NOT_SET:
        break; // from a later version of the protocol
    }
}

void Fleet::receiveGossip(const pb::Gossip& gossip)
{
    const auto now = Clock::now();
    const auto& sender = gossip.sender();
    this->addKnown({ sender.instance(), sender.address(), { sender.region(), sender.data_centre() }, now });
    for (const auto& peer : gossip.peers()) {
        const auto heardAt = now - std::chrono::milliseconds(peer.heard_ms_ago());
        this->addKnown({ peer.instance(), peer.address(), { peer.region(), peer.data_centre() }, heardAt });
    }
    for (const auto& report : gossip.targets()) {
        const TargetNews told { report.leaving(), now - std::chrono::milliseconds(report.leaving_changed_ms_ago()),
            report.incarnation(), report.weights(), report.queued_tokens(),
            now - std::chrono::milliseconds(report.observed_ms_ago()) };
        const auto before = this->isKnownLeaving(report.target());
        if (!this->merge(report.target(), told))
            continue;
        if (this->onTargetNews)
            this->onTargetNews(report.target(), this->news[report.target()]);
        if (this->isKnownLeaving(report.target()) != before)
            this->spreadNow();
    }
    this->keeper.hearOfRevision(sender.address(), gossip.config_revision());
    auto& answered = this->answeredAt[sender.address()];
    if (gossip.config_revision() < this->keeper.revision() && now - answered > replyPause) {
        answered = now;
        this->sendGossip(sender.address());
    }
}

}
