#include "claims/ClaimLedger.h"

#include <QRandomGenerator>
#include <QTimer>
#include <algorithm>

namespace dragonfly::claims {

namespace {

    constexpr std::chrono::milliseconds callTimeout { 1000 };
    /// Interval at which an exhausted write budget and the progress of flush() are checked again.
    constexpr std::chrono::milliseconds recheckInterval { 20 };
    constexpr std::chrono::milliseconds initialBackoff { 50 };
    constexpr std::chrono::milliseconds maxBackoff { 2000 };
    /// Between reads of a document whose remaining claims are held by other attempts.
    constexpr std::chrono::milliseconds initialPollInterval { 50 };
    constexpr std::chrono::milliseconds maxPollInterval { 1000 };
    /// Outcomes and releases are retried until they are written.
    constexpr std::chrono::hours noDeadline { 24 * 365 };

    std::string documentKey(uint32_t index)
    {
        return "dragonfly/claims/" + std::to_string(index);
    }

    /// Full jitter: a random duration up to a bound that doubles with each @p step, from @p initial to @p max.
    std::chrono::milliseconds backoffWithJitter(
        std::chrono::milliseconds initial, std::chrono::milliseconds max, uint32_t step)
    {
        const auto bound = std::min(max, initial * (1 << std::min(step, 10u)));
        return std::chrono::milliseconds(QRandomGenerator::global()->bounded(static_cast<int>(bound.count())) + 1);
    }

}

ClaimLedger::ClaimLedger(
    store::KeyValueStore& store, const LedgerLimits& limits, uint32_t writesPerSecond, QObject* parent)
    : QObject(parent)
    , store(store)
    , limits(limits)
    , writesPerSecond(writesPerSecond)
    , writeTokens(writesPerSecond)
    , tokensUpdatedAt(Clock::now())
    , documents(documentCount)
{
}

void ClaimLedger::claim(const ClaimRequest& request, Deadline deadline, std::function<void(Verdict)> done)
{
    this->enqueue({ Kind::Claim, request, {}, deadline, std::move(done), Unreachable {}, false });
}

void ClaimLedger::recordAnswer(const ClaimRequest& request, const pb::StoredAnswer& answer)
{
    this->enqueue({ Kind::RecordAnswer, request, answer, Clock::now() + noDeadline, {}, Granted {}, false });
}

void ClaimLedger::markLost(const ClaimRequest& request)
{
    this->enqueue({ Kind::MarkLost, request, {}, Clock::now() + noDeadline, {}, Granted {}, false });
}

void ClaimLedger::release(const ClaimRequest& request)
{
    this->enqueue({ Kind::Release, request, {}, Clock::now() + noDeadline, {}, Granted {}, false });
}

void ClaimLedger::enqueue(Operation operation)
{
    const auto index = documentIndexOf(operation.request.key, documentCount);
    if (operation.kind == Kind::Claim) {
        const auto deadline = operation.deadline;
        QTimer::singleShot(
            remaining(deadline, Clock::now()), this, [this, index] { this->expireWaiting(this->documents[index]); });
    }
    this->documents[index].waiting.push_back(std::move(operation));
    this->scheduleProcessing(index, std::chrono::milliseconds(0));
}

void ClaimLedger::scheduleProcessing(uint32_t index, std::chrono::milliseconds delay)
{
    auto& document = this->documents[index];
    if (document.processingScheduled && delay.count())
        return;
    document.processingScheduled = true;
    QTimer::singleShot(delay, this, [this, index] {
        this->documents[index].processingScheduled = false;
        this->processDocument(index);
    });
}

bool ClaimLedger::tryAcquireWriteToken()
{
    const auto now = Clock::now();
    const std::chrono::duration<double> passed = now - this->tokensUpdatedAt;
    this->tokensUpdatedAt = now;
    this->writeTokens = std::min(this->writesPerSecond, this->writeTokens + passed.count() * this->writesPerSecond);
    if (this->writeTokens < 1)
        return false;
    this->writeTokens -= 1;
    return true;
}

/// Reads the document if its content is not valid, otherwise writes the waiting operations.
void ClaimLedger::processDocument(uint32_t index)
{
    auto& document = this->documents[index];
    this->expireWaiting(document);
    if (document.callInFlight || (document.waiting.empty() && !document.fencingWriteNeeded))
        return;
    if (!document.contentValid) {
        this->readDocument(index);
        return;
    }
    auto content = document.content;
    const bool changed = this->applyOperations(content, document);
    if (!changed && !document.fencingWriteNeeded) {
        this->completeOperations(document, false);
        if (!document.waiting.empty()) {
            // The remaining claims are held by other attempts: read the document again later.
            document.contentValid = false;
            this->scheduleProcessing(
                index, backoffWithJitter(initialPollInterval, maxPollInterval, document.consecutivePolls++));
        }
        return;
    }
    if (!this->tryAcquireWriteToken()) {
        this->scheduleProcessing(index, recheckInterval);
        return;
    }
    expireFinished(content, this->limits, WallClock::now());
    this->writeDocument(index, std::move(content));
}

/// Applies every waiting operation to @p content and stores its verdict. Returns whether the content changed.
bool ClaimLedger::applyOperations(pb::ClaimDocument& content, Document& document)
{
    bool changed = false;
    for (auto& operation : document.waiting) {
        const auto& request = operation.request;
        operation.applied = true;
        switch (operation.kind) {
        case Kind::Claim: {
            const auto before = content.claims_size();
            operation.verdict = addClaim(content, request, this->limits);
            changed |= content.claims_size() != before;
            break;
        }
        case Kind::RecordAnswer:
            changed |= recordClaimAnswer(content, request.key, request.attempt, operation.answer, WallClock::now());
            break;
        case Kind::MarkLost:
            changed |= markClaimLost(content, request.key, request.attempt);
            break;
        case Kind::Release:
            changed |= releaseClaim(content, request.key, request.attempt);
            break;
        }
    }
    return changed;
}

/// Completes the operations whose effect is stored in the platform's service. Claims held by other attempts keep
/// waiting.
void ClaimLedger::completeOperations(Document& document, bool wasWritten)
{
    std::vector<std::pair<std::function<void(Verdict)>, Verdict>> completed;
    std::deque<Operation> stillWaiting;
    for (auto& operation : document.waiting) {
        const bool isHeldByOther = std::holds_alternative<InProgress>(operation.verdict);
        if (!operation.applied || isHeldByOther) {
            operation.applied = false;
            stillWaiting.push_back(std::move(operation));
            continue;
        }
        this->count.operationsWritten += wasWritten;
        if (operation.kind != Kind::Claim)
            continue;
        this->count.granted += std::holds_alternative<Granted>(operation.verdict);
        completed.emplace_back(std::move(operation.done), std::move(operation.verdict));
    }
    document.waiting = std::move(stillWaiting);
    for (auto& [done, verdict] : completed)
        done(std::move(verdict));
}

void ClaimLedger::readDocument(uint32_t index)
{
    auto& document = this->documents[index];
    document.callInFlight = true;
    ++this->count.reads;
    this->store.read({ { documentKey(index) } }, Clock::now() + callTimeout, [this, index](store::ReadResult result) {
        auto& document = this->documents[index];
        document.callInFlight = false;
        const auto* found = std::get_if<std::vector<store::KeyValue>>(&result);
        if (!found) {
            this->backOff(index);
            return;
        }
        document.consecutiveFailures = 0;
        document.contentValid = true;
        document.modRevision = found->empty() ? 0 : found->front().modRevision;
        document.content.Clear();
        if (!found->empty() && !document.content.ParseFromString(found->front().value))
            document.contentValid = false;
        this->processDocument(index);
    });
}

void ClaimLedger::writeDocument(uint32_t index, pb::ClaimDocument content)
{
    auto& document = this->documents[index];
    document.callInFlight = true;
    ++this->count.writes;
    auto bytes = content.SerializeAsString();
    this->store.compareAndSwap(documentKey(index), document.modRevision, bytes, Clock::now() + callTimeout,
        [this, index, content = std::move(content)](store::SwapResult result) mutable {
            auto& document = this->documents[index];
            document.callInFlight = false;
            if (const auto* swapped = std::get_if<store::Swapped>(&result)) {
                document.modRevision = swapped->modRevision;
                document.content = std::move(content);
                document.consecutiveFailures = 0;
                document.consecutivePolls = 0;
                document.fencingWriteNeeded = false;
                this->completeOperations(document, true);
            } else if (const auto* conflict = std::get_if<store::Conflict>(&result)) {
                ++this->count.conflicts;
                // Earlier writes expected an older revision and can no longer take effect.
                document.fencingWriteNeeded = false;
                document.modRevision = conflict->current.modRevision;
                document.contentValid = document.content.ParseFromString(conflict->current.value);
            } else {
                const bool unknown = std::get<store::StoreFailure>(result) == store::StoreFailure::Unknown;
                this->count.unknownWrites += unknown;
                document.fencingWriteNeeded |= unknown;
                this->backOff(index);
                return;
            }
            this->scheduleProcessing(index, std::chrono::milliseconds(0));
        });
}

void ClaimLedger::backOff(uint32_t index)
{
    auto& document = this->documents[index];
    document.contentValid = false;
    for (auto& operation : document.waiting)
        operation.applied = false;
    this->expireWaiting(document);
    this->scheduleProcessing(index, backoffWithJitter(initialBackoff, maxBackoff, document.consecutiveFailures++));
}

/// Fails the claims whose deadline has passed and releases those that a write in flight may still grant.
void ClaimLedger::expireWaiting(Document& document)
{
    const auto now = Clock::now();
    std::vector<Operation> expired;
    for (auto& operation : document.waiting) {
        if (operation.deadline <= now)
            expired.push_back(std::move(operation));
    }
    std::erase_if(document.waiting, [now](const Operation& operation) { return operation.deadline <= now; });
    for (auto& operation : expired) {
        const bool wasHeldByOther = std::holds_alternative<InProgress>(operation.verdict);
        if (!wasHeldByOther)
            this->release(operation.request);
        this->count.unreachable += !wasHeldByOther;
        operation.done(wasHeldByOther ? Verdict(InProgress {}) : Verdict(Unreachable {}));
    }
}

void ClaimLedger::flush(Deadline deadline, std::function<void()> done)
{
    if (!this->pendingOperations() || Clock::now() >= deadline) {
        done();
        return;
    }
    QTimer::singleShot(
        recheckInterval, this, [this, deadline, done = std::move(done)] { this->flush(deadline, done); });
}

size_t ClaimLedger::pendingOperations() const
{
    size_t pending = 0;
    for (const auto& document : this->documents)
        pending += document.waiting.size() + document.fencingWriteNeeded;
    return pending;
}

}
