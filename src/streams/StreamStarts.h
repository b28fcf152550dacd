#pragma once
// At which software version streams began: those of this instance, and those that other instances have recorded.

#include "base/Base.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonfly::streams {

/// Hash of a request that began a stream and of the organisation that sent it.
using StreamId = uint64_t;

/// @param organisation empty for an anonymous request
StreamId streamIdOf(const std::string& organisation, const std::string& requestId);

/// Evidence of the version at which a stream began.
struct StreamStart {
    StreamId stream = 0;
    std::string version;
    bool isBegun = false; ///< the stream's first event came from there; otherwise it was sent there and may begin there
};

/// The form in which instances store them.
std::string encodeStarts(const std::vector<StreamStart>& starts);
/// Nothing if @p bytes are no such record, or one that is larger than any instance writes.
std::optional<std::vector<StreamStart>> decodeStarts(const std::string& bytes);

class StreamStarts {
public:
    std::function<std::chrono::milliseconds()> retention; ///< how long after its start a stream may be resumed

    void add(const std::string& service, StreamStart start, Clock::time_point now);
    /// The starts of this instance at @p service that are not older than the retention.
    std::vector<StreamStart> recent(const std::string& service, Clock::time_point now) const;
    /// Replaces what the record @p key said.
    void applyRecord(const std::string& key, std::vector<StreamStart> starts, Clock::time_point now);
    void removeRecord(const std::string& key)
    {
        this->records.erase(key);
    }
    /// The version at which @p stream began; nothing if that is not known or the evidence disagrees.
    std::optional<std::string> versionOf(StreamId stream) const;

private:
    struct OwnStart {
        std::string service;
        StreamStart start;
        Clock::time_point addedAt;
    };
    struct Record {
        std::vector<StreamStart> starts;
        Clock::time_point receivedAt;
    };

    void expire(Clock::time_point now);

    std::deque<OwnStart> own; ///< oldest first
    std::map<std::string, Record> records; ///< of other instances and of earlier processes, by key
    Clock::time_point nextExpiry; ///< when expired records are dropped next
};

}
