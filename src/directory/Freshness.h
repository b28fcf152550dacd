#pragma once
// How long ago the configuration in force was proved to be the newest one.
//
// Requests with an API key may be taken only while that is recent, since the key may have been revoked
// since. Time while the process stood still counts.

#include "base/Base.h"

#include <optional>

namespace dragonfly::directory {

class Freshness {
public:
    /// @param validity how long one proof allows requests with keys
    explicit Freshness(std::chrono::milliseconds validity)
        : validity(validity)
    {
    }

    /// The configuration in force was the newest at some moment not before @p askedAt.
    void prove(BootClock::time_point askedAt)
    {
        if (!this->provedAt || askedAt > *this->provedAt)
            this->provedAt = askedAt;
    }
    /// A newer configuration is known to exist and is not in force yet.
    void disprove()
    {
        this->provedAt.reset();
    }
    bool isProved(BootClock::time_point now) const
    {
        return this->provedAt && now - *this->provedAt < this->validity;
    }
    /// Age of the last proof; nothing when there is none.
    std::optional<std::chrono::milliseconds> age(BootClock::time_point now) const
    {
        if (!this->provedAt)
            return std::nullopt;
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - *this->provedAt);
    }

private:
    std::chrono::milliseconds validity; ///< a setting, not a wait
    std::optional<BootClock::time_point> provedAt;
};

}
