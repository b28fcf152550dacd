#include "claims/ClaimRules.h"

#include <algorithm>

namespace dragonfly::claims {

namespace {

    constexpr size_t digestBytes = 16;

    std::string digestOf(std::initializer_list<std::string_view> parts)
    {
        std::string text;
        for (const auto part : parts)
            text.append(std::to_string(part.size())).append(":").append(part);
        return sha256(text).substr(0, digestBytes);
    }

    pb::Claim* findClaim(pb::ClaimDocument& document, std::string_view key)
    {
        for (auto& claim : *document.mutable_claims()) {
            if (claim.key() == key)
                return &claim;
        }
        return nullptr;
    }

    pb::Claim* findHeldClaim(pb::ClaimDocument& document, std::string_view key, std::string_view attempt)
    {
        auto* claim = findClaim(document, key);
        return claim && claim->attempt() == attempt && claim->state() == pb::CLAIMED ? claim : nullptr;
    }

}

std::string claimKey(std::string_view organisation, std::string_view route, std::string_view idempotencyKey)
{
    return digestOf({ organisation, route, idempotencyKey });
}

std::string requestDigest(std::string_view target, std::string_view body)
{
    return digestOf({ target, body });
}

uint32_t documentIndexOf(std::string_view key, uint32_t documentCount)
{
    return static_cast<uint32_t>(fastHash(key) % documentCount);
}

Verdict addClaim(pb::ClaimDocument& document, const ClaimRequest& request, const LedgerLimits& limits)
{
    if (const auto* claim = findClaim(document, request.key)) {
        if (claim->request() != request.requestDigest)
            return KeyReused {};
        if (claim->state() == pb::FINISHED)
            return Finished { claim->answer() };
        if (claim->state() == pb::LOST)
            return Lost {};
        if (claim->attempt() == request.attempt)
            return Granted {};
        return InProgress {};
    }
    // Reserves room for the answer, so that it can be recorded once the call has run.
    if (document.ByteSizeLong() + limits.answerBytes > limits.documentBytes)
        return LedgerFull {};
    auto* claim = document.add_claims();
    claim->set_key(request.key);
    claim->set_request(request.requestDigest);
    claim->set_attempt(request.attempt);
    claim->set_state(pb::CLAIMED);
    return Granted {};
}

bool recordClaimAnswer(pb::ClaimDocument& document, std::string_view key, std::string_view attempt,
    const pb::StoredAnswer& answer, WallClock::time_point now)
{
    auto* claim = findHeldClaim(document, key, attempt);
    if (!claim)
        return false;
    claim->set_state(pb::FINISHED);
    *claim->mutable_answer() = answer;
    claim->set_finished_unix_ms(unixTime(now).count());
    return true;
}

bool markClaimLost(pb::ClaimDocument& document, std::string_view key, std::string_view attempt)
{
    auto* claim = findHeldClaim(document, key, attempt);
    if (!claim)
        return false;
    claim->set_state(pb::LOST);
    return true;
}

bool releaseClaim(pb::ClaimDocument& document, std::string_view key, std::string_view attempt)
{
    const auto* held = findHeldClaim(document, key, attempt);
    if (!held)
        return false;
    auto* claims = document.mutable_claims();
    const auto found
        = std::find_if(claims->begin(), claims->end(), [held](const pb::Claim& claim) { return &claim == held; });
    claims->erase(found);
    return true;
}

size_t expireFinished(pb::ClaimDocument& document, const LedgerLimits& limits, WallClock::time_point now)
{
    const auto oldest = unixTime(now - limits.retention).count();
    auto* claims = document.mutable_claims();
    const auto keptEnd = std::remove_if(claims->begin(), claims->end(), [oldest](const pb::Claim& claim) {
        return claim.state() == pb::FINISHED && claim.finished_unix_ms() < oldest;
    });
    const auto dropped = static_cast<int>(claims->end() - keptEnd);
    claims->DeleteSubrange(claims->size() - dropped, dropped);
    return static_cast<size_t>(dropped);
}

}
