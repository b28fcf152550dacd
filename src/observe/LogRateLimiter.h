#pragma once
// Limits the rate of log lines about single requests.

#include "base/Base.h"

namespace dragonfly::observe {

/// A token bucket with one token per line. The last @p reserve tokens are kept for important lines.
class LogRateLimiter {
public:
    LogRateLimiter(double linesPerSecond, double burst, double reserve)
        : linesPerSecond(linesPerSecond)
        , burst(burst)
        , reserve(reserve)
        , lines(burst)
    {
    }

    /// Consumes a token if one is available; only an important line may use the reserve.
    bool tryAcquire(bool isImportant, Clock::time_point now)
    {
        const std::chrono::duration<double> elapsed = now - this->refilledAt;
        this->refilledAt = now;
        this->lines = std::min(this->burst, this->lines + elapsed.count() * this->linesPerSecond);
        if (this->lines < (isImportant ? 1 : 1 + this->reserve))
            return false;
        this->lines -= 1;
        return true;
    }

private:
    double linesPerSecond;
    double burst;
    double reserve;
    double lines; ///< available tokens, including the reserve
    Clock::time_point refilledAt = Clock::now();
};

}
