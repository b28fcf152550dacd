#include "claims/ClaimLedger.h"

#include <QRandomGenerator>
#include <QTimer>
#include <algorithm>

namespace dragonfly::claims {

namespace {

    constexpr std::chrono::milliseconds callTime { 1000 };
    constexpr std::chrono::milliseconds writePause { 20 };
    constexpr std::chrono::milliseconds firstBackoff { 50 };
    constexpr std::chrono::milliseconds longestBackoff { 2000 };
    constexpr std::chrono::milliseconds firstPoll { 50 };
    constexpr std::chrono::milliseconds longestPoll { 1000 };
    constexpr std::chrono::hours noDeadline { 24 * 365 };

    std::string documentKey(uint32_t number)
    {
        return "dragonfly/claims/" + std::to_string(number);
    }

    /// Full jitter: a random time below a bound that doubles with each failure.
    std::chrono::milliseconds jittered(
        std::chrono::milliseconds first, std::chrono::milliseconds longest, uint32_t step)
    {
        const auto bound = std::min(longest, first * (1 << std::min(step, 10u)));
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
    , tokensAt(Clock::now())
    , documents(documentCount)
{
}

void ClaimLedger::claim(const ClaimRequest& request, Deadline deadline, std::function<void(Verdict)> done)
{
    this->add({ Kind::Claim, request, {}, deadline, std::move(done), Unreachable {}, false });
}

void ClaimLedger::finish(const ClaimRequest& request, const pb::StoredAnswer& answer)
{
    this->add({ Kind::Finish, request, answer, Clock::now() + noDeadline, {}, Granted {}, false });
}

void ClaimLedger::lose(const ClaimRequest& request)
{
    this->add({ Kind::Lose, request, {}, Clock::now() + noDeadline, {}, Granted {}, false });
}

void ClaimLedger::release(const ClaimRequest& request)
{
    this->add({ Kind::Release, request, {}, Clock::now() + noDeadline, {}, Granted {}, false });
}

void ClaimLedger::add(Operation operation)
{
    const auto number = documentOf(operation.request.key, documentCount);
    if (operation.kind == Kind::Claim) {
        const auto deadline = operation.deadline;
        QTimer::singleShot(
            remaining(deadline, Clock::now()), this, [this, number] { this->expireWaiting(this->documents[number]); });
    }
    this->documents[number].waiting.push_back(std::move(operation));
    this->wakeLater(number, std::chrono::milliseconds(0));
}

void ClaimLedger::wakeLater(uint32_t number, std::chrono::milliseconds delay)
{
    auto& document = this->documents[number];
    if (document.wakeScheduled && delay.count())
        return;
    document.wakeScheduled = true;
    QTimer::singleShot(delay, this, [this, number] {
        this->documents[number].wakeScheduled = false;
        this->work(number);
    });
}

bool ClaimLedger::takeWrite()
{
    const auto now = Clock::now();
    const std::chrono::duration<double> passed = now - this->tokensAt;
    this->tokensAt = now;
    this->writeTokens = std::min(this->writesPerSecond, this->writeTokens + passed.count() * this->writesPerSecond);
    if (this->writeTokens < 1)
        return false;
    this->writeTokens -= 1;
    return true;
}

/// Moves one document on: reads it when it is not known, else writes what is waiting.
void ClaimLedger::work(uint32_t number)
{
    auto& document = this->documents[number];
    this->expireWaiting(document);
    if (document.busy || (document.waiting.empty() && !document.fenceNeeded))
        return;
    if (!document.known) {
        this->readDocument(number);
        return;
    }
    auto content = document.content;
    const bool changed = this->apply(content, document);
    if (!changed && !document.fenceNeeded) {
        this->settle(document, false);
        if (!document.waiting.empty()) {
            // What is left waits for an attempt elsewhere; look again at what the service holds.
            document.known = false;
            this->wakeLater(number, jittered(firstPoll, longestPoll, document.polls++));
        }
        return;
    }
    if (!this->takeWrite()) {
        this->wakeLater(number, writePause);
        return;
    }
    expireFinished(content, this->limits, WallClock::now());
    this->writeDocument(number, std::move(content));
}

/// Applies every waiting operation to @p content and notes its verdict. True when the content changed.
bool ClaimLedger::apply(pb::ClaimDocument& content, Document& document)
{
    bool changed = false;
    for (auto& operation : document.waiting) {
        const auto& request = operation.request;
        operation.written = true;
        switch (operation.kind) {
        case Kind::Claim: {
            const auto before = content.claims_size();
            operation.verdict = addClaim(content, request, this->limits);
            changed |= content.claims_size() != before;
            break;
        }
        case Kind::Finish:
            changed |= finishClaim(content, request.key, request.attempt, operation.answer, WallClock::now());
            break;
        case Kind::Lose:
            changed |= loseClaim(content, request.key, request.attempt);
            break;
        case Kind::Release:
            changed |= releaseClaim(content, request.key, request.attempt);
            break;
        }
    }
    return changed;
}

/// Answers the operations whose verdict rests on what the service is known to hold.
void ClaimLedger::settle(Document& document, bool wasWritten)
{
    std::vector<std::pair<std::function<void(Verdict)>, Verdict>> answers;
    std::deque<Operation> left;
    for (auto& operation : document.waiting) {
        const bool waitsForOther = std::holds_alternative<InProgress>(operation.verdict);
        if (!operation.written || waitsForOther) {
            operation.written = false;
            left.push_back(std::move(operation));
            continue;
        }
        this->count.operationsWritten += wasWritten;
        if (operation.kind != Kind::Claim)
            continue;
        this->count.granted += std::holds_alternative<Granted>(operation.verdict);
        answers.emplace_back(std::move(operation.done), std::move(operation.verdict));
    }
    document.waiting = std::move(left);
    for (auto& [done, verdict] : answers)
        done(std::move(verdict));
}

void ClaimLedger::readDocument(uint32_t number)
{
    auto& document = this->documents[number];
    document.busy = true;
    ++this->count.reads;
    this->store.read({ { documentKey(number) } }, Clock::now() + callTime, [this, number](store::ReadResult result) {
        auto& document = this->documents[number];
        document.busy = false;
        const auto* found = std::get_if<std::vector<store::KeyValue>>(&result);
        if (!found) {
            this->backOff(number);
            return;
        }
        document.failures = 0;
        document.known = true;
        document.modRevision = found->empty() ? 0 : found->front().modRevision;
        document.content.Clear();
        if (!found->empty() && !document.content.ParseFromString(found->front().value))
            document.known = false;
        this->work(number);
    });
}

void ClaimLedger::writeDocument(uint32_t number, pb::ClaimDocument content)
{
    auto& document = this->documents[number];
    document.busy = true;
    ++this->count.writes;
    auto bytes = content.SerializeAsString();
    this->store.compareAndSwap(documentKey(number), document.modRevision, bytes, Clock::now() + callTime,
        [this, number, content = std::move(content)](store::SwapResult result) mutable {
            auto& document = this->documents[number];
            document.busy = false;
            if (const auto* swapped = std::get_if<store::Swapped>(&result)) {
                document.modRevision = swapped->modRevision;
                document.content = std::move(content);
                document.failures = 0;
                document.polls = 0;
                document.fenceNeeded = false;
                this->settle(document, true);
            } else if (const auto* conflict = std::get_if<store::Conflict>(&result)) {
                ++this->count.conflicts;
                // Whatever was sent on an older revision can no longer take effect.
                document.fenceNeeded = false;
                document.modRevision = conflict->current.modRevision;
                document.known = document.content.ParseFromString(conflict->current.value);
            } else {
                const bool unknown = std::get<store::StoreFailure>(result) == store::StoreFailure::Unknown;
                this->count.unknownWrites += unknown;
                document.fenceNeeded |= unknown;
                this->backOff(number);
                return;
            }
            this->wakeLater(number, std::chrono::milliseconds(0));
        });
}

void ClaimLedger::backOff(uint32_t number)
{
    auto& document = this->documents[number];
    document.known = false;
    for (auto& operation : document.waiting)
        operation.written = false;
    this->expireWaiting(document);
    this->wakeLater(number, jittered(firstBackoff, longestBackoff, document.failures++));
}

/// Gives up the claims whose deadline has passed. One that a write under way may still grant is released.
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
        const bool waitedForOther = std::holds_alternative<InProgress>(operation.verdict);
        if (!waitedForOther)
            this->release(operation.request);
        this->count.unreachable += !waitedForOther;
        operation.done(waitedForOther ? Verdict(InProgress {}) : Verdict(Unreachable {}));
    }
}

void ClaimLedger::flush(Deadline deadline, std::function<void()> done)
{
    if (!this->pendingOperations() || Clock::now() >= deadline) {
        done();
        return;
    }
    QTimer::singleShot(writePause, this, [this, deadline, done = std::move(done)] { this->flush(deadline, done); });
}

size_t ClaimLedger::pendingOperations() const
{
    size_t pending = 0;
    for (const auto& document : this->documents)
        pending += document.waiting.size() + document.fenceNeeded;
    return pending;
}

}
