#include "relay/InstanceRegistry.h"

#include "observe/Log.h"
#include "relay/PeerRecord.h"

#include <QRandomGenerator>

namespace dragonfly::relay {

using observe::logChange;
using observe::LogLevel;

namespace {

    constexpr std::chrono::milliseconds callTimeout { 1000 };
    /// Added to the jitter after a failed registration or renewal.
    constexpr std::chrono::milliseconds retryBackoff { 1500 };

}

InstanceRegistry::InstanceRegistry(
    store::WatchableStore& store, PeerRanking& ranking, observe::Metrics& metrics, const RegistrationTimings& timings)
    : store(store)
    , ranking(ranking)
    , metrics(metrics)
    , timings(timings)
{
    for (auto* timer : { &this->registerTimer, &this->renewalTimer })
        timer->setSingleShot(true);
    connect(&this->registerTimer, &QTimer::timeout, this, &InstanceRegistry::registerInstance);
    connect(&this->renewalTimer, &QTimer::timeout, this, &InstanceRegistry::renewLease);
}

std::chrono::milliseconds InstanceRegistry::randomJitter() const
{
    return std::chrono::milliseconds(
        QRandomGenerator::global()->bounded(static_cast<int>(this->timings.maxJitter.count()) + 1));
}

std::string InstanceRegistry::ownKey() const
{
    return keyPrefix + this->ranking.own().instance;
}

void InstanceRegistry::start()
{
    this->registerTimer.start(this->randomJitter());
}

void InstanceRegistry::stop()
{
    this->isStopping = true;
    this->registerTimer.stop();
    this->renewalTimer.stop();
    if (this->lease)
        this->endLease(*this->lease);
}

void InstanceRegistry::endLease(int64_t ended)
{
    this->metrics.platformCalls.Increment();
    this->store.endLease(ended, Clock::now() + callTimeout, [](const store::WriteResult&) {
        // The result does not matter: if the call fails, the record is removed when its lease expires.
    });
}

void InstanceRegistry::onRecord(const store::KeyValue& record, bool exists)
{
    if (record.key == this->ownKey()) {
        if (!exists && this->lease && !this->isRegistering && !this->isStopping) {
            logChange(LogLevel::Warning, "instance registration lost");
            this->lease.reset();
            this->renewalTimer.stop();
            this->registerTimer.start(this->randomJitter());
        }
        return;
    }
    const auto instance = record.key.substr(std::string_view(keyPrefix).size());
    if (!exists) {
        this->removeInstance(instance);
        return;
    }
    pb::PeerAddress decoded;
    const auto peer = decoded.ParseFromString(record.value) ? fromRecord(decoded) : std::nullopt;
    if (!peer || peer->instance != instance) {
        this->metrics.recordsRefused.Increment();
        observe::logRefusedRecord(LogLevel::Warning, "invalid instance record refused", { { "key", record.key } });
        this->removeInstance(instance);
        return;
    }
    if (this->ranking.findAddress(instance).value_or(peer->address) != peer->address)
        this->removeInstance(instance);
    this->ranking.add(*peer);
}

void InstanceRegistry::onStoreReturned()
{
    if (this->isStopping)
        return;
    this->isRegistrationOutdated = this->isRegistering;
    // The lease is not ended: another instance may have been granted one under the same id.
    this->lease.reset();
    this->renewalTimer.stop();
    if (!this->isRegistering)
        this->registerTimer.start(this->randomJitter());
}

void InstanceRegistry::removeInstance(const std::string& instance)
{
    const auto address = this->ranking.findAddress(instance);
    this->ranking.remove(instance);
    if (address && this->onAddressReleased)
        this->onAddressReleased(*address);
}

void InstanceRegistry::registerInstance()
{
    if (this->isRegistering || this->isStopping)
        return;
    this->isRegistering = true;
    this->renewalTimer.stop();
    this->metrics.platformCalls.Increment();
    this->store.grantLease(
        this->timings.leaseTtl, Clock::now() + callTimeout, [this](const store::LeaseResult& result) {
            const auto* granted = std::get_if<int64_t>(&result);
            if (this->isStopping) {
                if (granted)
                    this->endLease(*granted);
            } else if (granted) {
                this->writeRecord(*granted);
            } else {
                this->scheduleRetry("lease request failed");
            }
        });
}

void InstanceRegistry::writeRecord(int64_t granted)
{
    this->metrics.platformCalls.Increment();
    this->store.put(this->ownKey(), toRecord(this->ranking.own()).SerializeAsString(), granted,
        Clock::now() + callTimeout, [this, granted](const store::WriteResult& result) {
            if (this->isStopping) {
                this->endLease(granted); // the record was written after stop(), or may have been
                return;
            }
            if (!std::holds_alternative<Success>(result)) {
                this->scheduleRetry("writing the record failed");
                return;
            }
            this->isRegistering = false;
            if (std::exchange(this->isRegistrationOutdated, false)) {
                this->registerTimer.start(this->randomJitter());
                return;
            }
            this->lease = granted;
            this->renewalTimer.start(this->timings.renewalInterval);
            logChange(LogLevel::Info, "instance registered", { { "address", this->ranking.own().address } });
        });
}

void InstanceRegistry::scheduleRetry(const char* reason)
{
    logChange(LogLevel::Warning, "instance registration failed", { { "reason", reason } });
    this->isRegistering = false;
    this->isRegistrationOutdated = false;
    this->registerTimer.start(retryBackoff + this->randomJitter());
}

void InstanceRegistry::renewLease()
{
    if (!this->lease)
        return;
    this->metrics.platformCalls.Increment();
    const auto renewed = *this->lease;
    this->store.renewLease(renewed, Clock::now() + callTimeout, [this, renewed](const store::LeaseResult& result) {
        if (this->isStopping || this->lease != renewed)
            return;
        // The record is removed along with an expired lease; onRecord() then registers again.
        const bool isRenewed = std::holds_alternative<int64_t>(result);
        if (!isRenewed)
            logChange(LogLevel::Warning, "lease renewal of instance registration failed",
                { { "lease", std::to_string(*this->lease) } });
        this->renewalTimer.start(isRenewed ? this->timings.renewalInterval : retryBackoff + this->randomJitter());
    });
}

}
