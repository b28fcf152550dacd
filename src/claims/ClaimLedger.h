#pragma once
// Keeps claims in the platform's service and batches operations on them into compare-and-swap writes.
//
// Each document has at most one write in flight; operations that arrive meanwhile share the next write.
// Safety depends on the compare-and-swap alone. After a write with an unknown outcome the document is read
// again: the attempt either finds its own claim there or adds it again on the newer revision, after which
// the earlier write can no longer take effect.

#include "claims/ClaimRules.h"
#include "store/KeyValueStore.h"

#include <QObject>
#include <deque>
#include <functional>
#include <vector>

namespace dragonfly::claims {

struct LedgerCounters {
    uint64_t granted = 0;
    uint64_t unreachable = 0;
    uint64_t writes = 0;
    uint64_t reads = 0;
    uint64_t conflicts = 0;
    uint64_t unknownWrites = 0;
    uint64_t operationsWritten = 0;
};

/// Not thread-safe: all calls and callbacks run in the thread of this object. Each callback runs exactly once.
class ClaimLedger : public QObject {
    Q_OBJECT
public:
    /// Claims are distributed over this many documents by a hash of their key.
    static constexpr uint32_t documentCount = 64;

    /// @param writesPerSecond limits the writes of all documents together
    ClaimLedger(
        store::KeyValueStore& store, const LedgerLimits& limits, uint32_t writesPerSecond, QObject* parent = nullptr);

    /// Requests the claim of a call. While another attempt holds it, waits for that attempt's outcome until
    /// @p deadline.
    void claim(const ClaimRequest& request, Deadline deadline, std::function<void(Verdict)> done);
    /// Stores the answer of a call whose claim @p request holds, to be returned to repeats of the call.
    void recordAnswer(const ClaimRequest& request, const pb::StoredAnswer& answer);
    /// Records that the outcome of a call whose claim @p request holds is unknown; the key stays claimed.
    void markLost(const ClaimRequest& request);
    /// Frees the key of a call that is known not to have run.
    void release(const ClaimRequest& request);

    /// Calls @p done as soon as all pending operations are written, or at @p deadline.
    void flush(Deadline deadline, std::function<void()> done);

    const LedgerCounters& counters() const
    {
        return this->count;
    }
    size_t pendingOperations() const;

private:
    enum class Kind { Claim, RecordAnswer, MarkLost, Release };
    struct Operation {
        Kind kind;
        ClaimRequest request;
        pb::StoredAnswer answer;
        Deadline deadline;
        std::function<void(Verdict)> done;
        Verdict verdict;
        bool applied = false; ///< its effect is part of the content that is being written
    };
    struct Document {
        pb::ClaimDocument content;
        int64_t modRevision = 0;
        bool contentValid = false; ///< content is what the service held at modRevision; otherwise it must be read
        bool callInFlight = false; ///< a read or write of this document is in flight
        /// A write with an unknown outcome may still take effect; another write must raise the revision to prevent
        /// that.
        bool fencingWriteNeeded = false;
        bool processingScheduled = false;
        uint32_t consecutiveFailures = 0;
        uint32_t consecutivePolls = 0; ///< reads after which there was nothing to write
        std::deque<Operation> waiting;
    };

    void enqueue(Operation operation);
    void processDocument(uint32_t index);
    void readDocument(uint32_t index);
    void writeDocument(uint32_t index, pb::ClaimDocument content);
    bool applyOperations(pb::ClaimDocument& content, Document& document);
    void completeOperations(Document& document, bool wasWritten);
    void expireWaiting(Document& document);
    void backOff(uint32_t index);
    void scheduleProcessing(uint32_t index, std::chrono::milliseconds delay);
    bool tryAcquireWriteToken();

    store::KeyValueStore& store;
    LedgerLimits limits;
    double writesPerSecond;
    double writeTokens;
    Clock::time_point tokensUpdatedAt;
    std::vector<Document> documents;
    LedgerCounters count;
};

}
