#include "streams/VersionRegistry.h"

#include "observe/Log.h"

#include <QRandomGenerator>
#include <algorithm>

namespace dragonfly::streams {

using observe::logChange;
using observe::LogLevel;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds callTimeout { 1000 };
    /// Random delay of a write for each known instance, so that one of them writes before most others have tried.
    constexpr milliseconds delayPerInstance { 3 };

    /// Callers' own time limits exceed that of the route by less than this factor.
    constexpr int retentionFactor = 2;

    const char* toString(VersionPhase phase)
    {
        switch (phase) {
        case VersionPhase::Opening:
            return ":opening";
        case VersionPhase::Open:
            return ":open";
        case VersionPhase::Closed:
            break;
        }
        return ":closed";
    }

    std::string describe(const VersionPhases& phases)
    {
        std::string text;
        for (const auto& [version, phase] : phases)
            text += (text.empty() ? "" : ",") + version + toString(phase);
        return text;
    }

}

VersionRegistry::VersionRegistry(store::KeyValueStore& store, const directory::Directory& directory,
    observe::Metrics& metrics, const VersionTimings& timings)
    : store(store)
    , directory(directory)
    , metrics(metrics)
    , timings(timings)
{
    connect(&this->timer, &QTimer::timeout, this, &VersionRegistry::update);
}

void VersionRegistry::onRecord(const store::KeyValue& record, bool exists)
{
    if (record.modRevision && record.modRevision < this->revision)
        return;
    const bool isReturned = store::eraOf(record.modRevision) > store::eraOf(this->revision) && this->revision;
    this->revision = exists ? record.modRevision : 0;
    this->stored.clear();
    if (!exists)
        return; // what it said still holds; the next write restores it
    auto read = decodeVersions(record.value);
    if (!read) {
        this->metrics.recordsRefused.Increment();
        observe::logRefusedRecord(
            LogLevel::Error, "invalid record of stream versions refused", { { "key", record.key } });
        return;
    }
    this->stored = *read;
    if (isReturned) {
        // The copy to which the service returned may lack versions and changes that were recorded later.
        for (const auto& [service, phases] : this->versions) {
            for (const auto& [version, phase] : phases) {
                auto& returned = (*read)[service].try_emplace(version, phase).first->second;
                if (returned == VersionPhase::Opening)
                    returned = phase;
            }
        }
    }
    this->apply(std::move(*read));
}

void VersionRegistry::onWholeRead()
{
    this->isRead = true;
    if (!this->timer.isActive())
        this->timer.start(this->timings.checkInterval);
    this->update();
}

bool VersionRegistry::isOpen(const std::string& service, const std::string& version) const
{
    const auto phases = this->versions.find(service);
    if (phases == this->versions.end())
        return false;
    const auto phase = phases->second.find(version);
    if (phase == phases->second.end() || phase->second == VersionPhase::Closed)
        return false;
    // Waits for no write, which the store may refuse for long.
    return phase->second == VersionPhase::Open || this->settledFrom.at({ service, version }) <= Clock::now();
}

bool VersionRegistry::isMixed(const std::string& service) const
{
    const auto phases = this->versions.find(service);
    return phases != this->versions.end() && phases->second.size() > 1;
}

std::set<std::string> VersionRegistry::versionsOf(const std::string& service) const
{
    std::set<std::string> found;
    if (const auto phases = this->versions.find(service); phases != this->versions.end())
        std::ranges::transform(
            phases->second, std::inserter(found, found.end()), [](const auto& entry) { return entry.first; });
    return found;
}

std::chrono::milliseconds VersionRegistry::retention() const
{
    const auto& routes = this->directory.routes();
    const auto timeout = routes ? routes->longestResumableTimeout() : milliseconds(0);
    return std::max(this->timings.minRetention, timeout * retentionFactor + this->timings.maxRecordAge);
}

std::set<std::string> VersionRegistry::mixedServices() const
{
    std::set<std::string> mixed;
    for (const auto& [service, phases] : this->versions) {
        if (phases.size() > 1)
            mixed.insert(service);
    }
    return mixed;
}

VersionObservations VersionRegistry::observe(Clock::time_point now)
{
    VersionObservations observed;
    const auto& routes = this->directory.routes();
    if (!routes)
        return observed;
    const auto services = routes->resumableServices();
    for (const auto& [id, target] : this->directory.targets()) {
        const auto& registration = target->registration;
        if (!services.contains(registration.service) || registration.isDraining || target->isReplaced)
            continue;
        observed.registered[registration.service].insert(registration.softwareVersion);
        this->lastRegistered[{ registration.service, registration.softwareVersion }] = now;
    }
    for (const auto& [service, phases] : this->versions) {
        for (const auto& [version, phase] : phases) {
            const std::pair name { service, version };
            // A version that had no target when this instance started counts from now on.
            if (this->lastRegistered.emplace(name, now).first->second + this->timings.closeDelay <= now)
                observed.abandoned[service].insert(version);
            const auto settled = this->settledFrom.find(name);
            if (settled != this->settledFrom.end() && settled->second <= now)
                observed.settled[service].insert(version);
            const auto since = this->closedSince.find(name);
            if (since != this->closedSince.end() && since->second + this->retention() <= now)
                observed.expired[service].insert(version);
        }
    }
    return observed;
}

void VersionRegistry::update()
{
    if (!this->isRead || this->isCallInFlight)
        return;
    const auto now = Clock::now();
    const auto next = planVersions(this->versions, this->observe(now));
    if (next == this->stored) {
        this->writeAt.reset();
        return;
    }
    if (!this->writeAt) {
        const auto instances = this->instanceCount ? this->instanceCount() : 1;
        const auto spread = delayPerInstance * static_cast<int>(instances - 1);
        this->writeAt = now + milliseconds(QRandomGenerator::global()->bounded(static_cast<int>(spread.count()) + 1));
    }
    if (now >= *this->writeAt)
        this->write(next);
    else
        QTimer::singleShot(remaining(*this->writeAt, now), this, &VersionRegistry::update);
}

void VersionRegistry::write(const ServiceVersions& next)
{
    this->isCallInFlight = true;
    this->metrics.platformCalls.Increment();
    this->store.compareAndSwap(key, this->revision, encodeVersions(next), Clock::now() + callTimeout,
        [this, next](const store::SwapResult& result) { this->onWritten(next, result); });
}

void VersionRegistry::onWritten(const ServiceVersions& next, const store::SwapResult& result)
{
    this->isCallInFlight = false;
    this->writeAt.reset();
    if (const auto* swapped = std::get_if<store::Swapped>(&result)) {
        if (swapped->modRevision > this->revision) {
            this->revision = swapped->modRevision;
            this->stored = next;
            this->apply(next);
        }
    } else if (const auto* conflict = std::get_if<store::Conflict>(&result)) {
        this->onRecord(conflict->current, conflict->current.modRevision != 0);
    } else {
        this->writeAt = Clock::now() + this->timings.retryBackoff;
        logChange(LogLevel::Warning, "stream versions not written",
            { { "may_have_been",
                std::get<store::StoreFailure>(result) == store::StoreFailure::Unknown ? "yes" : "no" } });
    }
    this->update();
}

void VersionRegistry::apply(ServiceVersions next)
{
    const auto former = std::exchange(this->versions, std::move(next));
    for (const auto& [service, phases] : this->versions) {
        const auto before = former.find(service);
        if (before != former.end() && before->second == phases)
            continue;
        logChange(LogLevel::Info, "stream versions changed",
            { { "service", service }, { "versions", describe(phases) },
                { "previous", before == former.end() ? "" : describe(before->second) } });
        const bool wasMixed = before != former.end() && before->second.size() > 1;
        if (phases.size() > 1 && !wasMixed && this->onMixed)
            this->onMixed(service);
    }
    const auto now = Clock::now();
    const auto opening = std::exchange(this->settledFrom, {});
    const auto closed = std::exchange(this->closedSince, {});
    for (const auto& [service, phases] : this->versions) {
        const auto before = former.find(service);
        for (const auto& [version, phase] : phases) {
            const std::pair name { service, version };
            if (before == former.end() || !before->second.contains(version))
                this->lastRegistered[name] = now;
            if (phase == VersionPhase::Opening) {
                const auto from = opening.find(name);
                this->settledFrom[name] = from == opening.end() ? now + this->timings.openDelay : from->second;
            } else if (phase == VersionPhase::Closed) {
                const auto since = closed.find(name);
                this->closedSince[name] = since == closed.end() ? now : since->second;
            }
        }
    }
}

}
