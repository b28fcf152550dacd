#include "directory/DirectorySync.h"

#include "observe/Log.h"

#include <QRandomGenerator>
#include <algorithm>
#include <limits>
#include <utility>

namespace dragonfly::directory {

using observe::logChange;
using observe::LogLevel;
using observe::logRefusedRecord;

namespace {

    /// Timeout of a read or a revision check.
    constexpr std::chrono::milliseconds callTimeout { 1000 };
    /// Changes are missed for up to about this time when a watch stops receiving without an error. It also bounds by
    /// how much the time of a replacement of weights is underestimated.
    constexpr std::chrono::milliseconds maxWatchDuration { 2000 };
    /// Added to maxWatchDuration for the timeout of the call, which then counts as failed.
    constexpr std::chrono::milliseconds watchTimeoutMargin { 700 };
    /// Minimum interval between the starts of two watches: one answer collects changes in quick succession, at an
    /// acceptable delay.
    constexpr std::chrono::milliseconds minWatchInterval { 300 };
    /// Interval of the checks that the configuration is still the newest. Peers that receive freshness proofs through
    /// this instance switch to another source when none arrives for slightly longer.
    constexpr std::chrono::milliseconds revisionCheckInterval { 1000 };
    /// Minimum delay after a failed check; jitter adds up to as much again.
    constexpr std::chrono::milliseconds revisionCheckRetryDelay { 400 };
    /// The backoff after failed calls doubles with each consecutive failure up to the maximum, with jitter.
    constexpr std::chrono::milliseconds initialBackoff { 100 };
    constexpr std::chrono::milliseconds maxBackoff { 800 };
    constexpr int maxDoublings = 3;
    /// Targets whose registrations expired during an outage register again within this time; the platform guarantees
    /// two seconds.
    constexpr std::chrono::milliseconds registrationGracePeriod { 2200 };

    /// An instance whose records are older follows nothing: a change to another source takes less time.
    constexpr std::chrono::seconds maxFollowedAge { 10 };

    /// How long removed targets are remembered. A copy to which the store returns is some seconds old.
    constexpr std::chrono::minutes removedTargetRetention { 10 };
    /// Between two looks for those that need not be remembered any longer, so that many removals at once cost no look
    /// each.
    constexpr std::chrono::minutes forgetInterval { 1 };

    std::chrono::milliseconds jitter(std::chrono::milliseconds bound)
    {
        return std::chrono::milliseconds(QRandomGenerator::global()->bounded(static_cast<int>(bound.count()) + 1));
    }

    std::string listOf(const std::vector<std::string>& names)
    {
        constexpr size_t maxListed = 8;
        std::string text;
        for (size_t i = 0; i < std::min(names.size(), maxListed); ++i)
            text += (text.empty() ? "" : ", ") + names[i];
        return names.size() > maxListed ? text + ", ..." : text;
    }

}

DirectorySync::DirectorySync(
    store::RecordSource& records, const RecordDecoder& decoder, Directory& directory, observe::Metrics& metrics)
    : records(records)
    , decoder(decoder)
    , directory(directory)
    , metrics(metrics)
{
    this->retryTimer.setSingleShot(true);
    this->revisionCheckTimer.setSingleShot(true);
    connect(&this->retryTimer, &QTimer::timeout, this, &DirectorySync::retryFailedPages);
    this->watchTimer.setSingleShot(true);
    connect(&this->watchTimer, &QTimer::timeout, this, &DirectorySync::watch);
    this->gracePeriodTimer.setSingleShot(true);
    connect(&this->gracePeriodTimer, &QTimer::timeout, this, &DirectorySync::removeAbsentTargets);
    connect(&this->revisionCheckTimer, &QTimer::timeout, this, &DirectorySync::sendRevisionCheck);
}

void DirectorySync::start()
{
    this->readAll();
}

std::string DirectorySync::prefixOf(Section section) const
{
    switch (section) {
    case Section::Deployment:
        return this->decoder.deploymentKey();
    case Section::Targets:
        return this->decoder.registrationPrefix();
    case Section::Weights:
        return this->decoder.weightsPrefix();
    case Section::Followed:
        break;
    }
    return this->followedPrefix;
}

void DirectorySync::readAll()
{
    ++this->readId;
    ++this->watchId;
    this->watchTimer.stop();
    this->readRevision = std::numeric_limits<int64_t>::max();
    this->readDeployment.reset();
    this->listed.clear();
    this->failedPages.clear();
    std::vector<Section> sections { Section::Targets, Section::Weights, Section::Deployment };
    if (!this->followedPrefix.empty())
        sections.push_back(Section::Followed);
    this->pendingSections = sections.size();
    for (const auto section : sections)
        this->readPage({ section, {} });
}

void DirectorySync::retryFailedPages()
{
    for (const auto& position : std::exchange(this->failedPages, {}))
        this->readPage(position);
}

void DirectorySync::readPage(const PagePosition& position)
{
    const auto queriedAt = BootClock::now();
    this->records.readPage(this->prefixOf(position.section), position.after, Clock::now() + callTimeout,
        [this, position, queriedAt, id = this->readId](const store::PageResult& result) {
            if (id == this->readId)
                this->onPage(position, queriedAt, result);
        });
}

void DirectorySync::onPage(
    const PagePosition& position, BootClock::time_point queriedAt, const store::PageResult& result)
{
    const auto* page = std::get_if<store::Page>(&result);
    const bool isUsable = page && !this->isOutdated(page->revision);
    this->recordCall(isUsable);
    if (!isUsable) {
        this->failedPages.push_back(position);
        if (!this->retryTimer.isActive())
            this->retryTimer.start(this->backoff());
        return;
    }
    if (store::eraOf(page->revision) > this->era) {
        const bool isFirstPage = this->readRevision == std::numeric_limits<int64_t>::max();
        this->enterEra(store::eraOf(page->revision));
        if (!isFirstPage) {
            this->readAll(); // the pages before are of an earlier era
            return;
        }
    }
    this->readRevision = std::min(this->readRevision, page->revision);
    this->revisionTimes.observe(page->revision, queriedAt);
    for (const auto& pair : page->pairs) {
        this->listed.insert(pair.key);
        if (pair.key == this->decoder.deploymentKey()) {
            this->history.record({ pair, false });
            this->readDeployment.emplace(pair, queriedAt);
        } else
            this->applyChange({ pair, false });
    }
    if (page->hasMore && !page->pairs.empty())
        this->readPage({ position.section, page->pairs.back().key });
    else if (!--this->pendingSections)
        this->completeRead();
}

void DirectorySync::completeRead()
{
    if (this->readDeployment)
        this->applyDeployment(this->readDeployment->first, this->readDeployment->second);
    std::vector<std::string> removed;
    for (const auto& [key, known] : this->targetRecords) {
        // A record written after the read began may be missing from its pages.
        if (!this->listed.contains(key) && known.revision <= this->readRevision)
            removed.push_back(key);
    }
    for (const auto& key : removed)
        this->applyTarget({ { key, {}, this->readRevision }, true });
    const bool isAfterReturn = std::exchange(this->isReadingAfterReturn, false);
    for (const auto& [key, known] : std::map(this->followed)) {
        if (this->listed.contains(key))
            continue;
        if (isAfterReturn && this->onFollowedRecordLost) {
            this->followed.erase(key);
            this->onFollowedRecordLost(key);
        } else {
            this->applyFollowed({ key, {}, this->readRevision }, false);
        }
    }
    this->history.completeWholeRead(this->listed, this->readRevision);
    if (this->onWholeRead)
        this->onWholeRead();
    this->watchedRevision = this->readRevision;
    this->notifyProgress();
    this->watch();
    this->scheduleRevisionCheck();
}

void DirectorySync::watch()
{
    const auto now = Clock::now();
    const auto until = now + maxWatchDuration;
    this->nextWatchAt = now + minWatchInterval;
    this->records.watch("", this->watchedRevision, until, until + watchTimeoutMargin,
        [this, id = ++this->watchId](const store::WatchResult& result) {
            if (id == this->watchId)
                this->onWatchResult(result);
        });
}

void DirectorySync::onWatchResult(const store::WatchResult& result)
{
    if (std::holds_alternative<store::HistoryGone>(result)) {
        this->recordCall(true);
        logChange(LogLevel::Info, "reading all platform records again",
            { { "reason", "change history is no longer available" } });
        this->readAll();
        return;
    }
    const auto* changes = std::get_if<store::Changes>(&result);
    const bool isUsable = changes && !this->isOutdated(changes->revision);
    this->recordCall(isUsable);
    if (!isUsable) {
        // The next watch continues after the last known revision, or gets HistoryGone if that is no longer possible.
        this->watchTimer.start(this->backoff());
        return;
    }
    if (store::eraOf(changes->revision) > this->era) {
        this->enterEra(store::eraOf(changes->revision));
        this->readAll();
        return;
    }
    for (const auto& change : changes->changes)
        this->applyChange(change);
    this->revisionTimes.observe(changes->revision, changes->asOf);
    this->watchedRevision = std::max(this->watchedRevision, changes->revision);
    this->history.advance(this->watchedRevision);
    if (!changes->changes.empty())
        this->notifyProgress();
    this->scheduleWatch();
}

void DirectorySync::scheduleWatch()
{
    const auto now = Clock::now();
    if (now >= this->nextWatchAt)
        this->watch();
    else
        this->watchTimer.start(remaining(this->nextWatchAt, now));
}

void DirectorySync::notifyProgress()
{
    if (this->onProgress)
        this->onProgress();
}

std::chrono::milliseconds DirectorySync::backoff() const
{
    const auto bound = std::min(maxBackoff, initialBackoff * (1 << std::min(this->failures, maxDoublings)));
    return this->failures > 1 ? bound / 2 + jitter(bound / 2) : jitter(bound);
}

void DirectorySync::scheduleRevisionCheck()
{
    if (!this->revisionCheckTimer.isActive())
        this->revisionCheckTimer.start(revisionCheckInterval);
}

void DirectorySync::checkRevisionNow()
{
    // The timer is stopped while a check is in progress.
    if (this->revisionCheckTimer.isActive())
        this->revisionCheckTimer.start(0);
}

/// Reports how long ago all changes of the records were known.
void DirectorySync::reportRecordsAge()
{
    const auto asOf = this->changesAsOf();
    if (asOf == BootClock::time_point())
        return;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - asOf);
    this->metrics.recordsAgeSeconds.Set(std::chrono::duration<double>(age).count());
    if (this->isFollowing == (age <= maxFollowedAge))
        return;
    this->isFollowing = !this->isFollowing;
    logChange(this->isFollowing ? LogLevel::Info : LogLevel::Error,
        this->isFollowing ? "platform records followed again" : "platform records not followed",
        { { "age_ms", std::to_string(age.count()) },
            { "revision", std::to_string(store::revisionWithinEra(this->watchedRevision)) },
            { "failed_calls", std::to_string(this->failures) } });
}

void DirectorySync::sendRevisionCheck()
{
    this->reportRecordsAge();
    if (!this->deploymentRevision) {
        this->scheduleRevisionCheck();
        return;
    }
    const auto queriedAt = BootClock::now();
    this->records.checkRevision(this->decoder.deploymentKey(), this->deploymentRevision, Clock::now() + callTimeout,
        [this, queriedAt, expected = this->deploymentRevision](
            const store::CheckResult& result) { this->onRevisionChecked(result, expected, queriedAt); });
}

void DirectorySync::onRevisionChecked(
    const store::CheckResult& result, int64_t expected, BootClock::time_point queriedAt)
{
    const bool answered = !std::holds_alternative<store::StoreFailure>(result);
    this->recordCall(answered);
    const auto* conflict = std::get_if<store::Conflict>(&result);
    const bool isNewEra = conflict && store::eraOf(conflict->current.modRevision) > this->era;
    if (isNewEra || std::holds_alternative<store::HistoryGone>(result)) {
        if (isNewEra)
            this->enterEra(store::eraOf(conflict->current.modRevision));
        if (isNewEra || !this->pendingSections)
            this->readAll();
    } else if (conflict) {
        this->history.record({ conflict->current, false });
        this->applyDeployment(conflict->current, queriedAt);
    } else if (const auto* unchanged = std::get_if<store::Unchanged>(&result);
               unchanged && expected == this->revisionInForce()) {
        this->directory.freshness.prove(queriedAt - unchanged->age);
    }
    this->revisionCheckTimer.start(
        answered ? revisionCheckInterval : revisionCheckRetryDelay + jitter(revisionCheckRetryDelay));
}

DirectorySync::RecordVersion DirectorySync::versionOf(const store::KeyValue& pair)
{
    return { pair.modRevision, fastHash(pair.value) };
}

bool DirectorySync::RecordVersion::isSameWriteInCopy(const RecordVersion& returned) const
{
    return store::eraOf(returned.revision) > store::eraOf(this->revision)
        && store::revisionWithinEra(returned.revision) == store::revisionWithinEra(this->revision)
        && returned.valueHash == this->valueHash;
}

/// Whether an answer was composed before the platform's store last returned from an older copy.
bool DirectorySync::isOutdated(int64_t revision) const
{
    return store::eraOf(revision) < this->era;
}

void DirectorySync::enterEra(int64_t newEra)
{
    const auto former = std::exchange(this->era, newEra);
    if (!former && !this->watchedRevision)
        return; // nothing was known before
    logChange(LogLevel::Warning, "the platform's store has returned from an older copy",
        { { "era", std::to_string(newEra) }, { "former_era", std::to_string(former) },
            { "known_revision", std::to_string(store::revisionWithinEra(this->watchedRevision)) } });
    this->isReadingAfterReturn = true;
    this->gracePeriodEnd = Clock::now() + registrationGracePeriod;
    if (this->onStoreReturned)
        this->onStoreReturned();
}

void DirectorySync::applyChange(const store::Change& change)
{
    const auto& key = change.pair.key;
    this->history.record(change);
    if (key == this->decoder.deploymentKey()) {
        if (!change.isRemoval)
            this->applyDeployment(change.pair, {});
    } else if (key.starts_with(this->decoder.registrationPrefix())) {
        this->applyTarget(change);
    } else if (key.starts_with(this->decoder.weightsPrefix())) {
        if (!change.isRemoval)
            this->applyWeights(change.pair);
    } else if (!this->followedPrefix.empty() && key.starts_with(this->followedPrefix)) {
        this->applyFollowed(change.pair, !change.isRemoval);
    }
}

/// @param readAt a moment before the linearizable read that returned the record; the epoch if a watch returned it
void DirectorySync::applyDeployment(const store::KeyValue& pair, BootClock::time_point readAt)
{
    if (pair.key != this->decoder.deploymentKey())
        return;
    const bool isFromRead = readAt != BootClock::time_point {};
    if (pair.modRevision > this->deploymentRevision) {
        auto decoded = this->decoder.decodeDeployment(pair.value);
        if (const auto* error = errorOf(decoded)) {
            logChange(LogLevel::Error, "invalid configuration refused",
                { { "revision", std::to_string(pair.modRevision) }, { "reason", error->detail } });
            this->metrics.recordsRefused.Increment();
            this->directory.freshness.invalidate();
            return;
        }
        this->deploymentRevision = pair.modRevision;
        const auto version = std::get<Deployment>(decoded).version;
        if (const auto& replaced = std::get<Deployment>(decoded).replacedNumbers; !replaced.empty())
            logChange(LogLevel::Error, "numbers of the configuration replaced",
                { { "version", std::to_string(version) }, { "count", std::to_string(replaced.size()) },
                    { "fields", listOf(replaced) } });
        if (this->directory.apply(std::move(std::get<Deployment>(decoded))))
            this->metrics.configApplied.Increment();
        const auto inForce = this->directory.routes()->version();
        this->metrics.configRevision.Set(static_cast<double>(inForce));
        this->isRecordInForce = version == inForce;
        if (!this->isRecordInForce)
            logChange(LogLevel::Warning, "configuration record left out",
                { { "reason", "a newer version is in force" }, { "version", std::to_string(version) },
                    { "version_in_force", std::to_string(inForce) } });
    } else if (pair.modRevision < this->deploymentRevision) {
        logChange(LogLevel::Warning, "configuration record left out",
            { { "reason", "a later record is known" }, { "revision", std::to_string(pair.modRevision) },
                { "known_revision", std::to_string(this->deploymentRevision) } });
    }
    if (isFromRead && this->isRecordInForce && pair.modRevision == this->deploymentRevision)
        this->directory.freshness.prove(readAt);
}

void DirectorySync::applyTarget(const store::Change& change)
{
    const auto& key = change.pair.key;
    const auto known = this->targetRecords.find(key);
    if (known != this->targetRecords.end() && change.pair.modRevision < known->second.revision)
        return;
    const auto id = key.substr(this->decoder.registrationPrefix().size());
    if (change.isRemoval) {
        const auto now = Clock::now();
        const auto deadline = this->gracePeriodDeadline();
        if (now < deadline) {
            this->absentTargets.emplace(key, deadline);
            // Deadlines only grow, so a running timer is not late.
            if (!this->gracePeriodTimer.isActive())
                this->scheduleAbsentTargetRemoval();
            return;
        }
        this->forgetTarget(key);
        return;
    }
    const auto version = versionOf(change.pair);
    if (const auto removed = this->removedTargets.find(key); removed != this->removedTargets.end()) {
        if (removed->second.last.isSameWriteInCopy(version)) {
            logChange(LogLevel::Info, "older target record left out",
                { { "key", key }, { "reason", "the record was removed before the store returned" } });
            return;
        }
        this->removedTargets.erase(removed);
    }
    this->absentTargets.erase(key);
    const bool isNew = known == this->targetRecords.end() || change.pair.modRevision > known->second.revision;
    const bool isChanged = known == this->targetRecords.end() || version.valueHash != known->second.valueHash;
    this->targetRecords[key] = version;
    auto decoded = this->decoder.decodeRegistration(key, change.pair.value);
    if (const auto* error = errorOf(decoded)) {
        // The state of a target registered under this key before is no longer known, so it is removed.
        if (isChanged) {
            this->metrics.recordsRefused.Increment();
            logRefusedRecord(
                LogLevel::Warning, "invalid target record refused", { { "key", key }, { "reason", error->detail } });
        }
        this->directory.removeTarget(id);
        return;
    }
    auto& registration = std::get<Registration>(decoded);
    if (this->isOlderTargetRecord(registration)) {
        if (isNew)
            logChange(LogLevel::Info, "older target record left out",
                { { "key", key }, { "reason", "a later record of the process is known" } });
        return;
    }
    this->directory.registerTarget(std::move(registration));
}

bool DirectorySync::isOlderTargetRecord(const Registration& registration) const
{
    const auto found = this->directory.targets().find(registration.id);
    if (found == this->directory.targets().end())
        return false;
    const auto& known = found->second->registration;
    return known.startedUnixMs == registration.startedUnixMs && registration.sequence
        && registration.sequence < known.sequence;
}

/// Removes the target whose record under @p key is gone.
void DirectorySync::forgetTarget(const std::string& key)
{
    const auto now = Clock::now();
    if (now >= this->nextForgetAt) {
        std::erase_if(this->removedTargets, [now](const auto& each) { return each.second.rememberedUntil <= now; });
        this->nextForgetAt = now + forgetInterval;
    }
    if (const auto known = this->targetRecords.find(key); known != this->targetRecords.end()) {
        this->removedTargets[key] = { known->second, now + removedTargetRetention };
        this->targetRecords.erase(known);
    }
    this->directory.removeTarget(key.substr(this->decoder.registrationPrefix().size()));
}

void DirectorySync::applyFollowed(const store::KeyValue& record, bool exists)
{
    if (!exists) {
        this->followed.erase(record.key);
    } else {
        auto& known = this->followed[record.key];
        const auto version = versionOf(record);
        if (known.isSameWriteInCopy(version))
            return;
        known = version;
    }
    if (this->onFollowedRecord)
        this->onFollowedRecord(record, exists);
}

void DirectorySync::applyWeights(const store::KeyValue& pair)
{
    const auto decoded = this->decoder.decodeWeights(pair.key, pair.value);
    if (const auto* error = errorOf(decoded)) {
        this->metrics.recordsRefused.Increment();
        logRefusedRecord(
            LogLevel::Error, "invalid weights record refused", { { "key", pair.key }, { "reason", error->detail } });
        return;
    }
    // A read of all records returns only the last of several versions, and the first of them replaced the weights.
    // So not the record's own revision counts, but the first that was not known yet.
    this->directory.setWantedWeights(
        std::get<WantedWeights>(decoded), this->revisionTimes.lowerBound(this->watchedRevision + 1));
}

/// Until then, targets keep their place although their registrations are missing.
Deadline DirectorySync::gracePeriodDeadline() const
{
    const auto bridged = this->records.lastOutageEnd();
    const bool isOutage = bridged != Clock::time_point();
    return std::max(this->gracePeriodEnd, isOutage ? bridged + registrationGracePeriod : Deadline());
}

void DirectorySync::removeAbsentTargets()
{
    const auto now = Clock::now();
    std::erase_if(this->absentTargets, [this, now](const auto& absent) {
        const auto& [key, deadline] = absent;
        if (deadline > now)
            return false;
        this->forgetTarget(key);
        return true;
    });
    this->scheduleAbsentTargetRemoval();
}

void DirectorySync::scheduleAbsentTargetRemoval()
{
    if (this->absentTargets.empty())
        return;
    const auto next = std::min_element(this->absentTargets.begin(), this->absentTargets.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    this->gracePeriodTimer.start(remaining(next->second, Clock::now()));
}

void DirectorySync::recordCall(bool succeeded)
{
    this->failures = succeeded ? 0 : this->failures + 1;
    if (!succeeded)
        this->metrics.platformFailures.Increment();
    if (succeeded == this->reachable)
        return;
    this->reachable = succeeded;
    const bool isRecovered = succeeded && this->watchedRevision;
    if (isRecovered)
        this->gracePeriodEnd = Clock::now() + registrationGracePeriod;
    logChange(succeeded ? LogLevel::Info : LogLevel::Warning,
        succeeded ? "platform records available" : "platform records unavailable");
    this->notifyProgress();
}

}
