#include "relay/InstanceRegistry.h"

#include "observe/Log.h"
#include "peer.pb.h"

#include <QRandomGenerator>

namespace dragonfly::relay {

using observe::logChange;
using observe::LogLevel;

namespace {

    constexpr std::chrono::milliseconds callTime { 1000 };
    /// How long the record of an instance that was lost remains. Peers find out by themselves that it is silent, so
    /// this may be long, and renewals rare.
    constexpr std::chrono::seconds leaseTime { 60 };
    constexpr std::chrono::milliseconds renewalPeriod { 20000 };
    /// Instances that start together, or lose their records together, register within this time.
    constexpr std::chrono::milliseconds registrationSpread { 1500 };
    /// After a failed registration, plus the spread.
    constexpr std::chrono::milliseconds retryPause { 1500 };

    std::chrono::milliseconds spread()
    {
        return std::chrono::milliseconds(
            QRandomGenerator::global()->bounded(static_cast<int>(registrationSpread.count())));
    }

    std::string encode(const Peer& peer)
    {
        pb::PeerAddress record;
        record.set_instance(peer.instance);
        record.set_address(peer.address);
        record.set_region(peer.place.region);
        record.set_data_centre(peer.place.dataCentre);
        record.set_capacity(peer.capacity);
        return record.SerializeAsString();
    }

}

InstanceRegistry::InstanceRegistry(store::WatchableStore& store, PeerRanking& ranking, observe::Metrics& metrics)
    : store(store)
    , ranking(ranking)
    , metrics(metrics)
{
    for (auto* timer : { &this->writeTimer, &this->renewTimer })
        timer->setSingleShot(true);
    connect(&this->writeTimer, &QTimer::timeout, this, &InstanceRegistry::registerOwn);
    connect(&this->renewTimer, &QTimer::timeout, this, &InstanceRegistry::renew);
}

std::string InstanceRegistry::ownKey() const
{
    return keyPrefix + this->ranking.own().instance;
}

void InstanceRegistry::start()
{
    this->writeTimer.start(spread());
}

void InstanceRegistry::stop()
{
    this->stopping = true;
    this->writeTimer.stop();
    this->renewTimer.stop();
    if (!this->lease)
        return;
    this->metrics.platformCalls.Increment();
    this->store.endLease(*this->lease, Clock::now() + callTime, [](const store::WriteResult&) {
        // Nothing to be done without an answer: the record goes with its lease.
    });
}

void InstanceRegistry::onRecord(const store::KeyValue& record, bool exists)
{
    if (record.key == this->ownKey()) {
        if (!exists && this->lease && !this->isWriting && !this->stopping) {
            logChange(LogLevel::Warning, "own record is gone");
            this->lease.reset();
            this->writeTimer.start(spread());
        }
        return;
    }
    const auto instance = record.key.substr(std::string_view(keyPrefix).size());
    if (!exists) {
        this->forget(instance);
        return;
    }
    pb::PeerAddress decoded;
    if (!decoded.ParseFromString(record.value) || decoded.instance() != instance || !parseEndpoint(decoded.address())) {
        logChange(LogLevel::Warning, "record of an instance refused", { { "key", record.key } });
        this->forget(instance);
        return;
    }
    if (this->ranking.findAddress(instance).value_or(decoded.address()) != decoded.address())
        this->forget(instance);
    this->ranking.add({ instance, decoded.address(), { decoded.region(), decoded.data_centre() }, decoded.capacity() });
}

void InstanceRegistry::forget(const std::string& instance)
{
    const auto address = this->ranking.findAddress(instance);
    this->ranking.remove(instance);
    if (address && this->onAddressLeft)
        this->onAddressLeft(*address);
}

void InstanceRegistry::registerOwn()
{
    if (this->isWriting || this->stopping)
        return;
    this->isWriting = true;
    this->renewTimer.stop();
    this->metrics.platformCalls.Increment();
    this->store.grantLease(leaseTime, Clock::now() + callTime, [this](const store::LeaseResult& result) {
        if (const auto* granted = std::get_if<int64_t>(&result))
            this->writeRecord(*granted);
        else
            this->retryLater("no lease was granted");
    });
}

void InstanceRegistry::writeRecord(int64_t granted)
{
    this->metrics.platformCalls.Increment();
    this->store.put(this->ownKey(), encode(this->ranking.own()), granted, Clock::now() + callTime,
        [this, granted](const store::WriteResult& result) {
            if (!std::holds_alternative<Success>(result)) {
                this->retryLater("the record was not written");
                return;
            }
            this->isWriting = false;
            this->lease = granted;
            this->renewTimer.start(renewalPeriod);
            logChange(LogLevel::Info, "registered", { { "address", this->ranking.own().address } });
        });
}

void InstanceRegistry::retryLater(const char* reason)
{
    logChange(LogLevel::Warning, "not registered", { { "reason", reason } });
    this->isWriting = false;
    this->writeTimer.start(retryPause + spread());
}

void InstanceRegistry::renew()
{
    this->metrics.platformCalls.Increment();
    this->store.keepLease(*this->lease, Clock::now() + callTime, [this](const store::LeaseResult& result) {
        if (this->stopping || !this->lease)
            return;
        // When the lease is lost, so is the record, which is noticed by following the records.
        const bool isRenewed = std::holds_alternative<int64_t>(result);
        if (!isRenewed)
            logChange(LogLevel::Warning, "own record not renewed", { { "lease", std::to_string(*this->lease) } });
        this->renewTimer.start(isRenewed ? renewalPeriod : retryPause + spread());
    });
}

}
