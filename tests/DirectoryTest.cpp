// Routes, targets, freshness, and their synchronisation with a faulty store.

#include "directory/DirectorySync.h"
#include "tests/support/Process.h"

#include <QCoreApplication>
#include <QTimer>
#include <algorithm>
#include <criterion/criterion.h>
#include <ctime>
#include <random>

using namespace testing;
using namespace dragonfly;
using namespace dragonfly::directory;
using namespace std::chrono_literals;

namespace {

/// Decodes plain text: a deployment record holds its version, a target record its state, a weights record a version.
class TextDecoder : public RecordDecoder {
public:
    std::string deploymentKey() const override
    {
        return "config";
    }
    std::string registrationPrefix() const override
    {
        return "targets/";
    }
    std::string weightsPrefix() const override
    {
        return "weights/";
    }
    Result<Deployment> decodeDeployment(std::string_view bytes) const override
    {
        Deployment deployment;
        deployment.version = std::stoul(std::string(bytes));
        return deployment;
    }
    Result<Registration> decodeRegistration(std::string_view key, std::string_view bytes) const override
    {
        if (bytes != "ready" && bytes != "draining")
            return Error { ErrorKind::BadRequest, "unknown state", Execution::NotRun, {} };
        Registration registration;
        registration.id = std::string(key.substr(8));
        registration.service = "engines";
        registration.isDraining = bytes == "draining";
        return registration;
    }
    Result<WantedWeights> decodeWeights(std::string_view key, std::string_view bytes) const override
    {
        return WantedWeights { std::string(key.substr(8)), std::stoul(std::string(bytes)) };
    }
};

/// An in-process store with configurable faults.
class FakeStore : public store::WatchableStore {
public:
    struct Record {
        std::string value;
        int64_t revision;
    };

    void set(const std::string& key, const std::string& value)
    {
        ++this->revision;
        this->records[key] = { value, this->storeRevision() };
        this->history.push_back({ { key, value, this->storeRevision() }, false });
    }
    void erase(const std::string& key)
    {
        this->records.erase(key);
        ++this->revision;
        this->history.push_back({ { key, {}, this->storeRevision() }, true });
    }
    void save()
    {
        this->savedRecords = this->records;
        this->savedRevision = this->revision;
    }
    /// Returns to the saved copy, in the next era.
    void returnToCopy()
    {
        ++this->era;
        this->revision = this->savedRevision;
        this->records = this->savedRecords;
        for (auto& [key, record] : this->records)
            record.revision = store::revisionInEra(this->era, store::revisionWithinEra(record.revision));
        this->history.clear();
    }
    int64_t storeRevision() const
    {
        return store::revisionInEra(this->era, this->revision);
    }

    bool isDown = false; ///< every call fails
    bool watchesOmitChanges = false; ///< watches end without reporting any changes
    bool historyIsGone = false; ///< the next watch returns HistoryGone
    int failEveryNthPage = 0; ///< fails every n-th page request; 0: none
    int pageRequests = 0;
    Clock::time_point bridgedOutageEnd; ///< reported by lastOutageEnd()
    std::chrono::milliseconds answerDelay { 1 }; ///< from a call's execution until its answer arrives
    std::function<void()> onPageRead; ///< called after a page was read, before its answer arrives

    void readPage(const std::string& prefix, const std::string& after, Deadline,
        std::function<void(store::PageResult)> done) override
    {
        ++this->pageRequests;
        if (this->failEveryNthPage && this->pageRequests % this->failEveryNthPage == 0) {
            this->answer<store::PageResult>(store::StoreFailure::NotExecuted, std::move(done));
            return;
        }
        store::Page page;
        page.revision = this->storeRevision();
        for (const auto& [key, record] : this->records) {
            if (!key.starts_with(prefix) || key <= after)
                continue;
            page.hasMore = page.pairs.size() == 2; // small pages, so that a whole read needs several
            if (page.hasMore)
                break;
            page.pairs.push_back({ key, record.value, record.revision });
        }
        if (this->onPageRead)
            this->onPageRead();
        this->answer<store::PageResult>(std::move(page), std::move(done));
    }

    void watch(const std::string&, int64_t after, Clock::time_point waitUntil, Deadline,
        std::function<void(store::WatchResult)> done) override
    {
        if (std::exchange(this->historyIsGone, false) || store::eraOf(after) < this->era) {
            this->answer<store::WatchResult>(store::HistoryGone {}, std::move(done));
            return;
        }
        store::Changes changes;
        changes.revision = this->storeRevision();
        changes.asOf = BootClock::now();
        for (const auto& change : this->history) {
            if (change.pair.modRevision > after && !this->watchesOmitChanges)
                changes.changes.push_back(change);
        }
        if (changes.changes.empty() && !this->watchesOmitChanges && Clock::now() < waitUntil && !this->isDown) {
            QTimer::singleShot(
                5ms, &this->loop, [this, after, waitUntil, done] { this->watch("", after, waitUntil, {}, done); });
            return;
        }
        this->answer<store::WatchResult>(std::move(changes), std::move(done));
    }

    void checkRevision(
        const std::string& key, int64_t expected, Deadline, std::function<void(store::CheckResult)> done) override
    {
        const auto& record = this->records[key];
        if (record.revision != expected
            && store::revisionWithinEra(record.revision) == store::revisionWithinEra(expected))
            this->answer<store::CheckResult>(store::HistoryGone {}, std::move(done));
        else if (record.revision == expected)
            this->answer<store::CheckResult>(store::Unchanged {}, std::move(done));
        else
            this->answer<store::CheckResult>(
                store::Conflict { { key, record.value, record.revision } }, std::move(done));
    }

    Clock::time_point lastOutageEnd() const override
    {
        return this->bridgedOutageEnd;
    }

    void compareAndSwapLeased(const std::string&, int64_t, const std::string&, int64_t, Deadline,
        std::function<void(store::LeasedSwapResult)>) override
    {
    }
    void endLease(int64_t, Deadline, std::function<void(store::WriteResult)>) override
    {
    }
    void read(const std::vector<store::ReadRequest>&, Deadline, std::function<void(store::ReadResult)>) override
    {
    }
    void compareAndSwap(
        const std::string&, int64_t, const std::string&, Deadline, std::function<void(store::SwapResult)>) override
    {
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

private:
    template <typename Outcome> void answer(Outcome outcome, std::function<void(Outcome)> done)
    {
        if (this->isDown)
            outcome = store::StoreFailure::NotExecuted;
        QTimer::singleShot(this->answerDelay, &this->loop, [outcome, done] { done(outcome); });
    }

    std::map<std::string, Record> records;
    std::vector<store::Change> history;
    int64_t revision = 10; ///< within the era
    int64_t era = 0;
    std::map<std::string, Record> savedRecords;
    int64_t savedRevision = 0;
    QObject loop;
};

int argumentCount = 0;

struct Fixture {
    QCoreApplication application { argumentCount, nullptr };
    FakeStore store;
    TextDecoder decoder;
    observe::Metrics metrics;
    Directory directory { 3s };
    DirectorySync sync { store, decoder, directory, metrics };

    void start()
    {
        this->store.set("config", "4");
        this->store.set("targets/a", "ready");
        this->store.set("targets/b", "ready");
        this->store.set("targets/c", "ready");
        this->store.set("weights/m", "1");
        this->sync.start();
        cr_assert(waitUntil([this] { return this->directory.wantedWeights("m") == 1; }, 2s));
        runFor(20ms); // until the whole read has ended and a watch is running
    }
    uint64_t version() const
    {
        return this->directory.routes() ? this->directory.routes()->version() : 0;
    }
};

}

Test(freshness, validityCountsFromTheQueryTime)
{
    Freshness freshness(4s);
    const BootClock::time_point start { 1000s };
    cr_assert_not(freshness.isProved(start));
    freshness.prove(start);
    cr_assert(freshness.isProved(start + 3999ms));
    cr_assert_not(freshness.isProved(start + 4s));
    freshness.prove(start + 3s);
    freshness.prove(start + 1s); // an answer that arrives out of order
    cr_assert(freshness.isProved(start + 6s));
    freshness.invalidate();
    cr_assert_not(freshness.isProved(start + 3s));
}

Test(revisionTimes, lowerBoundIsTheLatestObservationOfALowerRevision)
{
    RevisionTimes times;
    const BootClock::time_point start { 1000s };
    cr_assert_eq(times.lowerBound(5), BootClock::time_point());
    times.observe(10, start);
    times.observe(10, start + 2s);
    times.observe(14, start + 5s);
    times.observe(12, start + 1s); // an answer that was overtaken
    times.observe(20, {}); // of unknown time
    cr_assert_eq(times.lowerBound(10), BootClock::time_point());
    cr_assert_eq(times.lowerBound(11), start + 2s);
    cr_assert_eq(times.lowerBound(14), start + 2s);
    cr_assert_eq(times.lowerBound(15), start + 5s);
    cr_assert_eq(times.lowerBound(30), start + 5s);
    times.observe(12, start + 6s); // a source that lags behind
    cr_assert_eq(times.lowerBound(13), start + 6s);
    cr_assert_eq(times.lowerBound(30), start + 6s);
}

Test(revisionTimes, boundsHoldForRandomOrdersOfAnswers)
{
    for (uint32_t seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        RevisionTimes times;
        const BootClock::time_point start { 1000s };
        std::map<int64_t, BootClock::time_point> madeAt;
        std::vector<std::pair<int64_t, BootClock::time_point>> answers;
        int64_t revision = 0;
        for (int second = 1; second < 40; ++second) {
            const auto now = start + std::chrono::seconds(second);
            if (random() % 2)
                madeAt[++revision] = now;
            answers.emplace_back(revision, now + 500ms);
        }
        std::shuffle(answers.begin(), answers.end(), random);
        for (const auto& [seen, at] : answers) {
            times.observe(seen, at);
            for (const auto& [made, when] : madeAt)
                cr_assert_lt(times.lowerBound(made), when, "seed %u", seed);
        }
        // After all answers, the bound is that of the last answer before the change.
        for (const auto& [made, when] : madeAt)
            cr_assert(made == 1 || times.lowerBound(made) >= when - 1s, "seed %u", seed);
    }
}

Test(routeTable, longestMatchingPrefixOfTheHostIsFound)
{
    Deployment deployment;
    for (const auto* prefix : { "/a/", "/a/b/", "/" }) {
        Route route;
        route.name = prefix;
        route.host = "h";
        route.pathPrefix = prefix;
        deployment.routes.push_back(route);
    }
    deployment.organisations.push_back({ "first", { "k1", "k2" }, {}, false });
    const RouteTable table(std::move(deployment));
    cr_assert_eq(table.findRoute("h", "/a/b/c")->name, "/a/b/");
    cr_assert_eq(table.findRoute("h", "/a/bc")->name, "/a/");
    cr_assert_eq(table.findRoute("h", "/x")->name, "/");
    cr_assert_null(table.findRoute("other", "/a/b/c"));
    cr_assert_eq(table.findOrganisation("k2")->name, "first");
    cr_assert_null(table.findOrganisation("k3"));
    cr_assert(table.needsKeys());
}

Test(directory, olderConfigurationIsNotApplied)
{
    Directory directory(3s);
    Deployment newer;
    newer.version = 7;
    Deployment older;
    older.version = 5;
    cr_assert(directory.apply(newer));
    cr_assert_not(directory.apply(older));
    cr_assert_eq(directory.routes()->version(), 7);
}

Test(directory, restartedTargetGetsNewState)
{
    Directory directory(3s);
    Registration registration;
    registration.id = "a";
    registration.startedUnixMs = 1;
    directory.registerTarget(registration);
    const auto before = directory.targets().at("a");
    before->isReplaced = true;
    directory.registerTarget(registration);
    cr_assert_eq(directory.targets().at("a"), before);
    registration.startedUnixMs = 2;
    directory.registerTarget(registration);
    cr_assert_not(directory.targets().at("a")->isReplaced);
    directory.removeTarget("a");
    cr_assert(directory.targets().empty());
}

Test(directorySync, initialRoutesAreAppliedAfterTargetsAndWeights)
{
    Fixture fixture;
    size_t targets = 0;
    uint64_t weights = 0;
    fixture.directory.onRoutesChanged = [&] {
        targets = fixture.directory.targets().size();
        weights = fixture.directory.wantedWeights("m");
    };
    fixture.start();
    cr_assert(waitUntil([&] { return fixture.version() == 4; }, 1s));
    cr_assert_eq(targets, 3);
    cr_assert_eq(weights, 1);
}

Test(directorySync, watchedChangesAreApplied)
{
    Fixture fixture;
    fixture.start();
    cr_assert_eq(fixture.version(), 4);
    cr_assert(fixture.directory.freshness.isProved(BootClock::now()));
    fixture.store.set("config", "6");
    fixture.store.set("targets/b", "draining");
    fixture.store.erase("targets/c");
    cr_assert(waitUntil([&] { return fixture.version() == 6 && fixture.directory.targets().size() == 2; }, 1s));
    cr_assert(fixture.directory.targets().at("b")->registration.isDraining);
}

Test(directorySync, revisionCheckFindsConfigurationThatWatchesOmit)
{
    Fixture fixture;
    fixture.start();
    fixture.store.watchesOmitChanges = true;
    fixture.store.set("config", "9");
    fixture.store.set("targets/a", "draining");
    // The check of the configuration's revision does not depend on watches.
    cr_assert(waitUntil([&] { return fixture.version() == 9; }, 2500ms));
    fixture.store.watchesOmitChanges = false;
    fixture.store.historyIsGone = true;
    cr_assert(waitUntil([&] { return fixture.directory.targets().at("a")->registration.isDraining; }, 2s));
}

Test(directorySync, duringAnOutageProofExpiresAndTargetsStay)
{
    Fixture fixture;
    fixture.start();
    fixture.store.isDown = true;
    cr_assert(waitUntil([&] { return !fixture.directory.freshness.isProved(BootClock::now()); }, 4s));
    cr_assert_eq(fixture.directory.targets().size(), 3);
    cr_assert_not(fixture.sync.isReachable());
    fixture.store.isDown = false;
    cr_assert(waitUntil([&] { return fixture.directory.freshness.isProved(BootClock::now()); }, 2s));
}

Test(directorySync, targetsMissingAfterAnOutageAreKeptForAGracePeriod)
{
    Fixture fixture;
    fixture.start();
    fixture.store.isDown = true;
    cr_assert(waitUntil([&] { return !fixture.sync.isReachable(); }, 6s));
    fixture.store.erase("targets/a");
    fixture.store.erase("targets/b");
    fixture.store.isDown = false;
    cr_assert(waitUntil([&] { return fixture.sync.isReachable(); }, 2s));
    runFor(700ms);
    cr_assert_eq(fixture.directory.targets().size(), 3, "missing targets are kept during the grace period");
    fixture.store.set("targets/a", "ready");
    cr_assert(waitUntil([&] { return fixture.directory.targets().size() == 2; }, 3s),
        "only target b has not registered again");
    cr_assert(fixture.directory.targets().contains("a"));
}

Test(directorySync, targetsMissingAfterABridgedOutageAreKeptForAGracePeriod)
{
    Fixture fixture;
    fixture.start();
    fixture.store.bridgedOutageEnd = Clock::now(); // peers stood in for the service, so no call failed
    fixture.store.erase("targets/a");
    runFor(300ms);
    fixture.store.erase("targets/b");
    runFor(700ms);
    cr_assert(fixture.sync.isReachable());
    cr_assert_eq(fixture.directory.targets().size(), 3, "missing targets are kept during the grace period");
    fixture.store.set("targets/a", "ready");
    cr_assert(waitUntil([&] { return fixture.directory.targets().size() == 2; }, 3s),
        "only target b has not registered again");
    cr_assert(fixture.directory.targets().contains("a"));
    fixture.store.erase("targets/a");
    cr_assert(waitUntil([&] { return fixture.directory.targets().size() == 1; }, 1s), "the grace period is over");
}

Test(directorySync, invalidRecordAddsNoTargetAndRemovesExistingOne)
{
    Fixture fixture;
    fixture.start();
    fixture.store.set("targets/x", "?");
    fixture.store.set("targets/a", "?");
    cr_assert(waitUntil([&] { return !fixture.directory.targets().contains("a"); }, 1s));
    cr_assert_eq(fixture.directory.targets().size(), 2);
}

Test(directorySync, unreadableRecordHidesTheTargetUntilItsNextRecord)
{
    Fixture fixture;
    fixture.start();
    fixture.store.set("targets/a", "?");
    require(waitUntil([&] { return !fixture.directory.targets().contains("a"); }, 1s), "the record names a target");
    cr_assert_eq(fixture.directory.targets().size(), 2, "the others hold");
    fixture.store.historyIsGone = true; // all records are read again
    runFor(700ms);
    cr_assert_not(fixture.directory.targets().contains("a"));
    fixture.store.set("targets/a", "draining");
    cr_assert(waitUntil([&] { return fixture.directory.targets().contains("a"); }, 1s));
    cr_assert(fixture.directory.targets().at("a")->registration.isDraining);
    fixture.store.set("targets/a", "ready");
    cr_assert(waitUntil([&] { return !fixture.directory.targets().at("a")->registration.isDraining; }, 1s));
}

Test(directorySync, removalOfTenThousandRecordsDoesNotStallTheEventLoop, .timeout = 60)
{
    for (const bool isAfterOutage : { false, true }) {
        Fixture fixture;
        fixture.start();
        const auto isKnown = [&] { return fixture.sync.changes().revision() == fixture.store.storeRevision(); };
        for (int i = 0; i < 10000; ++i)
            fixture.store.set("targets/odd-" + std::to_string(i), "?");
        require(waitUntil(isKnown, 10s), "the records were not read");
        if (isAfterOutage)
            fixture.store.bridgedOutageEnd = Clock::now();
        for (int i = 0; i < 10000; ++i)
            fixture.store.erase("targets/odd-" + std::to_string(i));
        const auto before = std::clock();
        require(waitUntil(isKnown, 10s), "the removals were not read");
        const auto used = 1000 * (std::clock() - before) / CLOCKS_PER_SEC;
        cr_expect_lt(used, 250, "%d ms of processor time", static_cast<int>(used)); // what counts as a stall
    }
}

Test(directorySync, keyThatBeginsAsThatOfTheConfigurationIsNotTakenForIt)
{
    Fixture fixture;
    fixture.store.set("config2", "9");
    fixture.store.set("config/draft", "8");
    fixture.start();
    cr_assert(waitUntil([&] { return fixture.version() == 4; }, 2s), "version %d", static_cast<int>(fixture.version()));
    cr_assert(fixture.directory.freshness.isProved(BootClock::now()));
}

Test(directorySync, wholeReadRetriesOnlyFailedPages)
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i)
        fixture.store.set("targets/t" + std::to_string(i), "ready");
    fixture.store.failEveryNthPage = 2; // as when the service refuses some calls because many instances start at once
    fixture.store.set("config", "4");
    fixture.sync.start();
    cr_assert(waitUntil([&] { return fixture.version() == 4; }, 10s));
    cr_assert_eq(fixture.directory.targets().size(), 20);
    // Ten pages of targets, one of the configuration and one of weights, plus as many failed requests.
    cr_assert_leq(fixture.store.pageRequests, 24);
}

Test(directorySync, replacementIsNotTakenForLaterThanItWasWhenAnswersAreDelayed)
{
    Fixture fixture;
    fixture.start();
    fixture.store.answerDelay = 700ms;
    fixture.store.set("targets/a", "draining"); // its answer is on the way when the weights are replaced
    runFor(300ms);
    fixture.store.set("weights/m", "2");
    const auto replacedAt = BootClock::now();
    cr_assert(waitUntil([&] { return fixture.directory.wantedWeights("m") == 2; }, 5s));
    cr_assert_leq(fixture.directory.replacementOf("m", 1)->notBefore, replacedAt);
}

Test(directorySync, replacementIsNotTakenForLaterThanItWasAfterASlowFirstRead)
{
    Fixture fixture;
    fixture.store.set("config", "4");
    fixture.store.set("weights/m", "1");
    for (int i = 0; i < 6; ++i)
        fixture.store.set("targets/t" + std::to_string(i), "ready");
    fixture.store.answerDelay = 300ms;
    BootClock::time_point replacedAt;
    fixture.store.onPageRead = [&] {
        const bool isWeightsRead = fixture.directory.wantedWeights("m") == 1;
        if (isWeightsRead && replacedAt == BootClock::time_point()) {
            replacedAt = BootClock::now();
            fixture.store.set("weights/m", "2");
        }
    };
    fixture.sync.start();
    cr_assert(waitUntil([&] { return fixture.directory.wantedWeights("m") == 2; }, 5s));
    cr_assert_leq(fixture.directory.replacementOf("m", 1)->notBefore, replacedAt);
}

Test(directorySync, replacementIsNotTakenForLaterThanItWasWhenAFirstReadReturnsOnlyTheLastOfTwoVersions)
{
    Fixture fixture;
    fixture.store.set("config", "4");
    fixture.store.set("targets/a", "ready");
    fixture.store.set("weights/m", "2"); // replaces version 1
    const auto replacedAt = BootClock::now();
    runFor(500ms);
    fixture.store.failEveryNthPage = 2; // the targets are read, the weights are not
    fixture.store.onPageRead = [&] {
        if (fixture.store.pageRequests < 3)
            return;
        fixture.store.failEveryNthPage = 0;
        fixture.store.onPageRead = nullptr;
        fixture.store.set("weights/m", "3");
    };
    fixture.sync.start();
    cr_assert(waitUntil([&] { return fixture.directory.wantedWeights("m") == 3; }, 5s));
    const auto replacement = fixture.directory.replacementOf("m", 1);
    cr_assert(!replacement->isTimeKnown() || replacement->notBefore <= replacedAt, "taken for %d ms later",
        static_cast<int>((replacement->notBefore - replacedAt) / 1ms));
}

Test(directorySync, replacementIsNotTakenForLaterThanItWasWhenARereadReturnsOnlyTheLastOfTwoVersions)
{
    Fixture fixture;
    fixture.start();
    fixture.store.isDown = true;
    runFor(2100ms); // until the watch in progress has failed
    fixture.store.set("weights/m", "2"); // replaces version 1
    const auto replacedAt = BootClock::now();
    runFor(1s);
    fixture.store.pageRequests = 0;
    fixture.store.failEveryNthPage = 2; // the targets are read, the weights are not
    fixture.store.onPageRead = [&] {
        if (fixture.store.pageRequests < 3)
            return;
        fixture.store.failEveryNthPage = 0;
        fixture.store.onPageRead = nullptr;
        fixture.store.set("weights/m", "3");
    };
    fixture.store.historyIsGone = true;
    fixture.store.isDown = false;
    cr_assert(waitUntil([&] { return fixture.directory.wantedWeights("m") == 3; }, 5s));
    const auto replacement = fixture.directory.replacementOf("m", 1);
    cr_assert(!replacement->isTimeKnown() || replacement->notBefore <= replacedAt, "taken for %d ms later",
        static_cast<int>((replacement->notBefore - replacedAt) / 1ms));
}

Test(directorySync, storeThatReturnsWithAnOlderConfigurationNeitherReplacesNorProvesTheNewerOne)
{
    Fixture fixture;
    fixture.start();
    fixture.store.save();
    fixture.store.set("config", "5");
    require(waitUntil([&] { return fixture.version() == 5; }, 2s), "5 is not in force");
    fixture.store.returnToCopy();
    runFor(3200ms); // longer than a proof is valid
    cr_assert_eq(fixture.version(), 5);
    cr_assert_not(fixture.directory.freshness.isProved(BootClock::now()));
    fixture.store.set("config", "5");
    cr_assert(waitUntil([&] { return fixture.directory.freshness.isProved(BootClock::now()); }, 2s));
    fixture.store.set("config", "6");
    cr_assert(waitUntil([&] { return fixture.version() == 6; }, 2s));
}

Test(directorySync, recordsThatAReturnedStoreLostAreReportedAsLostNotAsRemoved)
{
    Fixture fixture;
    std::vector<std::string> lost;
    std::vector<std::string> removed;
    int returns = 0;
    fixture.sync.followedPrefix = "own/";
    fixture.sync.onStoreReturned = [&] { ++returns; };
    fixture.sync.onFollowedRecordLost = [&](const std::string& key) { lost.push_back(key); };
    fixture.sync.onFollowedRecord = [&](const store::KeyValue& record, bool exists) {
        if (!exists)
            removed.push_back(record.key);
    };
    fixture.start();
    fixture.store.set("own/a", "1");
    runFor(600ms);
    fixture.store.save();
    fixture.store.set("own/b", "1");
    runFor(600ms);
    fixture.store.returnToCopy();
    cr_assert(waitUntil([&] { return returns == 1 && fixture.sync.isReachable(); }, 3s));
    cr_assert_eq(lost, (std::vector<std::string> { "own/b" }));
    cr_assert(removed.empty());
    fixture.store.erase("own/a");
    cr_assert(waitUntil([&] { return removed == std::vector<std::string> { "own/a" }; }, 2s));
}

Test(directorySync, answersFromBeforeTheReturnAreIgnored)
{
    Fixture fixture;
    fixture.start();
    fixture.store.save();
    fixture.store.answerDelay = 300ms;
    fixture.store.historyIsGone = true; // the answers to the whole read that follows are on their way for long
    fixture.store.set("targets/d", "ready");
    runFor(400ms);
    fixture.store.answerDelay = 1ms;
    fixture.store.returnToCopy();
    fixture.store.set("config", "6");
    cr_assert(waitUntil([&] { return fixture.version() == 6; }, 3s));
    runFor(500ms);
    cr_assert(fixture.sync.isReachable());
    cr_assert_eq(fixture.directory.targets().contains("d"), false, "its record was lost");
}

Test(directorySync, returnDuringTheFirstReadIsReported)
{
    Fixture fixture;
    int returns = 0;
    fixture.sync.onStoreReturned = [&] { ++returns; };
    fixture.store.set("config", "4");
    fixture.store.set("targets/a", "ready");
    fixture.store.returnToCopy(); // so that the store counts eras
    fixture.store.set("config", "4");
    fixture.store.save();
    int pages = 0;
    fixture.store.onPageRead = [&] {
        if (++pages == 2)
            fixture.store.returnToCopy();
    };
    fixture.sync.start();
    cr_assert(waitUntil([&] { return fixture.version() == 4; }, 3s));
    cr_assert_eq(returns, 1);
}
