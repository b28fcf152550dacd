#pragma once
// The platform's key-value service, as an interface. Calls answer from the event loop, each once.

#include "base/Base.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dragonfly::platform {

struct KeyValue {
    std::string key;
    std::string value;
    int64_t modRevision = 0; ///< grows with each write to the key; 0 means that there is no such key
};

/// Why a call gave no answer.
enum class StoreFailure {
    NotDone, ///< the call did not reach the service, or the service refused it
    Unknown, ///< the call may have taken effect, now or later
};

struct Swapped {
    int64_t modRevision;
};

/// The key had another revision than expected; this is what it holds now.
struct Conflict {
    KeyValue current;
};

using ReadResult = std::variant<std::vector<KeyValue>, StoreFailure>;
using SwapResult = std::variant<Swapped, Conflict, StoreFailure>;
using WriteResult = std::variant<Success, StoreFailure>;
using LeaseResult = std::variant<int64_t, StoreFailure>;

/// Prefixes and single keys to be read in one call.
struct ReadRequest {
    std::string key;
    bool isPrefix = false;
    int64_t leastModRevision = 0; ///< leave out what was last written before
};

class KeyValueStore {
public:
    virtual ~KeyValueStore() = default;

    /// Reads several ranges in one call, as of one moment.
    virtual void read(const std::vector<ReadRequest>& ranges, Deadline deadline, std::function<void(ReadResult)> done)
        = 0;
    /// Writes @p value if the key's revision is still @p expected (0: if there is no such key).
    virtual void compareAndSwap(const std::string& key, int64_t expected, const std::string& value, Deadline deadline,
        std::function<void(SwapResult)> done)
        = 0;
    virtual void put(const std::string& key, const std::string& value, int64_t lease, Deadline deadline,
        std::function<void(WriteResult)> done)
        = 0;
    virtual void remove(const std::string& key, Deadline deadline, std::function<void(WriteResult)> done) = 0;
    virtual void grantLease(std::chrono::seconds life, Deadline deadline, std::function<void(LeaseResult)> done) = 0;
    virtual void keepLease(int64_t lease, Deadline deadline, std::function<void(LeaseResult)> done) = 0;
};

}
