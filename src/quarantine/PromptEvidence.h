#pragma once
// Decides which shared prompt parts and which requests crash targets, from reports of all instances on targets that
// ended.
//
// A request has, beside the shared parts of its prompt, a part of its own, which only its repetitions share. A part is
// quarantined when the ends of several targets are explained by it: it was beginning to be answered at each of them,
// and no answer with it was completed since. Repetitions of one request are evidence against that request alone. A part
// that explains more ends takes precedence, and a request over the parts of its prompt that explain no more; an end
// that a quarantined part explains is no evidence against other parts. A decision depends on the reports and proofs
// only, so instances with the same records decide alike. No I/O and no clock.

#include "directory/Incarnation.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace dragonfly::quarantine {

/// Hash of a model and the id of a prompt part, or of a request, which is marked by requestBit.
using PartHash = uint64_t;
/// Keeps the two kinds apart: a caller may choose the ids of its parts, and could find one with the hash of a request.
inline constexpr PartHash requestBit = PartHash { 1 } << 63;

constexpr bool isRequest(PartHash part)
{
    return (part & requestBit) != 0;
}

/// Ends of targets that a part must explain. Three are unlikely to share a rare part by chance, and the users allow
/// five before requests with the part must stop.
inline constexpr size_t minEnds = 3;
/// The same for a part that some reporting instance has seen answered before. The most that the users allow, because
/// the parts that most requests share are beginning somewhere whenever several targets end together.
inline constexpr size_t minEndsOfFormerlySound = 5;
/// Different requests that must have been beginning with a part of a prompt: a single request with its retries and
/// repetitions is no evidence against the part.
inline constexpr size_t minRequests = 2;
/// Limit on the reported requests that are kept: 64 ends with 64 beginning requests each, about 0.5 MB.
inline constexpr size_t maxKeptRequests = 4096;

using directory::Incarnation;

struct BeginningRequest {
    uint64_t request = 0; ///< hash of the request's id
    std::vector<PartHash> parts; ///< the shared parts of its prompt and the request's own
};

/// One instance's observation of the end of a target.
struct TargetEndReport {
    Incarnation incarnation;
    std::vector<BeginningRequest> beginning;
    std::vector<PartHash> answeredParts; ///< parts of prompts of answers that the target had been writing for longer
    std::vector<PartHash> formerlySound; ///< beginning parts that the instance has seen answered before
};

struct QuarantinedPart {
    PartHash part = 0;
    size_t ends = 0; ///< ends of targets that the part explains
    size_t requests = 0; ///< different requests with the part that were beginning there; repetitions of a request
    bool isTied = false; ///< another part explains the ends as well
};

/// The difference between two decisions.
struct QuarantineChanges {
    std::vector<QuarantinedPart> added;
    std::vector<PartHash> released;
};

class PromptEvidence {
public:
    /// Adds the report stored under @p key, or sets the revision of a known one. A report that is written again keeps
    /// the revision that it had first, and so its place before or after proofs.
    /// @param revision of the record; nullopt if the instance's own report is not written yet
    void add(const std::string& key, const TargetEndReport& report, std::optional<int64_t> revision);
    void remove(const std::string& key);
    /// Records that this instance saw an answer to a prompt with @p part: all reports so far are cleared of it.
    void recordSound(PartHash part);
    /// Records a published proof of soundness: reports with a lower revision are cleared of @p part.
    void recordPublishedSound(PartHash part, int64_t revision);
    /// Records that the published proof of @p part was lost: it still clears the reports before it, but only here.
    void recordLostProof(PartHash part);
    /// Forgets the published proof, whose record was removed.
    void removePublishedSound(PartHash part);

    /// Decides again which parts are quarantined. The functions below refer to the latest decision.
    QuarantineChanges update();

    /// Whether there is no report at all.
    bool isEmpty() const
    {
        return this->reports.empty();
    }
    /// The first of @p parts that is quarantined.
    std::optional<PartHash> findQuarantined(std::span<const PartHash> parts) const;
    /// Whether a request with @p parts would distinguish a quarantined part from another that explains the same ends:
    /// it has one quarantined part, which is tied. Returns that part.
    std::optional<PartHash> findDecisive(std::span<const PartHash> parts) const;
    /// Whether a report whose key begins with @p keyPrefix names @p part.
    bool isReportedUnder(PartHash part, std::string_view keyPrefix) const;
    /// Whether other targets ended while they began other requests with one of @p parts, or repetitions of the request
    /// itself, so that @p request, which was beginning when @p incarnation ended, may be the cause. Returns the part.
    /// @param request hash of the request's id; without meaning if its own part is among @p parts
    std::optional<PartHash> findSuspected(
        std::span<const PartHash> parts, uint64_t request, const Incarnation& incarnation) const;
    /// Whether @p report adds an end to those that may quarantine a request, or a part of prompts that its instance has
    /// not seen answered: another report names it at another end.
    bool isContinuedBy(const TargetEndReport& report) const;
    /// The number of processes whose reports named @p part before the first such report under @p processPrefix; nullopt
    /// if there is none.
    std::optional<size_t> reporterRank(PartHash part, std::string_view processPrefix) const;
    /// Ends that speak against @p part, whether or not another part explains them; 0 if it is cleared of all.
    size_t endsAgainst(PartHash part) const;
    /// The reports whose keys begin with @p keyPrefix.
    std::vector<std::pair<std::string, TargetEndReport>> reportsUnder(std::string_view keyPrefix) const;
    /// Whether any report names @p part, or reports on two ends if it is a request's, cleared or not.
    bool isReported(PartHash part) const
    {
        return this->unpublishedEnds.contains(part);
    }
    /// Whether a report speaks against @p part that no proof has cleared of it.
    bool hasEvidence(PartHash part) const
    {
        return this->evidence.contains(part);
    }
    /// Ends reported with @p part for which no proof of its soundness has been published since.
    size_t endsWithoutPublishedProof(PartHash part) const;
    /// Whether any proof of the soundness of @p part is known.
    bool isProved(PartHash part) const
    {
        return this->soundHere.contains(part) || this->publishedSound.contains(part);
    }
    size_t quarantinedCount() const
    {
        return this->quarantined.size();
    }
    /// Whether two ends or more speak against any request, so that an answer to a repetition matters.
    bool suspectsRequests() const
    {
        return this->hasRepeatedRequests;
    }
    /// Whether any request is quarantined for its own part.
    bool holdsRequests() const
    {
        return this->quarantined.lower_bound(requestBit) != this->quarantined.end();
    }
    size_t keptRequests() const
    {
        return this->requestCount;
    }

private:
    struct Report {
        TargetEndReport content;
        uint64_t sequence = 0; ///< in the order of arrival at this instance
        std::optional<int64_t> revision;
    };

    /// What the reports say about one part, without the reports that are cleared of it.
    struct PartEvidence {
        /// Hashes of the beginning requests: of what repetitions share if the part is one of a prompt, else of ids.
        std::map<Incarnation, std::set<uint64_t>> requestsByEnd;
        bool isFormerlySound = false;
        std::vector<PartHash> promptParts; ///< of a request: the shared parts of its prompt
    };

    struct PublishedProof {
        int64_t revision = 0; ///< of the part's record
        bool isLost = false; ///< the record does not exist any more
    };

    bool isClearedByPublication(PartHash part, const Report& report) const;
    bool isCleared(PartHash part, const Report& report) const;
    std::unordered_set<PartHash> findRepeatedRequests() const;
    void collectEvidence();
    void addEvidence(PartHash part, const BeginningRequest& request, const Incarnation& incarnation);
    struct Explanation;
    std::unordered_map<PartHash, Explanation> explain(const std::set<Incarnation>& explained) const;
    std::map<PartHash, QuarantinedPart> decide() const;
    void dropOldest();

    std::map<std::string, Report> reports; ///< by key
    size_t requestCount = 0; ///< beginning requests in all reports
    uint64_t lastSequence = 0;
    std::unordered_map<PartHash, uint64_t> soundHere; ///< the last sequence at each part's latest proof
    std::unordered_map<PartHash, PublishedProof> publishedSound;
    std::unordered_map<PartHash, PartEvidence> evidence; ///< as of the latest update()
    bool hasRepeatedRequests = false; ///< a request's own part has evidence of two ends or more
    std::unordered_map<PartHash, std::set<Incarnation>> unpublishedEnds; ///< as of the latest update()
    std::map<PartHash, QuarantinedPart> quarantined;
};

}
