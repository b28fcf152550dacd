#include "tests/support/Checks.h"

#include "standins/Tokens.h"

#include <algorithm>

namespace testing {

std::string streamFault(const Answer& answer, const std::string& requestId, const std::string& prompt,
    const std::string& weights, uint32_t tokens)
{
    if (answer.status != 200) {
        const bool isExplained = !answer.status || !answer.execution().empty();
        return isExplained
            ? ""
            : requestId + ": status " + std::to_string(answer.status) + " without a Dragonfly-Execution header";
    }
    const auto expected = standins::answerText(prompt, weights, tokens);
    const auto content = readStream(answer, requestId);
    if (content.foreign)
        return requestId + ": received the answer of another request";
    if (!expected.starts_with(content.text))
        return requestId + ": tokens are wrong or out of order:" + content.text;
    if (content.done && content.text.size() != expected.size())
        return requestId + ": ended normally with " + std::to_string(content.tokens) + " tokens";
    if (!content.done && !content.failed && answer.whole)
        return requestId + ": ended without [DONE] and without an error event";
    return {};
}

std::string bookingFault(const AnswersByKey& answers, const std::map<std::string, int>& executions)
{
    for (const auto& [key, all] : answers) {
        const auto found = executions.find(key);
        const int runs = found == executions.end() ? 0 : found->second;
        if (runs > 1)
            return key + " ran " + std::to_string(runs) + " times";
        const auto reportsNotRun
            = [](const AnswerPointer& answer) { return answer->status != 200 && answer->execution() == "not-run"; };
        if (runs && std::all_of(all.begin(), all.end(), reportsNotRun))
            return key + " ran although every answer reported not-run";
        const auto isAnswered = [](const AnswerPointer& answer) { return answer->status == 200; };
        if (!runs && std::any_of(all.begin(), all.end(), isAnswered))
            return key + " was answered but did not run";
    }
    return {};
}

}
