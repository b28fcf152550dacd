#include "quarantine/PromptQuarantine.h"

#include "base/Digest.h"
#include "observe/Log.h"
#include "quarantine/TargetEndRecord.h"

#include <QRandomGenerator>
#include <algorithm>
#include <charconv>

namespace dragonfly::quarantine {

using observe::logChange;
using observe::LogLevel;
using std::chrono::milliseconds;

namespace {

    /// From the first attempt that broke to the report; the closes of all connections to an ended target arrive within
    /// a few milliseconds, but a busy instance takes longer to handle them.
    constexpr milliseconds gatherTime { 60 };
    /// How long open attempts at the target delay the report: a target that ended has none after that.
    constexpr milliseconds maxGatherTime { 600 };
    /// The platform removes the registration of a target that ended after three of its heartbeats, 1.2 s apart on the
    /// sites known; a target that is registered for this long after its reported end goes on.
    constexpr milliseconds registrationTimeout { 10000 };
    /// Limit on the requests in one report, about 40 bytes each. An engine begins 10 to 20 within the begin window.
    constexpr size_t maxReportedRequests = 32;
    /// Limit on the answered parts in one report, 8 bytes each.
    constexpr size_t maxReportedParts = 1024;
    /// Reports are kept long, because requests with the part reach targets again once they have expired.
    constexpr std::chrono::seconds reportTtl { 3600 };
    /// A proof outlives the reports that it clears, also when it is written late under its lease.
    constexpr std::chrono::seconds soundTtl { 2 * reportTtl };
    /// Ends without a published proof from which on a proof is published. Fewer quarantine nothing.
    constexpr size_t endsWorthAProof = minEnds - 1;
    /// Random delay of a proof, in which that of another instance mostly arrives.
    constexpr int maxProofDelayMs = 400;
    /// Between two trials of a part at one instance: the answer or the end of the first one is known by then.
    constexpr milliseconds trialInterval { 2000 };
    /// Instances try a part after a delay by their name, so that few do before the result of the first is known, half a
    /// second later. Those that reported the part are few and come first.
    constexpr uint64_t reporterTrialSlots = 8;
    constexpr uint64_t trialSlots = 32;
    constexpr milliseconds trialSlotTime { 250 };
    /// Processes that try a quarantined request, each once. The users allow three repetitions after the quarantine.
    constexpr size_t requestTriers = 2;
    /// From the first refusal of a quarantined request to its trial by the first of them, and from that to the trial by
    /// the second: ended engines return within some seconds, and the result of the first trial is known.
    constexpr milliseconds requestTrialDelay { 2000 };
    /// Between two decisions, each 0.9 ms after 64 ends, so that a burst of records and proofs takes 1.8 % of a core.
    constexpr milliseconds updateDelay { 50 };

    std::optional<PartHash> parsePart(std::string_view text)
    {
        constexpr int hexadecimal = 16;
        PartHash part = 0;
        const auto* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, part, hexadecimal);
        return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(part) : std::nullopt;
    }

    /// The parts of one kind that @p requests have.
    std::string listParts(const std::vector<BeginningRequest>& requests, bool ofRequests)
    {
        const size_t maxListed = ofRequests ? maxReportedRequests : 8;
        std::set<PartHash> parts;
        for (const auto& request : requests)
            std::ranges::copy_if(request.parts, std::inserter(parts, parts.end()),
                [ofRequests](PartHash part) { return isRequest(part) == ofRequests; });
        std::string text;
        size_t listed = 0;
        for (const auto part : parts) {
            if (listed++ == maxListed)
                return text + ",...";
            text += (text.empty() ? "" : ",") + quarantine::toText(part);
        }
        return text;
    }

    void logRelease(PartHash part, size_t endsAgainst, bool isProved)
    {
        const bool ofRequest = isRequest(part);
        std::string reason = "the evidence expired";
        if (endsAgainst >= minEnds)
            reason = "another part explains the ends";
        else if (isProved)
            reason = ofRequest ? "a repetition was answered" : "a prompt with it was answered";
        logChange(LogLevel::Info, ofRequest ? "request released" : "prompt part released",
            { { ofRequest ? "own_part" : "part", toText(part) }, { "reason", reason } });
    }

    void insertNew(std::vector<PartHash>& parts, PartHash part)
    {
        if (std::ranges::find(parts, part) == parts.end())
            parts.push_back(part);
    }

}

PartHash hashOfPart(const std::string& model, const std::string& id)
{
    return fastHash(id, fastHash(model)) & ~requestBit;
}

std::string toText(PartHash part)
{
    return QString::number(part, 16).toStdString();
}

std::string describe(PartHash part)
{
    return (isRequest(part) ? "request " : "prompt part ") + toText(part);
}

PromptQuarantine::PromptQuarantine(const std::string& instance, store::WatchableStore& store, observe::Metrics& metrics)
    : instance(instance)
    , metrics(metrics)
    , reportPublisher(store, metrics, PublisherSettings { .leaseTtl = reportTtl })
    , soundPublisher(store, metrics, PublisherSettings { .leaseTtl = soundTtl })
    , reportKeyPrefix(
          std::string(reportPrefix) + instance + "/" + std::to_string(unixTime(WallClock::now()).count()) + "-")
{
    for (auto* timer : { &this->gatherTimer, &this->updateTimer })
        timer->setSingleShot(true);
    connect(&this->gatherTimer, &QTimer::timeout, this, &PromptQuarantine::gatherDue);
    connect(&this->updateTimer, &QTimer::timeout, this, &PromptQuarantine::update);
    this->reportPublisher.onDone
        = [this](const std::string& key, bool isWritten) { this->onRecordDone(key, isWritten); };
    this->soundPublisher.onDone = [this](const std::string& key, bool) {
        if (const auto part = parsePart(std::string_view(key).substr(soundPrefix.size())))
            this->soundInProgress.erase(*part);
    };
}

bool PromptQuarantine::applyRecord(const store::KeyValue& record, bool exists)
{
    if (record.key.starts_with(reportPrefix)) {
        const auto report = exists ? fromRecord(record.value) : std::nullopt;
        if (exists && !report)
            this->refuseRecord("invalid report on an ended target refused", record.key);
        this->lostReports.erase(record.key);
        if (report)
            this->evidence.add(record.key, *report, record.modRevision);
        else
            this->evidence.remove(record.key);
    } else if (record.key.starts_with(soundPrefix)) {
        const auto part = parsePart(std::string_view(record.key).substr(soundPrefix.size()));
        if (!part)
            this->refuseRecord("invalid record on a sound prompt refused", record.key);
        else if (exists)
            this->evidence.recordPublishedSound(*part, record.modRevision);
        else
            this->evidence.removePublishedSound(*part);
    } else {
        return false;
    }
    this->scheduleUpdate();
    return true;
}

void PromptQuarantine::refuseRecord(const char* event, const std::string& key)
{
    this->metrics.recordsRefused.Increment();
    observe::logRefusedRecord(LogLevel::Warning, event, { { "key", key } });
}

void PromptQuarantine::onStoreReturned()
{
    this->reportPublisher.onStoreReturned();
    this->soundPublisher.onStoreReturned();
}

bool PromptQuarantine::onRecordLost(const std::string& key)
{
    if (key.starts_with(reportPrefix)) {
        // The instance that reported the end writes its report again, if it still runs. No lease ends one that is lost.
        this->lostReports.insert(key);
        QTimer::singleShot(reportTtl, this, [this, key] { this->expireLostReport(key); });
        return true;
    }
    if (!key.starts_with(soundPrefix))
        return false;
    // Not written again: a later revision would clear later reports too. The next answer to the part publishes a proof.
    if (const auto part = parsePart(std::string_view(key).substr(soundPrefix.size())))
        this->evidence.recordLostProof(*part);
    this->scheduleUpdate();
    return true;
}

void PromptQuarantine::expireLostReport(const std::string& key)
{
    if (!this->lostReports.erase(key))
        return;
    this->evidence.remove(key);
    this->scheduleUpdate();
}

void PromptQuarantine::publishMissing(const std::function<bool(const std::string& key)>& exists)
{
    for (const auto& [key, report] : this->evidence.reportsUnder(this->reportKeyPrefix)) {
        if (!exists(key))
            this->reportPublisher.write(key, toRecord(report));
    }
}

void PromptQuarantine::onAttemptBroken(const BrokenAttempt& attempt)
{
    if (attempt.parts.empty())
        return;
    const auto now = Clock::now();
    const auto [gathering, isNew] = this->gatherings.try_emplace(attempt.incarnation);
    if (isNew) {
        gathering->second.firstAt = now;
        gathering->second.reportAt = now + gatherTime;
    }
    gathering->second.attempts.push_back(attempt);
    this->scheduleGathering();
}

void PromptQuarantine::scheduleGathering()
{
    if (this->gatherings.empty())
        return;
    const auto next = std::ranges::min_element(this->gatherings,
        [](const auto& left, const auto& right) { return left.second.reportAt < right.second.reportAt; });
    this->gatherTimer.start(remaining(next->second.reportAt, Clock::now()));
}

void PromptQuarantine::gatherDue()
{
    const auto now = Clock::now();
    for (auto entry = this->gatherings.begin(); entry != this->gatherings.end();) {
        auto& [incarnation, gathering] = *entry;
        if (now < gathering.reportAt) {
            ++entry;
            continue;
        }
        if (this->hasOpenAttempt && this->hasOpenAttempt(incarnation, gathering.firstAt)) {
            if (now < gathering.firstAt + maxGatherTime) {
                gathering.reportAt = now + gatherTime;
                ++entry;
                continue;
            }
            logChange(LogLevel::Info, "target goes on after it closed connections",
                { { "target", incarnation.target }, { "requests", std::to_string(gathering.attempts.size()) } });
        } else {
            this->report(incarnation, gathering);
        }
        entry = this->gatherings.erase(entry);
    }
    this->scheduleGathering();
}

void PromptQuarantine::report(const Incarnation& incarnation, const Gathering& gathering)
{
    TargetEndReport report { incarnation, {}, {}, {} };
    for (const auto& attempt : gathering.attempts) {
        if (attempt.isBeginning)
            continue;
        for (const auto part : attempt.parts) {
            if (!isRequest(part) && report.answeredParts.size() < maxReportedParts)
                insertNew(report.answeredParts, part);
        }
    }
    // Requests with a head first: the target certainly began them.
    for (const bool hasBegun : { true, false }) {
        for (const auto& attempt : gathering.attempts) {
            if (attempt.isBeginning && attempt.hasBegun == hasBegun && report.beginning.size() < maxReportedRequests)
                report.beginning.push_back({ fastHash(attempt.requestId), attempt.parts });
        }
    }
    if (report.beginning.empty())
        return;
    for (const auto& request : report.beginning) {
        for (const auto part : request.parts) {
            if (this->soundParts.contains(part))
                insertNew(report.formerlySound, part);
        }
    }
    logChange(LogLevel::Warning, "target ended while answers began",
        { { "target", incarnation.target }, { "requests", std::to_string(report.beginning.size()) },
            { "parts", listParts(report.beginning, false) }, { "own_parts", listParts(report.beginning, true) } });
    const auto key = this->reportKeyPrefix + std::to_string(++this->lastReport);
    const auto urgency
        = this->evidence.isContinuedBy(report) ? RecordPublisher::Urgency::Urgent : RecordPublisher::Urgency::Ordinary;
    this->evidence.add(key, report, std::nullopt);
    this->reportPublisher.write(key, toRecord(report), urgency);
    QTimer::singleShot(
        registrationTimeout, this, [this, key, incarnation] { this->withdrawIfRegistered(key, incarnation); });
    this->scheduleUpdate();
}

/// Withdraws the report on a target that did not end: its connections to this instance were cut.
void PromptQuarantine::withdrawIfRegistered(const std::string& key, const Incarnation& incarnation)
{
    if (!this->isRegistered || !this->isRegistered(incarnation))
        return;
    logChange(LogLevel::Info, "report on a target withdrawn, which goes on", { { "target", incarnation.target } });
    this->evidence.remove(key);
    this->reportPublisher.remove(key);
    this->scheduleUpdate();
}

void PromptQuarantine::onRecordDone(const std::string& key, bool isWritten)
{
    if (isWritten) {
        this->metrics.targetEndReports.Increment();
        return;
    }
    // No lease ends this report, which only this instance has.
    QTimer::singleShot(reportTtl, this, [this, key] {
        this->evidence.remove(key);
        this->scheduleUpdate();
    });
}

void PromptQuarantine::onSound(const std::vector<PartHash>& parts)
{
    for (const auto part : parts) {
        if (!isRequest(part))
            this->soundParts.remember(part);
        if (this->evidence.isEmpty() || !this->evidence.isReported(part))
            continue;
        // A popular part is answered many times a second, and most of these proofs change nothing.
        if (this->evidence.hasEvidence(part) || this->updateTimer.isActive()) {
            this->evidence.recordSound(part);
            this->scheduleUpdate();
        }
        if (this->evidence.endsWithoutPublishedProof(part) < endsWorthAProof
            || !this->soundInProgress.insert(part).second)
            continue;
        QTimer::singleShot(
            QRandomGenerator::global()->bounded(maxProofDelayMs), this, [this, part] { this->publishSound(part); });
    }
}

void PromptQuarantine::publishSound(PartHash part)
{
    if (this->evidence.endsWithoutPublishedProof(part) < endsWorthAProof) {
        this->soundInProgress.erase(part); // another instance has published a proof meanwhile
        return;
    }
    this->soundPublisher.write(std::string(soundPrefix) + toText(part), this->instance);
}

Clock::time_point PromptQuarantine::firstTrialAt(PartHash part, Clock::time_point now) const
{
    const auto number = fastHash(this->instance, part);
    if (this->evidence.isReportedUnder(part, this->reportKeyPrefix))
        return now + trialSlotTime * (number % reporterTrialSlots);
    return now + trialSlotTime * (reporterTrialSlots + number % trialSlots);
}

/// Whether a repetition of the quarantined request @p part may be sent, to learn whether it was beginning beside the
/// cause of the ends by chance.
bool PromptQuarantine::mayTryRequest(PartHash part, Clock::time_point now)
{
    auto& next = this->nextTrials.try_emplace(part, now).first->second;
    if (now < next || this->triedRequests.contains(part))
        return false;
    next = now + trialInterval; // also bounds how often the reports are searched
    const auto rank = this->evidence.reporterRank(part, this->reportKeyPrefix);
    if (!rank || *rank >= requestTriers)
        return false;
    const auto ends = this->evidence.endsAgainst(part);
    const auto [known, isFirstRefusal] = this->endsAtFirstRefusal.try_emplace(part, ends);
    if (isFirstRefusal) {
        next = now + requestTrialDelay * (static_cast<int>(*rank) + 1);
        return false;
    }
    if (*rank && ends > known->second)
        return false; // the trial by the first process ended a target
    logChange(LogLevel::Info, "quarantined request tried", { { "own_part", toText(part) } });
    return true;
}

void PromptQuarantine::onSent(const std::vector<PartHash>& parts)
{
    if (const auto part = this->evidence.findQuarantined(parts); part && isRequest(*part))
        this->triedRequests.insert(*part);
}

std::optional<PartHash> PromptQuarantine::refuse(const std::vector<PartHash>& parts, Clock::time_point now)
{
    const auto quarantined = this->evidence.findQuarantined(parts);
    if (quarantined && isRequest(*quarantined))
        return this->mayTryRequest(*quarantined, now) ? std::nullopt : quarantined;
    const auto decisive = quarantined ? this->evidence.findDecisive(parts) : std::nullopt;
    if (!decisive)
        return quarantined;
    const auto [next, isNew] = this->nextTrials.try_emplace(*decisive);
    if (isNew)
        next->second = this->firstTrialAt(*decisive, now);
    if (now < next->second)
        return quarantined;
    next->second = now + trialInterval;
    logChange(LogLevel::Info, "quarantined prompt part tried", { { "part", toText(*decisive) } });
    return std::nullopt;
}

std::optional<PartHash> PromptQuarantine::findSuspected(const BrokenAttempt& attempt) const
{
    if (!attempt.isBeginning || this->evidence.isEmpty())
        return std::nullopt;
    return this->evidence.findSuspected(attempt.parts, fastHash(attempt.requestId), attempt.incarnation);
}

void PromptQuarantine::scheduleUpdate()
{
    if (!this->updateTimer.isActive())
        this->updateTimer.start(updateDelay);
}

void PromptQuarantine::update()
{
    const auto changes = this->evidence.update();
    for (const auto& added : changes.added)
        logChange(LogLevel::Warning, isRequest(added.part) ? "request quarantined" : "prompt part quarantined",
            { { isRequest(added.part) ? "own_part" : "part", toText(added.part) },
                { "ended_targets", std::to_string(added.ends) }, { "requests", std::to_string(added.requests) } });
    for (const auto part : changes.released)
        logRelease(part, this->evidence.endsAgainst(part), this->evidence.isProved(part));
    for (const auto part : changes.released)
        this->nextTrials.erase(part);
    const auto isForgotten = [this](PartHash part) { return !this->evidence.endsAgainst(part); };
    std::erase_if(this->triedRequests, isForgotten);
    std::erase_if(this->endsAtFirstRefusal, [&](const auto& entry) { return isForgotten(entry.first); });
    this->metrics.quarantinedParts.Set(static_cast<double>(this->evidence.quarantinedCount()));
    if (!changes.added.empty() && this->onQuarantined)
        this->onQuarantined();
}

}
