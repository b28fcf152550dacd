#pragma once
// The other instances, as far as this one has heard of them, and what they tell each other.
//
// All of it is soft state, exchanged with a few random peers each second; a lost or late message costs
// quality and nothing else. News (a newer configuration, a leaving target) goes out at once.

#include "membership/ConfigKeeper.h"
#include "membership/PeerTransport.h"
#include "routing/View.h"

#include <QObject>
#include <QTimer>
#include <map>
#include <set>

namespace dragonfly::membership {

struct Member {
    std::string instance;
    std::string address;
    routing::Place place;
    Clock::time_point heardAt; ///< when anyone last heard from it, as far as we were told
};

/// What is known about a target, to be told to peers. A report is news only if it was observed later.
struct TargetNews {
    bool leaving = false;
    Clock::time_point leavingChangedAt; ///< the later change counts, whoever observed the target last
    uint64_t incarnation = 0; ///< hash; 0 while unknown
    uint64_t weights = 0; ///< hash; 0 while unknown
    uint32_t queuedTokens = 0;
    Clock::time_point observedAt;
};

class Fleet : public QObject {
    Q_OBJECT
public:
    Fleet(Member self, std::vector<std::string> seeds, PeerTransport& transport, ConfigKeeper& keeper,
        observe::Metrics& metrics);

    /// Begins to exchange messages.
    void start();
    /// Adds an instance from the platform's list.
    void addKnown(const Member& member);
    /// Observed here: goes to peers with the next messages, or at once when the target is leaving.
    void report(const std::string& target, const TargetNews& news);
    /// Sends what is new to a few peers now.
    void spreadNow();

    std::vector<Member> liveMembers() const;
    const Member& self() const
    {
        return this->own;
    }

    /// How many live contacts there are in the own data centre.
    size_t contactsInDataCentre() const;
    /// Sends @p message to each of them and returns how many there are.
    size_t sendToDataCentre(const pb::PeerMessage& message);
    std::function<void(const pb::PlacementNews&)> onPlacements;
    /// A peer's news about a target that was not known here.
    std::function<void(const std::string& target, const TargetNews&)> onTargetNews;

private:
    void tick();
    void receive(const pb::PeerMessage& message);
    void receiveGossip(const pb::Gossip& gossip);
    void sendGossip(const std::string& address);
    pb::PeerMessage buildGossip();
    std::vector<std::string> randomAddresses(size_t count) const;
    bool merge(const std::string& target, const TargetNews& told);
    bool isKnownLeaving(const std::string& target) const;
    void forgetSilent();
    void renewContacts();
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
    /// Members that this instance sends to, by instance; few, so that open connections stay bounded.
    std::set<std::string> contacts;
    Deadline contactsRenewal;
    std::map<std::string, TargetNews> news; ///< by target
    std::map<std::string, Clock::time_point> answeredAt; ///< by address: replies to peers that lag
    size_t nextReport = 0;
    QTimer timer;
};

}
