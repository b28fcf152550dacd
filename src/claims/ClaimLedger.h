#pragma once
// Keeps claims in the platform's key-value service, gathering many into one compare-and-swap.
//
// Each document has at most one write under way; operations that arrive meanwhile share the next one.
// Safety rests on the compare-and-swap alone. After a write whose fate is unknown the document is read
// again, and the attempt finds its own claim there or writes it once more on the newer revision; the
// older write can then no longer take effect.

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

/// Lives in one thread; callbacks come in that thread, each once.
class ClaimLedger : public QObject {
    Q_OBJECT
public:
    static constexpr uint32_t documentCount = 64;

    ClaimLedger(
        store::KeyValueStore& store, const LedgerLimits& limits, uint32_t writesPerSecond, QObject* parent = nullptr);

    /// Claims a call, or waits for the attempt that holds it, until @p deadline.
    void claim(const ClaimRequest& request, Deadline deadline, std::function<void(Verdict)> done);
    void finish(const ClaimRequest& request, const pb::StoredAnswer& answer);
    void lose(const ClaimRequest& request);
    void release(const ClaimRequest& request);

    /// Calls @p done when nothing is waiting to be written any more, or at @p deadline.
    void flush(Deadline deadline, std::function<void()> done);

    const LedgerCounters& counters() const
    {
        return this->count;
    }
    size_t pendingOperations() const;

private:
    enum class Kind { Claim, Finish, Lose, Release };
    struct Operation {
        Kind kind;
        ClaimRequest request;
        pb::StoredAnswer answer;
        Deadline deadline;
        std::function<void(Verdict)> done;
        Verdict verdict;
        bool written = false; ///< part of the write under way
    };
    struct Document {
        pb::ClaimDocument content;
        int64_t modRevision = 0;
        bool known = false; ///< content is what the service held at modRevision
        bool busy = false; ///< a call to the service is under way
        bool fenceNeeded = false; ///< a write of unknown fate may still arrive; bump the revision
        bool wakeScheduled = false;
        uint32_t failures = 0; ///< in a row
        uint32_t polls = 0; ///< reads in a row that changed nothing
        std::deque<Operation> waiting;
    };

    void add(Operation operation);
    void work(uint32_t number);
    void readDocument(uint32_t number);
    void writeDocument(uint32_t number, pb::ClaimDocument content);
    bool apply(pb::ClaimDocument& content, Document& document);
    void settle(Document& document, bool wasWritten);
    void expireWaiting(Document& document);
    void backOff(uint32_t number);
    void wakeLater(uint32_t number, std::chrono::milliseconds delay);
    bool takeWrite();

    store::KeyValueStore& store;
    LedgerLimits limits;
    double writesPerSecond;
    double writeTokens;
    Clock::time_point tokensAt;
    std::vector<Document> documents;
    LedgerCounters count;
};

}
