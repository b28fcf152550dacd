#pragma once
// How far a target has come with an answer, judged by when its bytes arrived.

#include "base/Base.h"

#include <optional>

namespace dragonfly::quarantine {

/// An answer that has been written for longer is not beginning. Engines that a prompt crashes end within 0.1 s; the
/// rest is for the way to another region and for a busy instance.
inline constexpr std::chrono::milliseconds beginWindow { 500 };

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
