#include "membership/Prober.h"

#include "base/Digest.h"

#include <algorithm>

namespace dragonfly::membership {

namespace {

    constexpr std::chrono::milliseconds probeInterval { 1000 };
    constexpr std::chrono::milliseconds connectTimeout { 500 };
    constexpr std::chrono::milliseconds answerTimeout { 900 };
    constexpr size_t probersPerTarget = 2;

    uint64_t rankOf(const std::string& instance, const std::string& target)
    {
        return fastHash(target, fastHash(instance));
    }

}

Prober::Prober(Fleet& fleet, http::ClientPool& pool, observe::Metrics& metrics, ProbeObserver observer)
    : fleet(fleet)
    , pool(pool)
    , metrics(metrics)
    , observer(std::move(observer))
{
    connect(&this->timer, &QTimer::timeout, this, &Prober::tick);
}

void Prober::start()
{
    this->timer.start(probeInterval);
}

void Prober::tick()
{
    if (!this->view)
        return;
    const auto live = this->fleet.liveMembers();
    for (const auto& target : this->view->targets) {
        if (this->isAssigned(target, live))
            this->probe(target);
    }
}

/// Whether this instance probes @p target: rendezvous hashing ranks the instances of its data centre, and the highest
/// ranks probe it. All instances compute the same ranks.
bool Prober::isAssigned(const routing::Target& target, const std::vector<Member>& live) const
{
    const auto& self = this->fleet.self();
    if (self.place.dataCentre != target.place.dataCentre)
        return false;
    const auto ownRank = rankOf(self.instance, target.name);
    const auto higherRanked = std::count_if(live.begin(), live.end(), [&](const Member& member) {
        return member.place.dataCentre == target.place.dataCentre && rankOf(member.instance, target.name) > ownRank;
    });
    return static_cast<size_t>(higherRanked) < probersPerTarget;
}

void Prober::probe(const routing::Target& target)
{
    this->metrics.probes.Increment();
    const auto now = Clock::now();
    http::CallEvents events;
    // The captured view keeps the target alive until the call has ended.
    events.onHead = [this, view = this->view, &target](const http::ResponseHead& head) {
        routing::recordSuccess(*target.state);
        this->observer(target, head.headers);
    };
    events.onFailure = [view = this->view, &target](
                           const http::CallFailure&) { routing::recordFailure(*target.state, Clock::now()); };
    // The id tells the answer from that to a call, should the target send it on another connection.
    const http::Request request { "GET", "/health", { { "X-Request-Id", randomId() } }, {} };
    this->pool.send(target.endpoint, request, { now + connectTimeout, now + answerTimeout, true }, std::move(events));
}

}
