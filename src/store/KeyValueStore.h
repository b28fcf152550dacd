#pragma once
// The platform's key-value service, as interfaces. Calls answer from the event loop, each once.

#include "base/Base.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dragonfly::store {

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

/// What any key-value service with compare-and-swap and leases offers.
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

/// Part of the pairs below a prefix. Pages are read one after the other and are no snapshot.
struct Page {
    std::vector<KeyValue> pairs;
    bool hasMore = false; ///< continue behind the last key
    int64_t revision = 0; ///< of the whole service when the page was read
};

struct Change {
    KeyValue pair; ///< without a value when the key was removed
    bool isRemoval = false;
};

struct Changes {
    std::vector<Change> changes;
    int64_t revision = 0; ///< continue behind this one
};

/// The changes asked for have been discarded: read everything anew.
struct HistoryGone { };

struct LeaseLost { };

using PageResult = std::variant<Page, StoreFailure>;
using WatchResult = std::variant<Changes, HistoryGone, StoreFailure>;
using LeasedSwapResult = std::variant<Swapped, Conflict, LeaseLost, StoreFailure>;
/// The key's revision is the expected one, or was so @p age before the check was asked for.
struct Unchanged {
    std::chrono::milliseconds age { 0 };
};

/// Unchanged, or what the key holds now.
using CheckResult = std::variant<Unchanged, Conflict, StoreFailure>;

/// Where the records are read and followed: the service itself, or something that knows them.
class RecordSource {
public:
    virtual ~RecordSource() = default;

    /// Reads pairs below @p prefix, in the order of their keys, behind the key @p after.
    virtual void readPage(
        const std::string& prefix, const std::string& after, Deadline deadline, std::function<void(PageResult)> done)
        = 0;
    /// Waits until a key below @p prefix has changed behind revision @p after, or until @p waitUntil at the latest.
    virtual void watch(const std::string& prefix, int64_t after, Clock::time_point waitUntil, Deadline deadline,
        std::function<void(WatchResult)> done)
        = 0;
    /// Asks whether @p key still has the revision @p expected, without reading its value when it has.
    virtual void checkRevision(
        const std::string& key, int64_t expected, Deadline deadline, std::function<void(CheckResult)> done)
        = 0;
};

/// A service that also tells of changes.
class WatchableStore : public KeyValueStore, public RecordSource {
public:
    /// As compareAndSwap(); the key goes when @p lease ends.
    virtual void compareAndSwapLeased(const std::string& key, int64_t expected, const std::string& value, int64_t lease,
        Deadline deadline, std::function<void(LeasedSwapResult)> done)
        = 0;
    /// Ends @p lease and removes its keys.
    virtual void endLease(int64_t lease, Deadline deadline, std::function<void(WriteResult)> done) = 0;
};

}
