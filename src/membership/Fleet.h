#pragma once
// Membership of the fleet of instances, and gossip of target states and configuration revisions between them.
//
// All of it is soft state that is exchanged with a few random peers each second. A lost or late message makes
// routing decisions worse but never incorrect. A newer configuration or a change of a target to or from leaving
// is sent at once.

#include "membership/ConfigKeeper.h"
#include "membership/PeerTransport.h"
#include "routing/View.h"

#include <QObject>
#include <QTimer>
#include <map>
#include <set>

namespace dragonfly::membership {

/// Another instance of the fleet, or this one.
struct Member {
    std::string instance;
    std::string address;
    routing::Place place;
    Clock::time_point lastSeenAt; ///< latest known receipt of a message from it, by any instance
};

/// State of a target as exchanged with peers. A later observation replaces an earlier one.
struct TargetUpdate {
    bool leaving = false; ///< whether the target is shutting down and gets no new requests
    Clock::time_point leavingChangedAt; ///< the later change wins, independently of observedAt
    uint64_t incarnation = 0; ///< hash of the incarnation; 0 while unknown
    uint64_t weights = 0; ///< hash of the weights version; 0 while unknown
    uint32_t queuedTokens = 0;
    Clock::time_point observedAt;
};

class Fleet : public QObject {
    Q_OBJECT
public:
    Fleet(Member self, std::vector<std::string> seeds, PeerTransport& transport, ConfigKeeper& keeper,
        observe::Metrics& metrics);

    /// Starts the periodic exchange of gossip messages.
    void start();
    /// Adds an instance or updates its address, place and last-seen time.
    void addMember(const Member& member);
    /// Records what this instance observed of a target. It is sent with the next messages, or at once if the target
    /// starts or stops leaving.
    void report(const std::string& target, const TargetUpdate& update);
    /// Sends a gossip message to a few random peers now.
    void gossipNow();

    /// Members that any instance received a message from recently, without this one.
    std::vector<Member> liveMembers() const;
    const Member& self() const
    {
        return this->own;
    }

    /// Number of live contacts in the own data centre.
    size_t contactsInDataCentre() const;
    /// Sends @p message to each live contact in the own data centre and returns their number.
    size_t sendToDataCentre(const pb::PeerMessage& message);
    /// Called with the placements that a peer advertises.
    std::function<void(const pb::PlacementNews&)> onPlacements;
    /// Called with the merged state of a target when a peer's report changed it.
    std::function<void(const std::string& target, const TargetUpdate&)> onTargetUpdate;

private:
    void tick();
    void receive(const pb::PeerMessage& message);
    void receiveGossip(const pb::Gossip& gossip);
    void sendGossip(const std::string& address);
    pb::PeerMessage buildGossip();
    std::vector<std::string> randomAddresses(size_t count) const;
    bool merge(const std::string& target, const TargetUpdate& received);
    bool isKnownLeaving(const std::string& target) const;
    void removeExpired();
    void updateContacts();
    void dropOneContact();
    void fillContacts(std::vector<Member> live);
    bool isContact(const Member& member) const
    {
        return this->contacts.contains(member.instance);
    }

    Member own;
    std::vector<std::string> seeds;
    PeerTransport& transport;
    ConfigKeeper& keeper;
    observe::Metrics& metrics;
    std::map<std::string, Member> members; ///< by instance
    /// Instances that this one sends to. Their number is limited to bound the open connections.
    std::set<std::string> contacts;
    Deadline contactRotationAt; ///< when a random contact is next replaced by another member
    std::map<std::string, TargetUpdate> updates; ///< by name of the target
    /// Last reply to a peer with an older configuration, by address.
    std::map<std::string, Clock::time_point> repliedAt;
    size_t nextAdvertised = 0; ///< round-robin position in `updates`
    QTimer timer;
};

}
