#pragma once
// All error kinds, and the table that maps each kind to the answer that the caller receives.

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

namespace dragonfly {

/// Whether a target executed a failed request.
enum class Execution {
    NotRun, ///< no byte of the request reached a target, or the target reported that it did not run
    Ran,
    Unknown,
};

/// Every way in which a request can fail. Each kind needs a row in the table in Error.cpp, in the same order.
enum class ErrorKind {
    BadRequest,
    Unauthorised,
    UnknownModel,
    UnknownPath,
    BodyTooLarge,
    HeadersTooLarge,
    RequestTimeout,
    TooManyConnections,
    IdempotencyKeyMissing,
    IdempotencyKeyReused,
    LimitExceeded,
    Overloaded,
    DeadlineExceeded,
    NoTarget,
    ClaimUnavailable,
    ClaimInProgress,
    OutcomeUnknown,
    AnswerNotKept,
    TargetFailed,
    StreamInterrupted,
    NotConfigured,
    PromptQuarantined,
    Internal,
};

/// The answer to the caller for one kind of error.
struct ErrorAnswer {
    ErrorKind kind;
    std::string_view name; ///< sent to the caller and used as a metric label
    int status; ///< HTTP status
    bool retryable; ///< the caller may send the same request again, with the same idempotency key
};

/// An error that is reported to a caller or an operator.
struct Error {
    ErrorKind kind;
    std::string detail; ///< human-readable; never contains a key or prompt text
    Execution execution = Execution::NotRun;
    std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0); ///< zero: no Retry-After header
};

template <typename Value> using Result = std::variant<Value, Error>;

struct Success { };
using Status = Result<Success>;

/// The error in @p result, or null if it holds a value.
template <typename Value> const Error* errorOf(const Result<Value>& result)
{
    return std::get_if<Error>(&result);
}

/// The row of the answer table for @p kind.
const ErrorAnswer& answerFor(ErrorKind kind);

/// Returns "not-run", "ran" or "unknown".
std::string_view toString(Execution execution);

}
