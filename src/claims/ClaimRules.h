#pragma once
// Operations on one claim document, as functions that perform no input or output.
//
// A claim gives one attempt the right to run one non-idempotent call. It is never transferred to another
// attempt, neither by a timeout nor by a restart nor because its holder does not respond. Only the attempt
// that holds a claim may release it, and only while it knows that no target has run the call: no byte of it was
// sent, or the target refused it.

#include "base/Base.h"
#include "claims.pb.h"

#include <variant>

namespace dragonfly::claims {

/// Identifies a call and the attempt that wants to run it. Each field has 16 bytes.
struct ClaimRequest {
    std::string key; ///< digest of organisation, route and idempotency key, see claimKey()
    std::string requestDigest; ///< digest of the request's content, see requestDigest()
    std::string attempt; ///< unique identifier of the attempt
};

/// The attempt holds the claim and may run the call.
struct Granted { };
/// Another attempt holds the claim.
struct InProgress { };
/// The call may have run, but its outcome is unknown.
struct Lost { };
/// The call has run with this answer.
struct Finished {
    pb::StoredAnswer answer;
};
/// The key is claimed for a request with different content.
struct KeyReused { };
/// The document has no room for another claim.
struct LedgerFull { };
/// The platform's service did not confirm the claim in time; nothing was granted.
struct Unreachable { };

using Verdict = std::variant<Granted, InProgress, Lost, Finished, KeyReused, LedgerFull, Unreachable>;

struct LedgerLimits {
    std::chrono::seconds retention { 24 * 3600 }; ///< how long repeats receive the answer of a finished claim
    size_t documentBytes = 900 << 10; ///< below the platform's size limit of a value
    size_t answerBytes = 4 << 10; ///< room reserved for an answer; larger answers are not stored
};

/// Digest of the parts that identify a call. Each part is hashed with its length, so that different parts never
/// form the same text.
std::string claimKey(std::string_view organisation, std::string_view route, std::string_view idempotencyKey);
/// Digest of a request's content, to detect a key that is reused for another request.
std::string requestDigest(std::string_view target, std::string_view body);

/// Index of the document that holds @p key.
uint32_t documentIndexOf(std::string_view key, uint32_t documentCount);

/// Adds a claim if the key is free. Idempotent for the same attempt.
Verdict addClaim(pb::ClaimDocument& document, const ClaimRequest& request, const LedgerLimits& limits);

/// Stores the answer of @p attempt and marks the claim as finished. Returns false if the attempt does not hold it.
bool recordClaimAnswer(pb::ClaimDocument& document, std::string_view key, std::string_view attempt,
    const pb::StoredAnswer& answer, WallClock::time_point now);

/// Records that the outcome of @p attempt is unknown for good. Returns false if the attempt does not hold the claim.
bool markClaimLost(pb::ClaimDocument& document, std::string_view key, std::string_view attempt);

/// Removes the claim of @p attempt, whose call must not have run. Returns false if it holds none.
bool releaseClaim(pb::ClaimDocument& document, std::string_view key, std::string_view attempt);

/// Removes finished claims older than the retention; all other claims stay. Returns the number removed.
size_t expireFinished(pb::ClaimDocument& document, const LedgerLimits& limits, WallClock::time_point now);

}
