#include "membership/PlatformSync.h"

#include "observe/Log.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QRandomGenerator>

namespace dragonfly::membership {

namespace {

    constexpr std::chrono::milliseconds shortestPeriod { 1000 };
    /// 320 instances at 10 ms each poll every 3.2 s: 100 reads a second in all.
    constexpr std::chrono::milliseconds periodPerInstance { 10 };
    constexpr std::chrono::milliseconds longestBackoff { 8000 };
    constexpr std::chrono::milliseconds callTime { 1500 };
    constexpr std::chrono::seconds leaseLife { 30 };
    constexpr std::chrono::milliseconds leasePeriod { 10000 };
    constexpr std::chrono::milliseconds registerRetry { 2000 };
    /// Every so many polls everything is read, to notice deletions and a platform that went back.
    constexpr uint64_t pollsPerFullRead = 10;

    std::chrono::milliseconds jittered(std::chrono::milliseconds time)
    {
        return time / 2
            + std::chrono::milliseconds(QRandomGenerator::global()->bounded(static_cast<int>(time.count())));
    }

}

PlatformSync::PlatformSync(store::KeyValueStore& store, ConfigKeeper& keeper, Fleet& fleet, observe::Metrics& metrics)
    : store(store)
    , keeper(keeper)
    , fleet(fleet)
    , metrics(metrics)
{
    this->pollTimer.setSingleShot(true);
    this->leaseTimer.setSingleShot(true);
    connect(&this->pollTimer, &QTimer::timeout, this, &PlatformSync::poll);
    connect(&this->leaseTimer, &QTimer::timeout, this, &PlatformSync::keepRegistered);
}

void PlatformSync::start()
{
    this->poll();
    this->registerSelf();
}

void PlatformSync::schedulePoll()
{
    const auto instances = static_cast<int>(this->fleet.liveMembers().size()) + 1;
    auto period = std::max(shortestPeriod, periodPerInstance * instances);
    if (this->failures)
        period = std::min(longestBackoff, period * (1 << std::min(this->failures, 3u)));
    this->pollTimer.start(jittered(period));
}

void PlatformSync::poll()
{
    const bool isFull = this->polls++ % pollsPerFullRead == 0 || !this->keeper.revision();
    const auto least = isFull ? 0 : this->lastModRevision + 1;
    this->metrics.platformCalls.Increment();
    this->store.read({ { std::string(config::manifestKey), false, least },
                         { std::string(instancesPrefix), true, least }, { std::string(targetsPrefix), true, least } },
        Clock::now() + callTime, [this, isFull](const store::ReadResult& result) {
            const auto* pairs = std::get_if<std::vector<store::KeyValue>>(&result);
            this->setReachable(pairs);
            if (pairs) {
                this->failures = 0;
                this->take(*pairs, isFull);
            } else {
                ++this->failures;
                this->metrics.platformFailures.Increment();
            }
            this->schedulePoll();
        });
}

void PlatformSync::setReachable(bool reachable)
{
    if (this->reachable == reachable)
        return;
    this->reachable = reachable;
    const auto level = reachable ? observe::LogLevel::Info : observe::LogLevel::Warning;
    observe::logChange(level, reachable ? "platform reached" : "platform out of reach");
}

void PlatformSync::take(const std::vector<store::KeyValue>& pairs, bool isFull)
{
    bool sawManifest = false;
    int64_t highest = 0;
    for (const auto& pair : pairs) {
        highest = std::max(highest, pair.modRevision);
        if (pair.key == config::manifestKey) {
            sawManifest = true;
            this->keeper.offerFromPlatform(pair);
        } else if (pair.key.starts_with(instancesPrefix)) {
            this->takeInstance(pair);
        } else if (pair.key.starts_with(targetsPrefix)) {
            this->takeTarget(pair);
        }
    }
    if (isFull && !sawManifest)
        this->keeper.offerFromPlatform({ std::string(config::manifestKey), {}, 0 });
    this->lastModRevision = isFull ? highest : std::max(this->lastModRevision, highest);
}

void PlatformSync::takeInstance(const store::KeyValue& pair)
{
    pb::PeerAddress peer;
    if (peer.ParseFromString(pair.value) && !peer.address().empty())
        this->fleet.addKnown({ peer.instance(), peer.address(), { peer.region(), peer.data_centre() }, Clock::now() });
}

/// Acts on an entry once for each time that it was written: an older word must not undo what the target
/// itself, or its next process, has said since.
void PlatformSync::takeTarget(const store::KeyValue& pair)
{
    const auto target = pair.key.substr(targetsPrefix.size());
    auto& actedOn = this->listed[target];
    if (actedOn == pair.modRevision)
        return;
    actedOn = pair.modRevision;
    const auto state = QJsonDocument::fromJson(QByteArray::fromStdString(pair.value)).object()["state"].toString();
    if (this->onListed)
        this->onListed(target, state == "leaving");
}

void PlatformSync::registerSelf()
{
    if (this->stopping)
        return;
    this->metrics.platformCalls.Increment();
    this->store.grantLease(leaseLife, Clock::now() + callTime, [this](const store::LeaseResult& result) {
        const auto* granted = std::get_if<int64_t>(&result);
        this->lease = granted ? *granted : 0;
        if (granted)
            this->putSelf();
        else
            this->leaseTimer.start(jittered(registerRetry));
    });
}

void PlatformSync::putSelf()
{
    pb::PeerAddress own;
    const auto& self = this->fleet.self();
    own.set_instance(self.instance);
    own.set_address(self.address);
    own.set_region(self.place.region);
    own.set_data_centre(self.place.dataCentre);
    this->metrics.platformCalls.Increment();
    this->store.put(std::string(instancesPrefix) + self.instance, own.SerializeAsString(), this->lease,
        Clock::now() + callTime, [this](const store::WriteResult& result) {
            if (std::holds_alternative<store::StoreFailure>(result))
                this->lease = 0;
            this->leaseTimer.start(jittered(this->lease ? leasePeriod : registerRetry));
        });
}

void PlatformSync::keepRegistered()
{
    if (!this->lease) {
        this->registerSelf();
        return;
    }
    this->metrics.platformCalls.Increment();
    this->store.renewLease(this->lease, Clock::now() + callTime, [this](const store::LeaseResult& result) {
        if (std::holds_alternative<store::StoreFailure>(result))
            this->lease = 0;
        this->leaseTimer.start(jittered(this->lease ? leasePeriod : registerRetry));
    });
}

void PlatformSync::stop(std::function<void()> done)
{
    this->stopping = true;
    this->leaseTimer.stop();
    this->metrics.platformCalls.Increment();
    this->store.remove(std::string(instancesPrefix) + this->fleet.self().instance, Clock::now() + callTime,
        [done = std::move(done)](const store::WriteResult&) { done(); });
}

}
