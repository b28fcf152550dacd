#include "directory/DirectorySync.h"

#include "observe/Log.h"

#include <QRandomGenerator>
#include <algorithm>
#include <limits>
#include <utility>

namespace dragonfly::directory {

using observe::logChange;
using observe::LogLevel;

namespace {

    /// Longest answer time of a read or check.
    constexpr std::chrono::milliseconds callTime { 1000 };
    /// How long one watch waits. A watch that has gone silent unnoticed hides changes for about this time.
    constexpr std::chrono::milliseconds watchTime { 4000 };
    /// Added to the former before a watch counts as lost.
    constexpr std::chrono::milliseconds watchSlack { 700 };
    /// Between the starts of two watches: changes in quick succession come in one answer, and are known soon enough.
    constexpr std::chrono::milliseconds watchPause { 300 };
    /// Between two checks that the configuration is still the newest. Peers that learn of proofs from here turn to
    /// others after a bit more than that.
    constexpr std::chrono::milliseconds proofPeriod { 1000 };
    /// The next check after one that failed.
    constexpr std::chrono::milliseconds proofRetry { 400 };
    /// Pauses after failed calls grow from the first to the last of these, with full jitter.
    constexpr std::chrono::milliseconds firstPause { 100 };
    constexpr std::chrono::milliseconds longestPause { 800 };
    constexpr int mostDoublings = 3;
    /// Targets whose records lapsed in an outage register again within this time; the platform promises two seconds.
    constexpr std::chrono::milliseconds lapseGrace { 2200 };

    std::chrono::milliseconds jitter(std::chrono::milliseconds bound)
    {
        return std::chrono::milliseconds(QRandomGenerator::global()->bounded(static_cast<int>(bound.count()) + 1));
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
    this->proofTimer.setSingleShot(true);
    connect(&this->retryTimer, &QTimer::timeout, this, &DirectorySync::readRefusedPages);
    this->watchTimer.setSingleShot(true);
    connect(&this->watchTimer, &QTimer::timeout, this, &DirectorySync::watch);
    this->absenceTimer.setSingleShot(true);
    connect(&this->absenceTimer, &QTimer::timeout, this, &DirectorySync::removeAbsent);
    connect(&this->proofTimer, &QTimer::timeout, this, &DirectorySync::checkProof);
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
    ++this->readNumber;
    this->readRevision = std::numeric_limits<int64_t>::max();
    this->readDeployment.reset();
    this->listed.clear();
    this->refusedPages.clear();
    std::vector<Section> sections { Section::Targets, Section::Weights, Section::Deployment };
    if (!this->followedPrefix.empty())
        sections.push_back(Section::Followed);
    this->sectionsLeft = sections.size();
    for (const auto section : sections)
        this->readPage({ section, {} });
}

void DirectorySync::readRefusedPages()
{
    for (const auto& place : std::exchange(this->refusedPages, {}))
        this->readPage(place);
}

void DirectorySync::readPage(const PagePlace& place)
{
    const auto askedAt = BootClock::now();
    this->records.readPage(this->prefixOf(place.section), place.after, Clock::now() + callTime,
        [this, place, askedAt, number = this->readNumber](const store::PageResult& result) {
            if (number == this->readNumber)
                this->onPage(place, askedAt, result);
        });
}

void DirectorySync::onPage(const PagePlace& place, BootClock::time_point askedAt, const store::PageResult& result)
{
    const auto* page = std::get_if<store::Page>(&result);
    this->noteCall(page);
    if (!page) {
        this->refusedPages.push_back(place);
        if (!this->retryTimer.isActive())
            this->retryTimer.start(this->pauseAfterFailure());
        return;
    }
    this->readRevision = std::min(this->readRevision, page->revision);
    for (const auto& pair : page->pairs) {
        this->listed.insert(pair.key);
        if (place.section == Section::Deployment) {
            this->history.note({ pair, false });
            this->readDeployment.emplace(pair, askedAt);
        } else
            this->take({ pair, false }, this->currentAt);
    }
    if (page->hasMore && !page->pairs.empty())
        this->readPage({ place.section, page->pairs.back().key });
    else if (!--this->sectionsLeft)
        this->finishReading();
}

void DirectorySync::finishReading()
{
    if (this->readDeployment)
        this->takeDeployment(this->readDeployment->first, this->readDeployment->second);
    std::vector<std::string> gone;
    for (const auto& [key, revision] : this->targetRevisions) {
        // What was written after the read began may be missing from its pages.
        if (!this->listed.contains(key) && revision <= this->readRevision)
            gone.push_back(key);
    }
    for (const auto& key : gone)
        this->takeTarget({ { key, {}, this->readRevision }, true });
    for (const auto& key : std::set(this->followed)) {
        if (!this->listed.contains(key))
            this->takeFollowed({ key, {}, this->readRevision }, false);
    }
    this->history.finishWholeRead(this->listed, this->readRevision);
    if (this->onWholeRead)
        this->onWholeRead();
    this->watchedRevision = this->readRevision;
    this->currentAt = Clock::now();
    this->noteProgress();
    this->watch();
    this->scheduleProof();
}

void DirectorySync::watch()
{
    const auto now = Clock::now();
    const auto until = now + watchTime;
    this->nextWatchAt = now + watchPause;
    this->records.watch("", this->watchedRevision, until, until + watchSlack,
        [this](const store::WatchResult& result) { this->onWatch(result); });
}

void DirectorySync::onWatch(const store::WatchResult& result)
{
    if (std::holds_alternative<store::HistoryGone>(result)) {
        this->noteCall(true);
        logChange(LogLevel::Info, "reading the platform's records anew", { { "reason", "their history is gone" } });
        this->readAll();
        return;
    }
    const auto* changes = std::get_if<store::Changes>(&result);
    this->noteCall(changes);
    if (!changes) {
        // It goes on behind the last known revision; if that history is gone, the service says so.
        this->watchTimer.start(this->pauseAfterFailure());
        return;
    }
    for (const auto& change : changes->changes)
        this->take(change, this->currentAt);
    this->currentAt = Clock::now();
    this->watchedRevision = std::max(this->watchedRevision, changes->revision);
    this->history.advance(this->watchedRevision);
    if (!changes->changes.empty())
        this->noteProgress();
    this->watchAgain();
}

void DirectorySync::watchAgain()
{
    const auto now = Clock::now();
    if (now >= this->nextWatchAt)
        this->watch();
    else
        this->watchTimer.start(remaining(this->nextWatchAt, now));
}

void DirectorySync::noteProgress()
{
    if (this->onProgress)
        this->onProgress();
}

std::chrono::milliseconds DirectorySync::pauseAfterFailure() const
{
    const auto bound = std::min(longestPause, firstPause * (1 << std::min(this->failures, mostDoublings)));
    return this->failures > 1 ? bound / 2 + jitter(bound / 2) : jitter(bound);
}

void DirectorySync::scheduleProof()
{
    if (!this->proofTimer.isActive())
        this->proofTimer.start(proofPeriod);
}

void DirectorySync::checkProof()
{
    if (!this->deploymentRevision) {
        this->scheduleProof();
        return;
    }
    const auto askedAt = BootClock::now();
    this->records.checkRevision(this->decoder.deploymentKey(), this->deploymentRevision, Clock::now() + callTime,
        [this, askedAt](const store::CheckResult& result) { this->onChecked(result, askedAt); });
}

void DirectorySync::onChecked(const store::CheckResult& result, BootClock::time_point askedAt)
{
    const bool answered = !std::holds_alternative<store::StoreFailure>(result);
    this->noteCall(answered);
    if (const auto* conflict = std::get_if<store::Conflict>(&result)) {
        this->history.note({ conflict->current, false });
        this->takeDeployment(conflict->current, askedAt);
    } else if (const auto* unchanged = std::get_if<store::Unchanged>(&result))
        this->directory.freshness.prove(askedAt - unchanged->age);
    this->proofTimer.start(answered ? proofPeriod : proofRetry + jitter(proofRetry));
}

void DirectorySync::take(const store::Change& change, Clock::time_point changedAt)
{
    const auto& key = change.pair.key;
    this->history.note(change);
    if (key == this->decoder.deploymentKey()) {
        if (!change.isRemoval)
            this->takeDeployment(change.pair, {});
    } else if (key.starts_with(this->decoder.registrationPrefix())) {
        this->takeTarget(change);
    } else if (key.starts_with(this->decoder.weightsPrefix())) {
        if (!change.isRemoval)
            this->takeWeights(change.pair, changedAt);
    } else if (!this->followedPrefix.empty() && key.starts_with(this->followedPrefix)) {
        this->takeFollowed(change.pair, !change.isRemoval);
    }
}

/// @param readAt before the linearizable read that gave the record; the epoch when a watch told of it
void DirectorySync::takeDeployment(const store::KeyValue& pair, BootClock::time_point readAt)
{
    if (pair.key != this->decoder.deploymentKey())
        return;
    const bool isRead = readAt != BootClock::time_point {};
    if (pair.modRevision > this->deploymentRevision) {
        auto decoded = this->decoder.decodeDeployment(pair.value);
        if (const auto* error = errorOf(decoded)) {
            logChange(LogLevel::Error, "configuration refused",
                { { "revision", std::to_string(pair.modRevision) }, { "reason", error->detail } });
            this->directory.freshness.disprove();
            return;
        }
        this->deploymentRevision = pair.modRevision;
        this->directory.apply(std::move(std::get<Deployment>(decoded)));
        this->metrics.configApplied.Increment();
        this->metrics.configRevision.Set(static_cast<double>(this->directory.routes()->version()));
    }
    if (isRead && pair.modRevision == this->deploymentRevision)
        this->directory.freshness.prove(readAt);
}

void DirectorySync::takeTarget(const store::Change& change)
{
    const auto& key = change.pair.key;
    const auto known = this->targetRevisions.find(key);
    if (known != this->targetRevisions.end() && change.pair.modRevision < known->second)
        return;
    const auto id = key.substr(this->decoder.registrationPrefix().size());
    if (change.isRemoval) {
        const auto now = Clock::now();
        if (now < this->absenceDeadline) {
            this->absent.insert(key);
            this->absenceTimer.start(remaining(this->absenceDeadline, now));
            return;
        }
        this->targetRevisions.erase(key);
        this->directory.removeTarget(id);
        return;
    }
    this->absent.erase(key);
    const bool isNew = known == this->targetRevisions.end() || change.pair.modRevision > known->second;
    this->targetRevisions[key] = change.pair.modRevision;
    auto decoded = this->decoder.decodeRegistration(key, change.pair.value);
    if (const auto* error = errorOf(decoded)) {
        // The record names no target to use; one that it named before is not known to be there any more.
        if (isNew)
            logChange(LogLevel::Warning, "target record refused", { { "key", key }, { "reason", error->detail } });
        this->directory.removeTarget(id);
        return;
    }
    this->directory.registerTarget(std::move(std::get<Registration>(decoded)));
}

void DirectorySync::takeFollowed(const store::KeyValue& record, bool exists)
{
    if (exists)
        this->followed.insert(record.key);
    else
        this->followed.erase(record.key);
    if (this->onFollowed)
        this->onFollowed(record, exists);
}

void DirectorySync::takeWeights(const store::KeyValue& pair, Clock::time_point namedAt)
{
    const auto decoded = this->decoder.decodeWeights(pair.key, pair.value);
    if (const auto* error = errorOf(decoded))
        logChange(LogLevel::Error, "named weights refused", { { "key", pair.key }, { "reason", error->detail } });
    else
        this->directory.nameWeights(std::get<NamedWeights>(decoded), namedAt);
}

void DirectorySync::removeAbsent()
{
    for (const auto& key : std::exchange(this->absent, {})) {
        this->targetRevisions.erase(key);
        this->directory.removeTarget(key.substr(this->decoder.registrationPrefix().size()));
    }
}

void DirectorySync::noteCall(bool succeeded)
{
    this->failures = succeeded ? 0 : this->failures + 1;
    if (!succeeded)
        this->metrics.platformFailures.Increment();
    if (succeeded == this->reachable)
        return;
    this->reachable = succeeded;
    const bool isRegained = succeeded && this->currentAt != Clock::time_point();
    if (isRegained)
        this->absenceDeadline = Clock::now() + lapseGrace;
    logChange(succeeded ? LogLevel::Info : LogLevel::Warning,
        succeeded ? "the platform's records are followed" : "the platform's records are out of reach");
    this->noteProgress();
}

}
