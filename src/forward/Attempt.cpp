#include "forward/Attempt.h"

#include "forward/AnswerStatus.h"

namespace dragonfly::forward {

bool isAwaitingEngine(const Attempt& attempt)
{
    return attempt.choice.weightsVersion && !attempt.head.status;
}

bool isMismatchedAnswer(const Attempt& attempt, const std::string& requestId)
{
    const auto& answer = attempt.answerMetadata;
    if (answer.notRun && answer.requestId.empty())
        return !attempt.head.isFirstOnConnection;
    return answer.requestId != requestId;
}

bool isRelayableSuccess(const Attempt& attempt, const std::string& requestId)
{
    const auto& answer = attempt.answerMetadata;
    return isSuccess(attempt.head.status) && !isMismatchedAnswer(attempt, requestId) && answer.isStamped
        && !answer.isEncoded;
}

}
