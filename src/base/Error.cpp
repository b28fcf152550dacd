#include "base/Error.h"

#include <array>

namespace dragonfly {

namespace {

    constexpr std::array errorAnswers {
        ErrorAnswer { ErrorKind::BadRequest, "bad_request", 400, false },
        ErrorAnswer { ErrorKind::Unauthorised, "unauthorised", 401, false },
        ErrorAnswer { ErrorKind::UnknownModel, "unknown_model", 404, false },
        ErrorAnswer { ErrorKind::UnknownPath, "unknown_path", 404, false },
        ErrorAnswer { ErrorKind::BodyTooLarge, "body_too_large", 413, false },
        ErrorAnswer { ErrorKind::HeadersTooLarge, "headers_too_large", 431, false },
        ErrorAnswer { ErrorKind::RequestTimeout, "request_timeout", 408, true },
        ErrorAnswer { ErrorKind::TooManyConnections, "too_many_connections", 503, true },
        ErrorAnswer { ErrorKind::IdempotencyKeyMissing, "idempotency_key_missing", 400, false },
        ErrorAnswer { ErrorKind::IdempotencyKeyReused, "idempotency_key_reused", 422, false },
        ErrorAnswer { ErrorKind::LimitExceeded, "limit_exceeded", 429, true },
        ErrorAnswer { ErrorKind::Overloaded, "overloaded", 503, true },
        ErrorAnswer { ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, true },
        ErrorAnswer { ErrorKind::NoTarget, "no_target", 503, true },
        ErrorAnswer { ErrorKind::ClaimUnavailable, "claim_unavailable", 503, true },
        ErrorAnswer { ErrorKind::ClaimInProgress, "claim_in_progress", 409, true },
        ErrorAnswer { ErrorKind::OutcomeUnknown, "outcome_unknown", 504, false },
        ErrorAnswer { ErrorKind::AnswerNotKept, "answer_not_kept", 409, false },
        ErrorAnswer { ErrorKind::TargetFailed, "target_failed", 502, true },
        ErrorAnswer { ErrorKind::StreamInterrupted, "stream_interrupted", 502, true },
        ErrorAnswer { ErrorKind::NotConfigured, "not_configured", 503, true },
        ErrorAnswer { ErrorKind::PromptQuarantined, "prompt_quarantined", 503, true },
        ErrorAnswer { ErrorKind::Internal, "internal", 500, false },
    };

    static_assert(
        errorAnswers.size() == static_cast<size_t>(ErrorKind::Internal) + 1, "every error kind needs an answer");

}

const ErrorAnswer& answerFor(ErrorKind kind)
{
    return errorAnswers[static_cast<size_t>(kind)];
}

std::string_view toString(Execution execution)
{
    switch (execution) {
    case Execution::NotRun:
        return "not-run";
    case Execution::Ran:
        return "ran";
    case Execution::Unknown:
        break;
    }
    return "unknown";
}

}
