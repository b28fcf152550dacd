#pragma once
// Interfaces of the platform's key-value service. Calls are asynchronous: the event loop invokes each callback once.

#include "base/Base.h"
#include "store/Revision.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dragonfly::store {

struct KeyValue {
    std::string key;
    std::string value;
    /// Increases with each write to the key, also when the store returns from an older copy (Revision.h); 0: the key
    /// does not exist.
    int64_t modRevision = 0;
};

/// Why a call has no result, and whether it may have taken effect.
enum class StoreFailure {
    NotExecuted, ///< the call had no effect: it did not reach the service, or the service refused it
    Unknown, ///< the call may have taken effect, or may still do so
};

/// The value was written.
struct Swapped {
    int64_t modRevision; ///< of the key after the write
};

/// The revision of the key differed from the expected one.
struct Conflict {
    KeyValue current; ///< its revision is 0 if the key does not exist
};

using ReadResult = std::variant<std::vector<KeyValue>, StoreFailure>;
using SwapResult = std::variant<Swapped, Conflict, StoreFailure>;
using WriteResult = std::variant<Success, StoreFailure>;
using LeaseResult = std::variant<int64_t, StoreFailure>; ///< the id of the lease

/// A single key or a prefix to read.
struct ReadRequest {
    std::string key;
    bool isPrefix = false;
    int64_t minModRevision = 0; ///< omits pairs with a lower revision; 0: returns all
};

/// A key-value store with compare-and-swap and leases.
class KeyValueStore {
public:
    virtual ~KeyValueStore() = default;

    /// Reads all @p ranges in one call, as one snapshot.
    virtual void read(const std::vector<ReadRequest>& ranges, Deadline deadline, std::function<void(ReadResult)> done)
        = 0;
    /// Writes @p value if the revision of @p key is still @p expected (0: if the key does not exist).
    virtual void compareAndSwap(const std::string& key, int64_t expected, const std::string& value, Deadline deadline,
        std::function<void(SwapResult)> done)
        = 0;
    /// Writes @p value unconditionally. The key is removed when @p lease ends; 0: it belongs to no lease.
    virtual void put(const std::string& key, const std::string& value, int64_t lease, Deadline deadline,
        std::function<void(WriteResult)> done)
        = 0;
    virtual void remove(const std::string& key, Deadline deadline, std::function<void(WriteResult)> done) = 0;
    virtual void grantLease(std::chrono::seconds ttl, Deadline deadline, std::function<void(LeaseResult)> done) = 0;
    /// Restarts the time to live of @p lease. Fails with StoreFailure::NotExecuted if the lease has ended.
    virtual void renewLease(int64_t lease, Deadline deadline, std::function<void(LeaseResult)> done) = 0;
};

/// Some of the pairs below a prefix. Successive pages do not form a snapshot.
struct Page {
    std::vector<KeyValue> pairs;
    bool hasMore = false; ///< the next page starts after the last key of this one
    int64_t revision = 0; ///< of the whole store when the page was read
};

struct Change {
    KeyValue pair; ///< has no value if the key was removed
    bool isRemoval = false;
};

struct Changes {
    std::vector<Change> changes;
    int64_t revision = 0; ///< of the store; the next watch starts after it
    /// The store had no higher revision at this moment; the epoch if no such moment is known. Not the time at which
    /// the answer was received: changes may have been made while it was on its way.
    BootClock::time_point asOf;
};

/// The store has discarded the requested changes, or has returned from a copy that may lack some; the caller must read
/// all records again.
struct HistoryGone { };

/// The lease of a write does not exist or has expired; nothing was written.
struct LeaseLost { };

using PageResult = std::variant<Page, StoreFailure>;
using WatchResult = std::variant<Changes, HistoryGone, StoreFailure>;
using LeasedSwapResult = std::variant<Swapped, Conflict, LeaseLost, StoreFailure>;

/// The key has the expected revision.
struct Unchanged {
    std::chrono::milliseconds age { 0 }; ///< how long before the check this was last confirmed; 0: by the check itself
};

using CheckResult = std::variant<Unchanged, Conflict, HistoryGone, StoreFailure>;

/// Reads and watches records: a store, or a peer that replicates them.
class RecordSource {
public:
    virtual ~RecordSource() = default;

    /// Reads a page of the pairs below @p prefix in key order, starting after the key @p after (empty: at the first).
    virtual void readPage(
        const std::string& prefix, const std::string& after, Deadline deadline, std::function<void(PageResult)> done)
        = 0;
    /// Waits until @p waitUntil for changes below @p prefix that are newer than revision @p after, and returns as soon
    /// as there are any.
    virtual void watch(const std::string& prefix, int64_t after, Clock::time_point waitUntil, Deadline deadline,
        std::function<void(WatchResult)> done)
        = 0;
    /// Checks whether @p key still has the revision @p expected. Its value is returned only if not.
    virtual void checkRevision(
        const std::string& key, int64_t expected, Deadline deadline, std::function<void(CheckResult)> done)
        = 0;
    /// End of the latest outage that the source bridged, so that its callers saw no failed call: now while it lasts,
    /// the epoch if there was none.
    virtual Clock::time_point lastOutageEnd() const
    {
        return {};
    }
};

/// A key-value store that can be watched for changes and can attach keys to leases on compare-and-swap.
class WatchableStore : public KeyValueStore, public RecordSource {
public:
    /// Like compareAndSwap(); the key is removed when @p lease ends.
    virtual void compareAndSwapLeased(const std::string& key, int64_t expected, const std::string& value, int64_t lease,
        Deadline deadline, std::function<void(LeasedSwapResult)> done)
        = 0;
    /// Revokes @p lease and removes its keys.
    virtual void endLease(int64_t lease, Deadline deadline, std::function<void(WriteResult)> done) = 0;
};

}
