#include "paths/TargetPaths.h"

#include "observe/Log.h"

#include <QTcpSocket>
#include <algorithm>

namespace dragonfly::paths {

using observe::logChange;
using observe::LogLevel;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds checkInterval { 100 };
    /// A check that comes so late shows that this process did not run, so that silence proves nothing.
    constexpr milliseconds maxCheckDelay { 300 };
    /// Targets that have to be silent together.
    constexpr size_t minSilentTargets = 3;
    /// How long a failure on the own path counts.
    constexpr milliseconds failureRetention { 2000 };
    /// Between two probes of lost paths. A connection that is opened is priced like 1 ms of the target's time.
    constexpr milliseconds probeInterval { 300 };
    /// The same while all own paths are lost, when each target is tried in turn.
    constexpr milliseconds probeIntervalWhileCut { 150 };
    constexpr milliseconds probeTimeout { 250 };
    constexpr size_t maxProbes = 2;
    /// An instance that has no path of its own, or that does not answer, is not asked for this time.
    constexpr milliseconds peerBackoff { 1000 };
    /// A target that other instances do not reach either is asked on the own path for this time.
    constexpr milliseconds deadTargetTime { 1000 };

}

bool arePathsLost(const PathEvidence& evidence)
{
    const auto needed = std::min(minSilentTargets, evidence.knownTargets);
    return needed > 1 && evidence.silentTargets >= needed && evidence.heardAgo >= silenceTime;
}

TargetPaths::TargetPaths()
{
    connect(&this->timer, &QTimer::timeout, this, &TargetPaths::check);
    this->timer.start(checkInterval);
}

std::optional<Endpoint> TargetPaths::viaFor(const Endpoint& target, Clock::time_point now)
{
    const auto dead = this->deadUntil.find(target.toString());
    if (!this->isLost(target) || !this->peers || (!this->isCut && dead != this->deadUntil.end() && dead->second > now))
        return std::nullopt;
    const auto isAvoided = [&](const std::string& name) {
        const auto found = this->avoided.find(name);
        return found != this->avoided.end() && found->second > now;
    };
    for (const auto& peer : this->peers()) {
        if (!isAvoided(peer.toString()) && !isAvoided(peer.toString() + " " + target.toString()))
            return peer;
    }
    return std::nullopt;
}

void TargetPaths::onHeard(const Endpoint& target, Clock::time_point now)
{
    this->heardAt = now;
    if (!this->failedAt.empty())
        this->failedAt.erase(target.toString());
    if (this->isCut)
        this->onOwnPath(target);
}

bool TargetPaths::onUnreached(const Endpoint& target, const std::optional<Endpoint>& via,
    std::optional<TunnelAnswer> answer, Clock::time_point now)
{
    const auto name = target.toString();
    if (!via) {
        this->failedAt[name] = now;
        const auto dead = this->deadUntil.find(name);
        if (dead != this->deadUntil.end() && dead->second > now)
            return false;
        if (this->lost.emplace(name, LostTarget { target, now }).second)
            logChange(LogLevel::Warning, "own path to target lost", { { "address", name } });
        this->decide(now);
        return this->viaFor(target, now).has_value();
    }
    if (answer == TunnelAnswer::NoTarget && !this->isCut) {
        this->deadUntil[name] = now + deadTargetTime;
        return false;
    }
    const auto ofTarget = answer == TunnelAnswer::NoTarget ? " " + name : "";
    this->avoided[via->toString() + ofTarget] = now + peerBackoff;
    return this->viaFor(target, now).has_value();
}

void TargetPaths::onBroken(const Endpoint& target, Clock::time_point now)
{
    this->failedAt[target.toString()] = now;
    this->decide(now);
}

void TargetPaths::check()
{
    const auto now = Clock::now();
    if (now - std::exchange(this->checkedAt, now) > maxCheckDelay)
        this->heardAt = now;
    this->decide(now);
    this->probe(now);
}

void TargetPaths::decide(Clock::time_point now)
{
    std::erase_if(this->failedAt, [now](const auto& each) { return each.second + failureRetention <= now; });
    if (this->isCut || !this->silentTargets || !this->targets)
        return;
    auto silent = this->silentTargets(now);
    for (const auto& [name, at] : this->failedAt)
        silent.insert(name);
    const auto heardAgo = std::chrono::duration_cast<milliseconds>(now - this->heardAt);
    if (!arePathsLost({ silent.size(), this->targets().size(), heardAgo }))
        return;
    this->isCut = true;
    this->deadUntil.clear();
    logChange(LogLevel::Warning, "own paths to all targets lost",
        { { "silent_targets", std::to_string(silent.size()) }, { "heard_ms_ago", std::to_string(heardAgo.count()) } });
}

/// The target whose path is to be tried next: any while all paths are lost, as some targets may have ended.
std::optional<Endpoint> TargetPaths::nextProbe(Clock::time_point now)
{
    const auto known = this->targets ? this->targets() : std::vector<Endpoint>();
    std::erase_if(
        this->lost, [&](const auto& each) { return std::ranges::find(known, each.second.target) == known.end(); });
    if (this->isCut && !known.empty())
        return known[this->probedTargets++ % known.size()];
    if (this->lost.empty())
        return std::nullopt;
    auto& next
        = std::ranges::min_element(this->lost, {}, [](const auto& each) { return each.second.nextProbeAt; })->second;
    next.nextProbeAt = now + probeInterval;
    return next.target;
}

/// Tries a lost path with a connection that is closed again.
void TargetPaths::probe(Clock::time_point now)
{
    std::erase_if(this->deadUntil, [now](const auto& each) { return each.second <= now; });
    std::erase_if(this->avoided, [now](const auto& each) { return each.second <= now; });
    const bool isNeeded = this->isCut || !this->lost.empty();
    if (!isNeeded || now < this->nextProbeAt || this->probes >= maxProbes)
        return;
    this->nextProbeAt = now + (this->isCut ? probeIntervalWhileCut : probeInterval);
    const auto next = this->nextProbe(now);
    if (!next)
        return;
    const auto& target = *next;
    ++this->probes;
    auto* socket = new QTcpSocket(this);
    connect(socket, &QObject::destroyed, this, [this] { --this->probes; });
    connect(socket, &QTcpSocket::connected, this, [this, target] { this->onOwnPath(target); });
    connect(socket, &QTcpSocket::connected, socket, &QObject::deleteLater);
    connect(socket, &QTcpSocket::errorOccurred, socket, &QObject::deleteLater);
    QTimer::singleShot(probeTimeout, socket, &QObject::deleteLater);
    socket->connectToHost(QHostAddress(QString::fromStdString(target.host)), target.port);
}

void TargetPaths::onOwnPath(const Endpoint& target)
{
    this->heardAt = Clock::now();
    this->failedAt.clear();
    if (std::exchange(this->isCut, false)) {
        this->lost.clear();
        logChange(LogLevel::Info, "own paths to targets are back", { { "address", target.toString() } });
    } else if (this->lost.erase(target.toString())) {
        logChange(LogLevel::Info, "own path to target is back", { { "address", target.toString() } });
    }
}

}
