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
    /// Between two probes. A connection that is opened is priced like 1 ms of the target's time.
    constexpr milliseconds probeInterval { 150 };
    constexpr milliseconds probeTimeout { 250 };
    constexpr size_t maxProbes = 2;
    /// An instance that has no path of its own, or that does not answer, is not asked for this time.
    constexpr milliseconds peerBackoff { 1000 };

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

std::optional<Endpoint> TargetPaths::viaFor(const Endpoint& target, Clock::time_point now) const
{
    if (!this->isCut || !this->peers)
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
    if (!via) {
        this->failedAt[target.toString()] = now;
        this->decide(now);
    } else {
        const auto ofTarget = answer ? " " + target.toString() : "";
        this->avoided[via->toString() + ofTarget] = now + peerBackoff;
    }
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
    if (silent.empty())
        return;
    const auto heardAgo = std::chrono::duration_cast<milliseconds>(now - this->heardAt);
    if (!arePathsLost({ silent.size(), this->targets().size(), heardAgo }))
        return;
    this->isCut = true;
    logChange(LogLevel::Warning, "own paths to all targets lost",
        { { "silent_targets", std::to_string(silent.size()) }, { "heard_ms_ago", std::to_string(heardAgo.count()) } });
}

/// Tries the own path to one target after the other, each with a connection that is closed again.
void TargetPaths::probe(Clock::time_point now)
{
    std::erase_if(this->avoided, [now](const auto& each) { return each.second <= now; });
    if (!this->isCut || now < this->nextProbeAt || this->probes >= maxProbes)
        return;
    this->nextProbeAt = now + probeInterval;
    const auto known = this->targets();
    if (known.empty())
        return;
    const auto& target = known[this->probedTargets++ % known.size()];
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
    if (std::exchange(this->isCut, false))
        logChange(LogLevel::Info, "own paths to targets are back", { { "address", target.toString() } });
}

}
