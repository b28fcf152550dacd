#pragma once
// The closed list of error kinds, and the table from a kind to the answer a caller receives.

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

namespace dragonfly {

/// Whether the work behind a failed request was carried out.
enum class Execution {
    NotRun, ///< no byte of it reached a target, or the target said that it did not run
    Ran,
    Unknown,
};

/// Every way in which a request can fail. Add a row to the table in Error.cpp with each new kind.
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
    Internal,
};

/// How one kind of error is answered.
struct ErrorAnswer {
    ErrorKind kind;
    std::string_view name;
    int status; ///< HTTP status
    bool retryable; ///< the caller may send the same request again, with the same idempotency key
};

/// An error on its way to a caller or an operator.
struct Error {
    ErrorKind kind;
    std::string detail; ///< for people; never holds a key or a prompt
    Execution execution = Execution::NotRun;
    std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0); ///< zero: no advice
};

template <typename Value> using Result = std::variant<Value, Error>;

struct Success { };
using Status = Result<Success>;

/// The error in @p result, or null when it holds a value.
template <typename Value> const Error* errorOf(const Result<Value>& result)
{
    return std::get_if<Error>(&result);
}

/// The row of the answer table for @p kind.
const ErrorAnswer& answerFor(ErrorKind kind);

/// "not-run", "ran" or "unknown".
std::string_view toString(Execution execution);

}
