#pragma once
// The path on which this instance reaches each target: its own, or through another instance.
//
// An instance may be partitioned from the targets while callers and other instances still reach it. If no target sends
// any bytes, while requests or connections to several are open or have failed, all targets are reached through other
// instances. A single target that fails is taken for one that has ended.

#include "base/Base.h"
#include "paths/TunnelServer.h"

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace dragonfly::paths {

/// Observations of this instance's own paths since it last received bytes of a target on one.
struct PathEvidence {
    size_t silentTargets = 0; ///< those with a request that has been open for silenceTime, or that failed
    size_t knownTargets = 0;
    std::chrono::milliseconds heardAgo { 0 }; ///< since bytes or an established connection of any target
};

/// A request without an answer counts as silent after this time, and no target may have sent any bytes for as long. A
/// single target may pause for a second; several do not pause at the same time.
inline constexpr std::chrono::milliseconds silenceTime { 600 };

/// Whether this instance has lost its own paths to all targets.
bool arePathsLost(const PathEvidence& evidence);

class TargetPaths : public QObject {
    Q_OBJECT
public:
    TargetPaths();

    /// The instance through which a connection to @p target is to be opened; nothing for the own path.
    std::optional<Endpoint> viaFor(const Endpoint& target, Clock::time_point now) const;
    /// To be called when bytes of @p target arrived on the own path.
    void onHeard(const Endpoint& target, Clock::time_point now);
    /// To be called when no connection to @p target was opened.
    /// @param via the instance through which it was to lead; nothing for the own path
    /// @param answer what that instance answered, if it did
    /// Returns whether another path may be tried.
    bool onUnreached(const Endpoint& target, const std::optional<Endpoint>& via, std::optional<TunnelAnswer> answer,
        Clock::time_point now);
    /// To be called when @p target closed a connection on the own path without an answer.
    void onBroken(const Endpoint& target, Clock::time_point now);
    /// Whether the own paths to all targets are taken to be lost.
    bool isPartitioned() const
    {
        return this->isCut;
    }

    /// Targets with a request on the own path that has been open for silenceTime and without an answer.
    std::function<std::set<std::string>(Clock::time_point now)> silentTargets;
    std::function<std::vector<Endpoint>()> targets; ///< all to which requests may be sent
    std::function<std::vector<Endpoint>()> peers; ///< where other instances open tunnels, the preferred first

private:
    void check();
    void decide(Clock::time_point now);
    void probe(Clock::time_point now);
    void onOwnPath(const Endpoint& target);

    bool isCut = false; ///< all own paths are taken to be lost
    Clock::time_point heardAt = Clock::now();
    Clock::time_point checkedAt = Clock::now();
    std::map<std::string, Clock::time_point> failedAt; ///< of targets: the latest failure on the own path
    /// Until when other instances are not asked, for one target ("INSTANCE TARGET") or for any ("INSTANCE").
    std::map<std::string, Clock::time_point> avoided;
    Clock::time_point nextProbeAt;
    size_t probes = 0; ///< in progress
    size_t probedTargets = 0; ///< since the start
    QTimer timer;
};

}
