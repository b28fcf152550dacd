#pragma once
// What must always hold, checked from what callers received and what targets recorded. Each check returns
// what is wrong, or an empty text.

#include "tests/support/Caller.h"

#include <map>

namespace testing {

/// Whole and exact, or openly broken and a beginning of the exact answer.
std::string streamFault(const Answer& answer, const std::string& requestId, const std::string& prompt,
    const std::string& weights, uint32_t tokens);

using AnswersByKey = std::map<std::string, std::vector<AnswerPointer>>;

/// No key ran twice, and what the answers said of each key holds against what the services counted.
std::string bookingFault(const AnswersByKey& answers, const std::map<std::string, int>& executions);

}
