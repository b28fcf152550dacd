#include "quarantine/PromptEvidence.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace dragonfly::quarantine {

namespace {

    /// Limit on remembered proofs of each kind. A forgotten proof is replaced by the part's next answer.
    constexpr size_t maxProofs = 4096;

    /// The request's own part; nullopt in a report of a version that does not write it.
    std::optional<PartHash> ownPart(std::span<const PartHash> parts)
    {
        const auto found = std::ranges::find_if(parts, isRequest);
        return found == parts.end() ? std::nullopt : std::optional(*found);
    }

}

/// What one part explains of the ends that no quarantined part explains yet.
struct PromptEvidence::Explanation {
    PartHash part = 0;
    size_t ends = 0;
    size_t requests = 0;
    bool isFormerlySound = false;

    bool isSufficient() const
    {
        return this->ends >= (this->isFormerlySound ? minEndsOfFormerlySound : minEnds)
            && (isRequest(this->part) || this->requests >= minRequests);
    }
    bool isBetterThan(const Explanation& other) const
    {
        if (this->isFormerlySound != other.isFormerlySound)
            return !this->isFormerlySound;
        if (this->ends != other.ends)
            return this->ends > other.ends;
        return isRequest(this->part) && !isRequest(other.part);
    }
};

void PromptEvidence::add(const std::string& key, const TargetEndReport& report, std::optional<int64_t> revision)
{
    const auto [found, isNew] = this->reports.try_emplace(key);
    auto& kept = found->second;
    if (isNew)
        kept.sequence = ++this->lastSequence;
    this->requestCount += report.beginning.size() - kept.content.beginning.size();
    kept.content = report;
    if (!kept.revision)
        kept.revision = revision;
    while (this->requestCount > maxKeptRequests)
        this->dropOldest();
}

void PromptEvidence::remove(const std::string& key)
{
    const auto found = this->reports.find(key);
    if (found == this->reports.end())
        return;
    this->requestCount -= found->second.content.beginning.size();
    this->reports.erase(found);
}

/// Drops the oldest report on an end that no quarantined part explains; the oldest of all if there is none.
void PromptEvidence::dropOldest()
{
    const auto isExplained = [this](const Report& report) {
        return std::ranges::any_of(report.content.beginning,
            [this](const BeginningRequest& request) { return this->findQuarantined(request.parts).has_value(); });
    };
    auto oldest = this->reports.begin();
    bool isOldestExplained = isExplained(oldest->second);
    for (auto report = std::next(oldest); report != this->reports.end(); ++report) {
        const bool explained = isExplained(report->second);
        if (explained != isOldestExplained ? isOldestExplained : report->second.sequence < oldest->second.sequence) {
            oldest = report;
            isOldestExplained = explained;
        }
    }
    this->requestCount -= oldest->second.content.beginning.size();
    this->reports.erase(oldest);
}

void PromptEvidence::recordSound(PartHash part)
{
    if (this->soundHere.size() >= maxProofs && !this->soundHere.contains(part))
        this->soundHere.erase(this->soundHere.begin());
    this->soundHere[part] = this->lastSequence;
}

void PromptEvidence::recordPublishedSound(PartHash part, int64_t revision)
{
    if (this->publishedSound.size() >= maxProofs && !this->publishedSound.contains(part))
        this->publishedSound.erase(this->publishedSound.begin());
    auto& known = this->publishedSound[part];
    known = { std::max(known.revision, revision), false };
}

void PromptEvidence::recordLostProof(PartHash part)
{
    if (const auto found = this->publishedSound.find(part); found != this->publishedSound.end())
        found->second.isLost = true;
}

void PromptEvidence::removePublishedSound(PartHash part)
{
    this->publishedSound.erase(part);
}

bool PromptEvidence::isClearedByPublication(PartHash part, const Report& report) const
{
    const auto proof = this->publishedSound.find(part);
    return proof != this->publishedSound.end() && report.revision && *report.revision < proof->second.revision;
}

bool PromptEvidence::isCleared(PartHash part, const Report& report) const
{
    const auto proof = this->soundHere.find(part);
    return (proof != this->soundHere.end() && report.sequence <= proof->second)
        || this->isClearedByPublication(part, report);
}

/// The requests that were beginning at two ends or more. One end is no evidence against a request, and most requests
/// have no more.
std::unordered_set<PartHash> PromptEvidence::findRepeatedRequests() const
{
    std::unordered_set<PartHash> repeated;
    std::unordered_map<PartHash, const Incarnation*> firstEnds;
    firstEnds.reserve(this->requestCount);
    for (const auto& [key, report] : this->reports) {
        for (const auto& request : report.content.beginning) {
            const auto own = ownPart(request.parts);
            if (!own)
                continue;
            const auto [first, isNew] = firstEnds.try_emplace(*own, &report.content.incarnation);
            if (!isNew && *first->second != report.content.incarnation)
                repeated.insert(*own);
        }
    }
    return repeated;
}

void PromptEvidence::collectEvidence()
{
    const auto repeated = this->findRepeatedRequests();
    this->evidence.clear();
    this->unpublishedEnds.clear();
    std::map<Incarnation, std::unordered_set<PartHash>> answered;
    for (const auto& [key, report] : this->reports)
        answered[report.content.incarnation].insert(
            report.content.answeredParts.begin(), report.content.answeredParts.end());
    for (const auto& [key, report] : this->reports) {
        const auto& incarnation = report.content.incarnation;
        const auto& soundThere = answered[incarnation];
        for (const auto& request : report.content.beginning) {
            for (const auto part : request.parts) {
                if (isRequest(part) && !repeated.contains(part))
                    continue;
                auto& unpublished = this->unpublishedEnds[part];
                if (soundThere.contains(part))
                    continue;
                const auto proof = this->publishedSound.find(part);
                const bool isProofLost = proof != this->publishedSound.end() && proof->second.isLost;
                if (isProofLost || !this->isClearedByPublication(part, report))
                    unpublished.insert(incarnation);
                if (!this->isCleared(part, report))
                    this->addEvidence(part, request, incarnation);
            }
        }
    }
    this->hasRepeatedRequests = std::ranges::any_of(this->evidence,
        [](const auto& entry) { return isRequest(entry.first) && entry.second.requestsByEnd.size() > 1; });
    for (const auto& [key, report] : this->reports) {
        for (const auto part : report.content.formerlySound) {
            if (const auto found = this->evidence.find(part); found != this->evidence.end())
                found->second.isFormerlySound = true;
        }
    }
}

void PromptEvidence::addEvidence(PartHash part, const BeginningRequest& request, const Incarnation& incarnation)
{
    auto& found = this->evidence[part];
    auto& requests = found.requestsByEnd[incarnation];
    if (!isRequest(part)) {
        requests.insert(ownPart(request.parts).value_or(request.request));
        return;
    }
    requests.insert(request.request);
    if (found.promptParts.empty())
        std::ranges::remove_copy_if(request.parts, std::back_inserter(found.promptParts), isRequest);
}

/// The sufficient explanations of ends that are not among @p explained, by part.
std::unordered_map<PartHash, PromptEvidence::Explanation> PromptEvidence::explain(
    const std::set<Incarnation>& explained) const
{
    std::unordered_map<PartHash, Explanation> explanations;
    for (const auto& [part, found] : this->evidence) {
        if (found.requestsByEnd.size() < minEnds)
            continue;
        Explanation explanation { part, 0, 0, found.isFormerlySound };
        std::set<uint64_t> requests;
        for (const auto& [incarnation, beginning] : found.requestsByEnd) {
            if (explained.contains(incarnation))
                continue;
            ++explanation.ends;
            requests.insert(beginning.begin(), beginning.end());
        }
        explanation.requests = requests.size();
        if (explanation.isSufficient())
            explanations.emplace(part, explanation);
    }
    return explanations;
}

std::map<PartHash, QuarantinedPart> PromptEvidence::decide() const
{
    std::map<PartHash, QuarantinedPart> decided;
    std::set<Incarnation> explained;
    while (true) {
        std::vector<Explanation> best; // all equally good explanations
        const auto explanations = this->explain(explained);
        for (const auto& [part, explanation] : explanations) {
            if (decided.contains(part) || (!best.empty() && best.front().isBetterThan(explanation)))
                continue;
            // Also by a formerly sound part, which comes after all others otherwise.
            const auto explainsMore = [&, ends = explanation.ends](PartHash promptPart) {
                const auto other = explanations.find(promptPart);
                return other != explanations.end() && other->second.ends > ends;
            };
            if (std::ranges::any_of(this->evidence.at(part).promptParts, explainsMore))
                continue;
            if (!best.empty() && explanation.isBetterThan(best.front()))
                best.clear();
            best.push_back(explanation);
        }
        if (best.empty())
            return decided;
        for (const auto& explanation : best) {
            decided[explanation.part] = { explanation.part, explanation.ends, explanation.requests, best.size() > 1 };
            for (const auto& [incarnation, beginning] : this->evidence.at(explanation.part).requestsByEnd)
                explained.insert(incarnation);
        }
    }
}

QuarantineChanges PromptEvidence::update()
{
    this->collectEvidence();
    auto decided = this->decide();
    QuarantineChanges changes;
    for (const auto& [part, found] : decided) {
        if (!this->quarantined.contains(part))
            changes.added.push_back(found);
    }
    for (const auto& [part, found] : this->quarantined) {
        if (!decided.contains(part))
            changes.released.push_back(part);
    }
    this->quarantined = std::move(decided);
    return changes;
}

std::optional<PartHash> PromptEvidence::findQuarantined(std::span<const PartHash> parts) const
{
    if (this->quarantined.empty())
        return std::nullopt;
    const auto found = std::ranges::find_if(parts, [this](PartHash part) { return this->quarantined.contains(part); });
    return found == parts.end() ? std::nullopt : std::optional(*found);
}

std::optional<PartHash> PromptEvidence::findDecisive(std::span<const PartHash> parts) const
{
    std::optional<PartHash> found;
    for (const auto part : parts) {
        const auto known = this->quarantined.find(part);
        if (known == this->quarantined.end() || found == part)
            continue;
        if (found || !known->second.isTied)
            return std::nullopt;
        found = part;
    }
    return found;
}

bool PromptEvidence::isReportedUnder(PartHash part, std::string_view keyPrefix) const
{
    return std::ranges::any_of(this->reports, [&](const auto& entry) {
        const auto& [key, report] = entry;
        return key.starts_with(keyPrefix)
            && std::ranges::any_of(report.content.beginning, [part](const BeginningRequest& request) {
                   return std::ranges::find(request.parts, part) != request.parts.end();
               });
    });
}

std::vector<std::pair<std::string, TargetEndReport>> PromptEvidence::reportsUnder(std::string_view keyPrefix) const
{
    std::vector<std::pair<std::string, TargetEndReport>> found;
    for (const auto& [key, report] : this->reports) {
        if (key.starts_with(keyPrefix))
            found.emplace_back(key, report.content);
    }
    return found;
}

std::optional<PartHash> PromptEvidence::findSuspected(
    std::span<const PartHash> parts, uint64_t request, const Incarnation& incarnation) const
{
    const auto self = ownPart(parts).value_or(request);
    for (const auto part : parts) {
        const auto found = this->evidence.find(part);
        if (found == this->evidence.end())
            continue;
        const auto ends = std::ranges::count_if(found->second.requestsByEnd, [&](const auto& end) {
            const auto& [ended, requests] = end;
            return ended != incarnation && (isRequest(part) || requests.size() > 1 || !requests.contains(self));
        });
        // One end less than the quarantine takes, or the first one with a part that was never answered.
        auto sufficient = found->second.isFormerlySound ? minEndsOfFormerlySound - 1 : size_t { 1 };
        if (isRequest(part))
            sufficient = minEnds - 1;
        if (static_cast<size_t>(ends) >= sufficient)
            return part;
    }
    return std::nullopt;
}

bool PromptEvidence::isContinuedBy(const TargetEndReport& report) const
{
    std::unordered_set<PartHash> named;
    for (const auto& request : report.beginning)
        named.insert(request.parts.begin(), request.parts.end());
    for (const auto part : report.formerlySound)
        named.erase(part);
    return std::ranges::any_of(this->reports, [&](const auto& entry) {
        const auto& known = entry.second.content;
        return known.incarnation != report.incarnation
            && std::ranges::any_of(known.beginning, [&named](const BeginningRequest& request) {
                   return std::ranges::any_of(request.parts, [&named](PartHash part) { return named.contains(part); });
               });
    });
}

std::optional<size_t> PromptEvidence::reporterRank(PartHash part, std::string_view processPrefix) const
{
    std::map<std::string_view, int64_t> firstReports; // by process; reports that are not written yet are the latest
    for (const auto& [key, report] : this->reports) {
        const bool isNamed = std::ranges::any_of(report.content.beginning, [part](const BeginningRequest& request) {
            return std::ranges::find(request.parts, part) != request.parts.end();
        });
        if (!isNamed)
            continue;
        const auto process = std::string_view(key).substr(0, key.rfind('-') + 1);
        const auto revision = report.revision.value_or(std::numeric_limits<int64_t>::max());
        const auto [first, isNew] = firstReports.try_emplace(process, revision);
        first->second = std::min(first->second, revision);
    }
    const auto own = firstReports.find(processPrefix);
    if (own == firstReports.end())
        return std::nullopt;
    return std::ranges::count_if(firstReports, [&own](const auto& other) { return other.second < own->second; });
}

size_t PromptEvidence::endsAgainst(PartHash part) const
{
    const auto found = this->evidence.find(part);
    return found == this->evidence.end() ? 0 : found->second.requestsByEnd.size();
}

size_t PromptEvidence::endsWithoutPublishedProof(PartHash part) const
{
    const auto found = this->unpublishedEnds.find(part);
    return found == this->unpublishedEnds.end() ? 0 : found->second.size();
}

}
