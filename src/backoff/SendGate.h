#pragma once
// The gate that every request to a target passes: once when its target is chosen, and again right before its first
// byte is written, since it may have waited in between for a connection, for the event loop or for the process.
//
// What a process of a target has said is kept apart from its registration, which the platform's service may lose, list
// again or replace by an older one.

#include "backoff/TargetBackoff.h"
#include "directory/Incarnation.h"
#include "limits/Limits.h"

namespace dragonfly::backoff {

/// Records that a request passed the gate.
struct SendPermit {
    Clock::time_point recordedAt;
    bool isCounted = false; ///< counted in the share of the target's request limit
    Deadline refusableUntil; ///< counted until then as a request that may be refused
};

class SendGate {
public:
    SendGate(limits::RequestLimits& limits, observe::Metrics& metrics);

    std::function<double()> random; ///< uniform from 0 to 1

    /// Applies what an answer of @p target says.
    /// @param source the id of the request, or the kind of the call, that was answered
    void onAnswer(const directory::Registration& target, const Statement& statement, const std::string& source,
        Clock::time_point now);
    /// Applies what an answer of @p target to a request says about refusals.
    void onRoomAnswer(const directory::Registration& target, const limits::NamedRefusalLimit& named,
        const limits::RoomAnswer& answer, Clock::time_point now);
    /// Whether a request may be sent to @p target now.
    Verdict ask(const directory::Registration& target, Clock::time_point now);
    /// Records a request that is to be sent to @p target.
    SendPermit admit(const directory::Registration& target, Clock::time_point now);
    /// Whether the request with @p permit may still be sent, now that its first byte is due.
    Verdict confirm(const directory::Registration& target, SendPermit& permit, Clock::time_point now);
    /// Whether @p target is leaving.
    bool isLeaving(const directory::Registration& target) const;
    /// Whether @p target takes calls that are no requests: reports and orders.
    bool mayCall(const directory::Registration& target, Clock::time_point now) const;
    /// When a request that is refused now may be sent to @p target; nullopt if it is leaving.
    std::optional<Clock::time_point> nextSendAt(const directory::Registration& target, Clock::time_point now) const;

private:
    struct Entry {
        TargetBackoff state;
        Clock::time_point statedAt; ///< when the latest statement arrived
        Deadline loggedEnd; ///< the end of the time without requests in the latest log line
        bool isInvalidLogged = false;
    };

    Entry* find(const directory::Registration& target);
    const Entry* find(const directory::Registration& target) const;
    Entry& findOrCreate(const directory::Registration& target, Clock::time_point now);
    void dropUnused(Clock::time_point now);
    void onLeaving(Entry& entry, const directory::Registration& target, const std::string& source);
    void onBackoff(Entry& entry, const directory::Registration& target, std::chrono::duration<double> backoff,
        const std::string& source, Clock::time_point now);

    limits::RequestLimits& limits;
    limits::BrittleTargets brittle;
    observe::Metrics& metrics;
    /// Processes that have made a statement. Invariant: no more than maxEntries.
    std::map<directory::Incarnation, Entry> entries;
};

}
