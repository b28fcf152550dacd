#pragma once
// The rules of one claim document, as functions without input or output.
//
// A claim gives one attempt the right to run one non-idempotent call. It never passes to another
// attempt: not by time, not by a restart, not because its holder is silent. Only the attempt that holds
// a claim may release it, and only while it knows that no byte of the call has reached a target.

#include "base/Base.h"
#include "claims.pb.h"

#include <variant>

namespace dragonfly::claims {

/// Who wants to run what. All three are digests or random identifiers of 16 bytes.
struct ClaimRequest {
    std::string key; ///< from organisation, route and idempotency key
    std::string request; ///< from the content of the request
    std::string attempt; ///< unique to this attempt
};

struct Granted { };
struct InProgress { };
struct Lost { };
struct Finished {
    pb::StoredAnswer answer;
};
struct KeyReused { };
struct LedgerFull { };
/// The platform's service could not be asked; nothing was granted.
struct Unreachable { };

using Verdict = std::variant<Granted, InProgress, Lost, Finished, KeyReused, LedgerFull, Unreachable>;

struct LedgerLimits {
    std::chrono::seconds retention { 24 * 3600 }; ///< how long a finished claim answers repeats
    size_t documentBytes = 900 << 10; ///< below the platform's limit for a value
    size_t answerBytes = 4 << 10; ///< larger answers are not kept for repeats
};

/// Digest of the parts that identify a call. The parts are kept apart, so that they cannot run together.
std::string claimKey(std::string_view organisation, std::string_view route, std::string_view idempotencyKey);
std::string requestDigest(std::string_view target, std::string_view body);

/// Number of the document that holds @p key.
uint32_t documentOf(std::string_view key, uint32_t documents);

/// Adds a claim when the key is free. Granting the same attempt twice is harmless.
Verdict addClaim(pb::ClaimDocument& document, const ClaimRequest& request, const LedgerLimits& limits);

/// Records the outcome of @p attempt. False when that attempt does not hold the claim.
bool finishClaim(pb::ClaimDocument& document, std::string_view key, std::string_view attempt,
    const pb::StoredAnswer& answer, WallClock::time_point now);

/// Records that the outcome of @p attempt will never be known.
bool loseClaim(pb::ClaimDocument& document, std::string_view key, std::string_view attempt);

/// Frees the key again, because @p attempt sent nothing. False when there is no such claim.
bool releaseClaim(pb::ClaimDocument& document, std::string_view key, std::string_view attempt);

/// Drops finished claims older than the retention; others stay. Returns how many were dropped.
size_t expireFinished(pb::ClaimDocument& document, const LedgerLimits& limits, WallClock::time_point now);

}
