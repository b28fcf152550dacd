#pragma once
// How many lines about single requests may still be logged.

#include "base/Base.h"

namespace dragonfly::observe {

/// A token bucket. The part below the reserve is kept for lines that matter more.
class LineBudget {
public:
    LineBudget(double linesPerSecond, double burst, double reserve)
        : linesPerSecond(linesPerSecond)
        , burst(burst)
        , reserve(reserve)
        , lines(burst)
    {
    }

    /// Takes one line; an important one may use the reserve.
    bool take(bool isImportant, Clock::time_point now)
    {
        const std::chrono::duration<double> passed = now - this->refilledAt;
        this->refilledAt = now;
        this->lines = std::min(this->burst, this->lines + passed.count() * this->linesPerSecond);
        if (this->lines < (isImportant ? 1 : 1 + this->reserve))
            return false;
        this->lines -= 1;
        return true;
    }

private:
    double linesPerSecond;
    double burst;
    double reserve;
    double lines;
    Clock::time_point refilledAt = Clock::now();
};

}
