// ClaimLedger with a store whose answers come late or are lost, also after a write has taken effect. At most one
// attempt may be granted a key, in any order of events.

#include "claims/Claims.h"
#include "tests/support/Site.h"

#include <QTimer>
#include <criterion/criterion.h>
#include <map>
#include <random>
#include <set>

using namespace testing;
using namespace std::chrono_literals;
using namespace dragonfly;

namespace {

/// A store whose calls take effect and answer after random delays. Requests and answers are lost at random.
class UnreliableStore : public store::KeyValueStore {
public:
    explicit UnreliableStore(uint32_t seed, double lossShare)
        : random(seed)
        , lossShare(lossShare)
    {
    }

    void read(
        const std::vector<store::ReadRequest>& ranges, Deadline, std::function<void(store::ReadResult)> done) override
    {
        this->runSoon([this, key = ranges.front().key, done] {
            if (this->drawLoss()) {
                done(store::StoreFailure::Unknown);
                return;
            }
            std::vector<store::KeyValue> found;
            if (this->values.contains(key))
                found.push_back(this->values[key]);
            this->runSoon([done, found] { done(found); });
        });
    }

    void compareAndSwap(const std::string& key, int64_t expected, const std::string& value, Deadline,
        std::function<void(store::SwapResult)> done) override
    {
        if (this->drawLoss()) {
            // The caller's call fails before the write arrives, if it arrives at all.
            this->runSoon([done] { done(store::StoreFailure::Unknown); });
            if (!this->drawLoss())
                this->runLate([this, key, expected, value] { this->swap(key, expected, value); });
            return;
        }
        this->runSoon([this, key, expected, value, done] {
            const auto result = this->swap(key, expected, value);
            if (this->drawLoss())
                done(store::StoreFailure::Unknown);
            else
                this->runSoon([done, result] { done(result); });
        });
    }

    void put(
        const std::string&, const std::string&, int64_t, Deadline, std::function<void(store::WriteResult)>) override
    {
    }
    void remove(const std::string&, Deadline, std::function<void(store::WriteResult)>) override
    {
    }
    void grantLease(std::chrono::seconds, Deadline, std::function<void(store::LeaseResult)>) override
    {
    }
    void renewLease(int64_t, Deadline, std::function<void(store::LeaseResult)>) override
    {
    }

    uint64_t swaps = 0;

private:
    bool drawLoss()
    {
        return std::uniform_real_distribution<>(0, 1)(this->random) < this->lossShare;
    }

    template <typename Work> void runSoon(Work work)
    {
        QTimer::singleShot(static_cast<int>(this->random() % 6), &this->context, work);
    }

    template <typename Work> void runLate(Work work)
    {
        QTimer::singleShot(static_cast<int>(20 + this->random() % 200), &this->context, work);
    }

    store::SwapResult swap(const std::string& key, int64_t expected, const std::string& value)
    {
        ++this->swaps;
        auto& stored = this->values[key];
        if (stored.modRevision != expected)
            return store::Conflict { stored };
        stored = { key, value, ++this->revision };
        return store::Swapped { this->revision };
    }

    QObject context; ///< cancels pending timers when the store is destroyed
    std::mt19937 random;
    double lossShare;
    std::map<std::string, store::KeyValue> values;
    int64_t revision = 0;
};

claims::ClaimRequest requestFor(const std::string& key, const std::string& attempt)
{
    return { claims::claimKey("organisation", "route", key), claims::requestDigest("POST /", "body"),
        sha256(attempt).substr(0, 16) };
}

/// Several ledgers claim the same keys, release some claims and record answers of others, while the store loses
/// calls.
void runRandomFaults(uint32_t seed, double lossShare)
{
    constexpr int keys = 12;
    constexpr int rounds = 4;
    UnreliableStore store(seed, lossShare);
    std::vector<std::unique_ptr<claims::ClaimLedger>> ledgers;
    for (int i = 0; i < 3; ++i)
        ledgers.push_back(std::make_unique<claims::ClaimLedger>(store, claims::LedgerLimits {}, 1000));
    std::mt19937 random(seed);
    std::map<std::string, std::set<std::string>> holders; // granted attempts that did not release their key
    int pending = 0;
    for (int round = 0; round < rounds; ++round) {
        for (int key = 0; key < keys; ++key) {
            for (size_t ledger = 0; ledger < ledgers.size(); ++ledger) {
                const auto name = "key-" + std::to_string(key);
                const auto attempt = name + "/" + std::to_string(ledger) + "/" + std::to_string(round);
                const auto request = requestFor(name, attempt);
                const bool runs = random() % 3;
                ++pending;
                ledgers[ledger]->claim(request, Clock::now() + std::chrono::milliseconds(100 + random() % 900),
                    [&, ledger, name, attempt, request, runs](const claims::Verdict& verdict) {
                        --pending;
                        if (!std::holds_alternative<claims::Granted>(verdict))
                            return;
                        if (!runs) {
                            ledgers[ledger]->release(request);
                            return;
                        }
                        holders[name].insert(attempt);
                        pb::StoredAnswer answer;
                        answer.set_status(200);
                        answer.set_body(attempt);
                        ledgers[ledger]->recordAnswer(request, answer);
                    });
            }
        }
        runFor(std::chrono::milliseconds(random() % 200));
    }
    cr_assert(waitUntil([&] { return !pending; }, 10s), "seed %u: %d claims were never answered", seed, pending);
    for (const auto& [key, attempts] : holders)
        cr_assert_leq(
            attempts.size(), 1, "seed %u: %s was granted to %zu attempts", seed, key.c_str(), attempts.size());
}

}

Test(claimLedger, randomLossesGrantEachKeyAtMostOnce, .timeout = 120)
{
    const Application application;
    for (uint32_t seed = 1; seed <= 12; ++seed)
        runRandomFaults(seed, seed % 2 ? 0.1 : 0.4);
}

Test(claimLedger, batchesManyClaimsIntoFewWrites, .timeout = 60)
{
    const Application application;
    UnreliableStore store(1, 0);
    claims::ClaimLedger ledger(store, claims::LedgerLimits {}, 1000);
    constexpr int count = 2000;
    int granted = 0;
    for (int i = 0; i < count; ++i) {
        ledger.claim(requestFor("key-" + std::to_string(i), "a-" + std::to_string(i)), Clock::now() + 10s,
            [&](const claims::Verdict& verdict) { granted += std::holds_alternative<claims::Granted>(verdict); });
    }
    cr_assert(waitUntil([&] { return granted == count; }, 10s));
    cr_assert_leq(ledger.counters().writes, 3 * claims::ClaimLedger::documentCount);
}

Test(claimLedger, onlyFinishedClaimsExpire)
{
    pb::ClaimDocument document;
    const auto held = requestFor("held", "a");
    const auto done = requestFor("done", "b");
    const claims::LedgerLimits limits;
    cr_assert(std::holds_alternative<claims::Granted>(claims::addClaim(document, held, limits)));
    cr_assert(std::holds_alternative<claims::Granted>(claims::addClaim(document, done, limits)));
    const auto now = WallClock::now();
    cr_assert(claims::recordClaimAnswer(document, done.key, done.attempt, {}, now));
    cr_assert_eq(claims::expireFinished(document, limits, now + limits.retention - 1s), 0);
    cr_assert_eq(claims::expireFinished(document, limits, now + limits.retention + 1s), 1);
    cr_assert_eq(claims::expireFinished(document, limits, now + std::chrono::hours(24 * 365)), 0);
    const auto other = requestFor("held", "c");
    cr_assert(std::holds_alternative<claims::InProgress>(claims::addClaim(document, other, limits)));
    cr_assert(
        !claims::releaseClaim(document, other.key, other.attempt), "released by an attempt that does not hold it");
    cr_assert(claims::markClaimLost(document, held.key, held.attempt));
    cr_assert(std::holds_alternative<claims::Lost>(claims::addClaim(document, other, limits)));
}

Test(claimLedger, fullDocumentRejectsClaims)
{
    pb::ClaimDocument document;
    claims::LedgerLimits limits;
    limits.documentBytes = limits.answerBytes + 200;
    int granted = 0;
    while (std::holds_alternative<claims::Granted>(
        claims::addClaim(document, requestFor(std::to_string(granted), std::to_string(granted)), limits)))
        ++granted;
    cr_assert_gt(granted, 0);
    cr_assert_leq(document.ByteSizeLong() + limits.answerBytes, limits.documentBytes + 100);
}
