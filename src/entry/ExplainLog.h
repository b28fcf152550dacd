#pragma once
// The most recent requests of an instance and how they were routed, for `dragonflyctl explain`.

#include "base/Base.h"
#include "routing/Policy.h"

#include <deque>
#include <mutex>
#include <optional>
#include <vector>

namespace dragonfly::entry {

struct AttemptRecord {
    std::string target;
    routing::Reach reach;
    routing::Reason reason;
    size_t candidates = 0;
    uint32_t estimatedCachedTokens = 0;
    std::chrono::microseconds expectedFirstToken { 0 };
    std::chrono::microseconds firstToken { 0 }; ///< 0 when no token was received
    std::string outcome; ///< "answered", or the reason for the failure
};

struct Explanation {
    std::string requestId;
    std::string organisation;
    std::string route;
    uint64_t configRevision = 0;
    WallClock::time_point started;
    std::chrono::microseconds took { 0 };
    uint32_t promptTokens = 0;
    uint32_t cachedTokens = 0;
    uint32_t completionTokens = 0;
    std::vector<AttemptRecord> attempts;
    std::string outcome;
};

/// A bounded log of explanations that drops the oldest when full. Thread-safe.
class ExplainLog {
public:
    void add(Explanation explanation);
    std::optional<Explanation> find(std::string_view requestId) const;

private:
    mutable std::mutex mutex;
    std::deque<Explanation> explanations; ///< guarded by mutex
};

}
