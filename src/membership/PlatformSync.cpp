#include "membership/PlatformSync.h"

#include "observe/Log.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QRandomGenerator>

namespace dragonfly::membership {

namespace {

    constexpr std::chrono::milliseconds minPollInterval { 1000 };
    /// Bounds the fleet to 100 polls per second: 320 instances poll every 3.2 s each.
    constexpr std::chrono::milliseconds pollIntervalPerInstance { 10 };
    constexpr std::chrono::milliseconds maxBackoff { 8000 };
    constexpr std::chrono::milliseconds callTimeout { 1500 };
    constexpr std::chrono::seconds leaseTtl { 30 };
    constexpr std::chrono::milliseconds leaseRenewalInterval { 10000 };
    constexpr std::chrono::milliseconds registrationBackoff { 2000 };
    /// Full reads detect deletions and a platform whose data was reset to an older state.
    constexpr uint64_t pollsPerFullRead = 10;

    std::chrono::milliseconds jittered(std::chrono::milliseconds interval)
    {
        return interval / 2
            + std::chrono::milliseconds(QRandomGenerator::global()->bounded(static_cast<int>(interval.count())));
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
    connect(&this->leaseTimer, &QTimer::timeout, this, &PlatformSync::renewLease);
}

void PlatformSync::start()
{
    this->poll();
    this->registerSelf();
}

void PlatformSync::schedulePoll()
{
    const auto instances = static_cast<int>(this->fleet.liveMembers().size()) + 1;
    auto interval = std::max(minPollInterval, pollIntervalPerInstance * instances);
    if (this->failures)
        interval = std::min(maxBackoff, interval * (1 << std::min(this->failures, 3u)));
    this->pollTimer.start(jittered(interval));
}

void PlatformSync::poll()
{
    const bool isFull = this->polls++ % pollsPerFullRead == 0 || !this->keeper.revision();
    const auto minModRevision = isFull ? 0 : this->lastModRevision + 1;
    this->metrics.platformCalls.Increment();
    this->store.read({ { std::string(config::manifestKey), false, minModRevision },
                         { std::string(instancesPrefix), true, minModRevision },
                         { std::string(targetsPrefix), true, minModRevision } },
        Clock::now() + callTimeout, [this, isFull](const store::ReadResult& result) {
            const auto* pairs = std::get_if<std::vector<store::KeyValue>>(&result);
            this->setReachable(pairs);
            if (pairs) {
                this->failures = 0;
                this->applyEntries(*pairs, isFull);
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
    observe::logChange(level, reachable ? "platform reachable" : "platform unreachable");
}

void PlatformSync::applyEntries(const std::vector<store::KeyValue>& pairs, bool isFull)
{
    bool sawManifest = false;
    int64_t highest = 0;
    for (const auto& pair : pairs) {
        highest = std::max(highest, pair.modRevision);
        if (pair.key == config::manifestKey) {
            sawManifest = true;
            this->keeper.reconcileWithPlatform(pair);
        } else if (pair.key.starts_with(instancesPrefix)) {
            this->applyInstance(pair);
        } else if (pair.key.starts_with(targetsPrefix)) {
            this->applyTarget(pair);
        }
    }
    if (isFull && !sawManifest)
        this->keeper.reconcileWithPlatform({ std::string(config::manifestKey), {}, 0 });
    this->lastModRevision = isFull ? highest : std::max(this->lastModRevision, highest);
}

void PlatformSync::applyInstance(const store::KeyValue& pair)
{
    pb::PeerAddress peer;
    if (peer.ParseFromString(pair.value) && !peer.address().empty())
        this->fleet.addMember({ peer.instance(), peer.address(), { peer.region(), peer.data_centre() }, Clock::now() });
}

/// Applies an entry once per write: applying an unchanged entry again would overwrite later reports of the target
/// itself or of its next process.
void PlatformSync::applyTarget(const store::KeyValue& pair)
{
    const auto target = pair.key.substr(targetsPrefix.size());
    auto& appliedRevision = this->appliedTargetRevisions[target];
    if (appliedRevision == pair.modRevision)
        return;
    appliedRevision = pair.modRevision;
    const auto state = QJsonDocument::fromJson(QByteArray::fromStdString(pair.value)).object()["state"].toString();
    if (this->onTargetListed)
        this->onTargetListed(target, state == "leaving");
}

void PlatformSync::registerSelf()
{
    if (this->stopping)
        return;
    this->metrics.platformCalls.Increment();
    this->store.grantLease(leaseTtl, Clock::now() + callTimeout, [this](const store::LeaseResult& result) {
        const auto* granted = std::get_if<int64_t>(&result);
        this->lease = granted ? *granted : 0;
        if (granted)
            this->writeOwnAddress();
        else
            this->leaseTimer.start(jittered(registrationBackoff));
    });
}

void PlatformSync::writeOwnAddress()
{
    pb::PeerAddress own;
    const auto& self = this->fleet.self();
    own.set_instance(self.instance);
    own.set_address(self.address);
    own.set_region(self.place.region);
    own.set_data_centre(self.place.dataCentre);
    this->metrics.platformCalls.Increment();
    this->store.put(std::string(instancesPrefix) + self.instance, own.SerializeAsString(), this->lease,
        Clock::now() + callTimeout, [this](const store::WriteResult& result) {
            if (std::holds_alternative<store::StoreFailure>(result))
                this->lease = 0;
            this->leaseTimer.start(jittered(this->lease ? leaseRenewalInterval : registrationBackoff));
        });
}

void PlatformSync::renewLease()
{
    if (!this->lease) {
        this->registerSelf();
        return;
    }
    this->metrics.platformCalls.Increment();
    this->store.renewLease(this->lease, Clock::now() + callTimeout, [this](const store::LeaseResult& result) {
        if (std::holds_alternative<store::StoreFailure>(result))
            this->lease = 0;
        this->leaseTimer.start(jittered(this->lease ? leaseRenewalInterval : registrationBackoff));
    });
}

void PlatformSync::stop(std::function<void()> done)
{
    this->stopping = true;
    this->leaseTimer.stop();
    this->metrics.platformCalls.Increment();
    this->store.remove(std::string(instancesPrefix) + this->fleet.self().instance, Clock::now() + callTimeout,
        [done = std::move(done)](const store::WriteResult&) { done(); });
}

}
