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

/// What is known of where a stream began.
struct Evidence {
    std::string version;
    /// No later record can say otherwise. A request that was sent to one version may have been sent to another one
    /// since.
    bool isDecisive = false;
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
    /// Where @p stream began by the evidence; nothing if there is none or it disagrees.
    std::optional<Evidence> evidenceOf(StreamId stream) const;

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
