#pragma once
// The freshness proof of the configuration in force: when it was last known to be the newest.
//
// Requests with an API key are accepted only while the proof is recent, because a newer configuration may have
// revoked the key. Time during which the process was suspended counts towards the age.

#include "base/Base.h"

#include <optional>

namespace dragonfly::directory {

class Freshness {
public:
    /// @param validity how long after its query a proof permits requests with API keys
    explicit Freshness(std::chrono::milliseconds validity)
        : validity(validity)
    {
    }

    /// Records that the configuration in force was the newest at some moment not before @p queriedAt.
    void prove(BootClock::time_point queriedAt)
    {
        if (!this->provedAt || queriedAt > *this->provedAt)
            this->provedAt = queriedAt;
    }
    /// Discards the proof: a newer configuration exists and is not in force.
    void invalidate()
    {
        this->provedAt.reset();
    }
    bool isProved(BootClock::time_point now) const
    {
        return this->provedAt && now - *this->provedAt < this->validity;
    }
    /// Age of the latest proof; nullopt if there is none.
    std::optional<std::chrono::milliseconds> age(BootClock::time_point now) const
    {
        if (!this->provedAt)
            return std::nullopt;
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - *this->provedAt);
    }

private:
    std::chrono::milliseconds validity;
    std::optional<BootClock::time_point> provedAt;
};

}
