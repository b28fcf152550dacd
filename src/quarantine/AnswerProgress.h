#pragma once
// How far a target has come with an answer, judged by when its bytes arrived.

#include "base/Base.h"
#include "http/Message.h"

#include <optional>

namespace dragonfly::quarantine {

/// An answer that has been written for longer is not beginning. Engines that a prompt crashes end within 0.1 s; the
/// rest is for the way to another region and for a busy instance.
inline constexpr std::chrono::milliseconds beginWindow { 500 };

/// Whether the complete answer with @p head proves that its target survived the prompt. One that ends with its
/// connection does not: a target that crashes can look as if it had ended the answer.
inline bool provesSoundness(const http::ResponseHead& head)
{
    constexpr int firstSuccess = 200;
    constexpr int firstRedirect = 300;
    return head.status >= firstSuccess && head.status < firstRedirect && !head.endsWithConnection;
}

/// Counts steps of beginWindow or more, each ended by bytes that arrived. Bytes that a suspended instance finds on its
/// return count as one step, however long it was suspended, so only a second step proves that the target went on.
struct AnswerProgress {
    std::optional<Clock::time_point> lastStepAt; ///< unset before the head
    int steps = 0;

    /// Whether the bytes that arrived at @p now prove that the target survived the beginning of this answer. True once.
    bool onBytes(Clock::time_point now)
    {
        constexpr int provingSteps = 2;
        if (!this->lastStepAt)
            this->lastStepAt = now;
        if (now - *this->lastStepAt < beginWindow)
            return false;
        this->lastStepAt = now;
        return ++this->steps == provingSteps;
    }
    bool hasBegun() const
    {
        return this->lastStepAt.has_value();
    }
    bool isBeginning() const
    {
        return !this->steps;
    }
};

}
