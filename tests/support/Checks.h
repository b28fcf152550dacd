#pragma once
// Checks of invariants, based on the answers of callers and the executions counted by targets. Each check
// returns a description of the violation, or an empty string.

#include "tests/support/Caller.h"

#include <map>

namespace testing {

/// Checks that a stream equals the expected answer, or is a prefix of it and visibly incomplete.
std::string streamFault(const Answer& answer, const std::string& requestId, const std::string& prompt,
    const std::string& weights, uint32_t tokens);

using AnswersByKey = std::map<std::string, std::vector<AnswerPointer>>;

/// Checks that no key was executed twice, and that the answers for each key agree with the counted executions.
std::string bookingFault(const AnswersByKey& answers, const std::map<std::string, int>& executions);

}
