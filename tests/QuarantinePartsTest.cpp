// Unit tests of the parts of the quarantine: evidence, answer progress, publication and gathering of reports.

#include "quarantine/Quarantine.h"
#include "quarantine/TargetEndRecord.h"
#include "tests/support/FakeWatchableStore.h"
#include "tests/support/Process.h"

#include <QCoreApplication>
#include <criterion/criterion.h>
#include <deque>
#include <random>

using namespace testing;
using namespace dragonfly;
using namespace dragonfly::quarantine;
using namespace std::chrono_literals;

namespace {

constexpr PartHash shared = 1; ///< the part that all requests share
constexpr PartHash bad = 2;
constexpr PartHash other = 3;

/// Evidence to which reports are added under increasing revisions.
struct Reports {
    PromptEvidence evidence;
    int64_t revision = 0;
    uint64_t requests = 0;

    void add(const std::string& target, const std::vector<std::vector<PartHash>>& beginning,
        const std::vector<PartHash>& formerlySound = {}, const std::vector<PartHash>& answered = {})
    {
        TargetEndReport report { { target, 1 }, {}, answered, formerlySound };
        for (const auto& parts : beginning)
            report.beginning.push_back({ ++this->requests, parts });
        ++this->revision;
        this->evidence.add("report" + std::to_string(this->revision), report, this->revision);
    }
    bool isQuarantined(PartHash part) const
    {
        return this->evidence.findQuarantined(std::vector { part }).has_value();
    }
};

}

Test(promptEvidence, partThatThreeTargetsBeganIsQuarantined)
{
    Reports reports;
    reports.add("a", { { bad } });
    reports.add("b", { { bad } });
    cr_assert(reports.evidence.update().added.empty());
    reports.add("c", { { bad } });
    const auto changes = reports.evidence.update();
    cr_assert_eq(changes.added.size(), 1);
    cr_assert_eq(changes.added.front().part, bad);
    cr_assert_eq(changes.added.front().ends, 3);
    cr_assert_eq(changes.added.front().requests, 3);
    cr_assert(reports.isQuarantined(bad));
    cr_assert(reports.evidence.update().added.empty(), "a part is added once");
}

Test(promptEvidence, oneRequestWithItsRetriesIsNoEvidence)
{
    Reports reports;
    for (const auto* target : { "a", "b", "c", "d" }) {
        reports.evidence.add(target, { { target, 1 }, { { 7, { bad } } }, {}, {} }, ++reports.revision);
        reports.evidence.update();
    }
    cr_assert_not(reports.isQuarantined(bad));
    reports.add("e", { { bad } });
    reports.evidence.update();
    cr_assert(reports.isQuarantined(bad));
}

Test(promptEvidence, severalReportsOnOneTargetAreOneEnd)
{
    Reports reports;
    for (int i = 0; i < 5; ++i)
        reports.add("a", { { bad } });
    reports.add("b", { { bad } });
    reports.evidence.update();
    cr_assert_not(reports.isQuarantined(bad));
    // Another process under the same id is another target.
    reports.evidence.add("again", { { "a", 2 }, { { 99, { bad } } }, {}, {} }, ++reports.revision);
    reports.evidence.update();
    cr_assert(reports.isQuarantined(bad));
}

Test(promptEvidence, endsThatAQuarantinedPartExplainsAreNoEvidenceAgainstOthers)
{
    Reports reports;
    // Every end has the shared part as well; one end has no other explanation.
    reports.add("z", { { shared } }, { shared });
    for (const auto* target : { "a", "b", "c", "d", "e" })
        reports.add(target, { { shared, bad }, { shared, other } }, { shared, other });
    reports.evidence.update();
    cr_assert(reports.isQuarantined(bad));
    cr_assert_not(reports.isQuarantined(shared));
    cr_assert_not(reports.isQuarantined(other));
}

Test(promptEvidence, twoPartsAtOnceAreQuarantined)
{
    Reports reports;
    for (const auto* target : { "a", "b", "c" })
        reports.add(target, { { shared, bad } }, { shared });
    for (const auto* target : { "d", "e", "f" })
        reports.add(target, { { shared, other } }, { shared });
    reports.evidence.update();
    cr_assert(reports.isQuarantined(bad));
    cr_assert(reports.isQuarantined(other));
    cr_assert_not(reports.isQuarantined(shared));
}

Test(promptEvidence, partsThatWereAnsweredBeforeNeedMoreEnds)
{
    Reports reports;
    for (const auto* target : { "a", "b", "c", "d" })
        reports.add(target, { { bad } }, { bad });
    reports.evidence.update();
    cr_assert_not(reports.isQuarantined(bad));
    reports.add("e", { { bad } });
    reports.evidence.update();
    cr_assert(reports.isQuarantined(bad));
}

Test(promptEvidence, equallyGoodExplanationsAreAllQuarantinedUntilOneIsProvedSound)
{
    Reports reports;
    for (const auto* target : { "a", "b", "c" })
        reports.add(target, { { shared, bad } });
    reports.evidence.update();
    cr_assert(reports.isQuarantined(bad) && reports.isQuarantined(shared));
    reports.evidence.recordSound(shared);
    const auto changes = reports.evidence.update();
    cr_assert_eq(changes.released, (std::vector<PartHash> { shared }));
    cr_assert(reports.isQuarantined(bad));
}

Test(promptEvidence, requestWithOneOfTwoTiedPartsIsDecisive)
{
    Reports reports;
    for (const auto* target : { "a", "b", "c" })
        reports.add(target, { { shared, bad } });
    const auto decisive
        = [&reports](const std::vector<PartHash>& parts) { return reports.evidence.findDecisive(parts).value_or(0); };
    reports.evidence.update();
    cr_assert_eq(decisive({ shared, other }), shared);
    cr_assert_eq(decisive({ shared, shared }), shared);
    cr_assert_eq(decisive({ bad }), bad);
    cr_assert_eq(decisive({ shared, bad }), 0, "it tells nothing new");
    cr_assert_eq(decisive({ other }), 0, "it is not refused");
    // One more end, and the part that is in all of them is the explanation.
    reports.add("d", { { bad } });
    reports.evidence.update();
    cr_assert_eq(decisive({ bad }), 0);
    cr_assert(reports.isQuarantined(bad));
    cr_assert_not(reports.isQuarantined(shared));
}

Test(promptEvidence, proofClearsOnlyEarlierReports)
{
    Reports reports;
    for (const auto* target : { "a", "b" })
        reports.add(target, { { bad } });
    reports.evidence.recordSound(bad);
    reports.add("c", { { bad } });
    reports.add("d", { { bad } });
    reports.evidence.update();
    cr_assert_not(reports.isQuarantined(bad));
    reports.add("e", { { bad } });
    reports.evidence.update();
    cr_assert(reports.isQuarantined(bad));
}

Test(promptEvidence, publishedProofsAreOrderedByRevisionWhateverArrivesFirst)
{
    const auto quarantinedWith = [](int64_t proof, bool proofFirst) {
        Reports reports;
        if (proofFirst)
            reports.evidence.recordPublishedSound(bad, proof);
        for (const auto* target : { "a", "b", "c" })
            reports.add(target, { { bad } }); // revisions 1, 2, 3
        if (!proofFirst)
            reports.evidence.recordPublishedSound(bad, proof);
        reports.evidence.update();
        return reports.isQuarantined(bad);
    };
    for (const bool proofFirst : { false, true }) {
        cr_assert_not(quarantinedWith(4, proofFirst));
        cr_assert_not(quarantinedWith(2, proofFirst));
        cr_assert(quarantinedWith(1, proofFirst), "all three reports are later or as late");
    }
    // An older proof that arrives late does not replace a newer one.
    Reports reports;
    reports.evidence.recordPublishedSound(bad, 4);
    reports.evidence.recordPublishedSound(bad, 0);
    for (const auto* target : { "a", "b", "c" })
        reports.add(target, { { bad } });
    reports.evidence.update();
    cr_assert_not(reports.isQuarantined(bad));
}

Test(promptEvidence, ownReportsCountBeforeTheyAreWrittenAndOnce)
{
    Reports reports;
    for (const auto* target : { "a", "b", "c" })
        reports.evidence.add(target, { { target, 1 }, { { ++reports.requests, { bad } } }, {}, {} }, std::nullopt);
    reports.evidence.recordPublishedSound(bad, 10);
    reports.evidence.update();
    cr_assert(reports.isQuarantined(bad), "a report that is not written yet is later than any proof");
    for (const auto* target : { "a", "b", "c" })
        reports.evidence.add(target, { { target, 1 }, { { ++reports.requests, { bad } } }, {}, {} }, 5);
    cr_assert_eq(reports.evidence.keptRequests(), 3);
    reports.evidence.update();
    cr_assert_not(reports.isQuarantined(bad), "they were written before the proof");
}

Test(promptEvidence, expiredReportsEndTheQuarantine)
{
    Reports reports;
    for (const auto* target : { "a", "b", "c" })
        reports.add(target, { { bad } });
    reports.evidence.update();
    reports.evidence.remove("report2");
    cr_assert_eq(reports.evidence.update().released, (std::vector<PartHash> { bad }));
    reports.evidence.remove("report1");
    reports.evidence.remove("report3");
    reports.evidence.remove("report3");
    cr_assert(reports.evidence.isEmpty());
    cr_assert_eq(reports.evidence.keptRequests(), 0);
}

Test(promptEvidence, partsOfAnswersThatAnEndedTargetHadBeenWritingAreNotItsCause)
{
    Reports reports;
    for (const auto* target : { "a", "b", "c" }) {
        reports.add(target, { { shared, bad } });
        reports.add(target, { { shared } }, {}, { shared }); // as another instance saw it
    }
    reports.evidence.update();
    cr_assert(reports.isQuarantined(bad));
    cr_assert_not(reports.isQuarantined(shared));
}

Test(promptEvidence, requestIsSuspectedAfterAnotherTargetEndedWithItsPart)
{
    Reports reports;
    reports.add("a", { { bad } }); // request 1
    reports.evidence.update();
    const std::vector<PartHash> parts { shared, bad };
    cr_assert_not(reports.evidence.findSuspected(parts, 2, { "a", 1 }), "the same end");
    cr_assert_not(reports.evidence.findSuspected(parts, 1, { "b", 1 }), "the same request");
    cr_assert_eq(reports.evidence.findSuspected(parts, 2, { "b", 1 }).value_or(0), bad);
    reports.evidence.recordSound(bad);
    reports.evidence.update();
    cr_assert_not(reports.evidence.findSuspected(parts, 2, { "b", 1 }));
}

Test(promptEvidence, memoryIsBoundedAndKeepsWhatExplainsAQuarantine)
{
    Reports reports;
    for (const auto* target : { "a", "b", "c" })
        reports.add(target, { { bad } });
    reports.evidence.update();
    for (PartHash part = 100; part < 100 + 2 * maxKeptRequests; ++part)
        reports.add("t" + std::to_string(part), { { part } });
    cr_assert_eq(reports.evidence.keptRequests(), maxKeptRequests);
    reports.evidence.update();
    cr_assert(reports.isQuarantined(bad));
}

namespace {

/// Instances in a simulated deployment: popular parts, one caller's first part in most requests, engines that end at
/// random with the requests they were beginning, and answers that prove parts sound. Steps of 50 ms.
class Simulation {
public:
    static constexpr size_t instances = 5;
    static constexpr size_t enginesCount = 9;
    static constexpr int recordDelay = 20; ///< steps until the others have read a record: 1 s
    static constexpr int answerSteps = 20; ///< from the begin of an answer to its end: 1 s
    static constexpr int beginSteps = 10;

    explicit Simulation(uint32_t seed)
        : random(seed)
        , evidence(instances)
    {
    }

    struct Running {
        size_t instance;
        size_t engine;
        uint64_t request;
        std::vector<PartHash> parts;
        int begun;
    };

    struct Record {
        int dueAt;
        size_t writer;
        std::string key;
        std::optional<TargetEndReport> report; ///< a proof of `part` if there is none
        PartHash part;
        int64_t revision;
    };

    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(this->random) < probability;
    }

    /// @param badShare of the requests have the bad part and end their engine
    void step(double endsPerStep, double badShare)
    {
        ++this->now;
        while (!this->records.empty() && this->records.front().dueAt <= this->now) {
            this->deliver(this->records.front());
            this->records.pop_front();
        }
        for (int i = 0; i < 3; ++i)
            this->begin(badShare);
        std::vector<size_t> ending;
        for (const auto& running : this->running) {
            if (std::ranges::find(running.parts, bad) != running.parts.end())
                ending.push_back(running.engine);
        }
        if (this->chance(endsPerStep))
            ending.push_back(this->random() % enginesCount);
        for (const auto engine : ending)
            this->end(engine);
        std::erase_if(this->running, [this](const Running& each) {
            if (this->now - each.begun < answerSteps)
                return false;
            this->prove(each);
            return true;
        });
        for (auto& each : this->evidence)
            each.update();
    }

    bool isQuarantined(size_t instance, PartHash part) const
    {
        return this->evidence[instance].findQuarantined(std::vector { part }).has_value();
    }

    std::mt19937 random;
    std::vector<PromptEvidence> evidence;
    std::vector<Running> running;
    std::deque<Record> records;
    std::set<PartHash> formerlySound;
    int now = 0;
    int64_t revision = 0;
    uint64_t requests = 0;
    int endsByBadPart = 0;

private:
    void begin(double badShare)
    {
        // Part 1 is in most requests; parts from 10 on are less popular the higher they are.
        std::vector<PartHash> parts;
        if (this->chance(0.8))
            parts.push_back(shared);
        parts.push_back(10 + static_cast<PartHash>(std::geometric_distribution<>(0.1)(this->random)));
        if (this->chance(badShare))
            parts.push_back(bad);
        const size_t instance = this->random() % instances;
        if (this->evidence[instance].findQuarantined(parts))
            return;
        this->running.push_back({ instance, this->random() % enginesCount, ++this->requests, parts, this->now });
    }

    void end(size_t engine)
    {
        const Incarnation incarnation { std::to_string(engine), ++this->lives };
        std::map<size_t, TargetEndReport> reports;
        bool isBad = false;
        std::erase_if(this->running, [&](const Running& each) {
            if (each.engine != engine)
                return false;
            auto& report = reports[each.instance];
            report.incarnation = incarnation;
            if (this->now - each.begun < beginSteps)
                report.beginning.push_back({ each.request, each.parts });
            else
                report.answeredParts.insert(report.answeredParts.end(), each.parts.begin(), each.parts.end());
            isBad = isBad || std::ranges::find(each.parts, bad) != each.parts.end();
            return true;
        });
        this->endsByBadPart += isBad;
        for (auto& [instance, report] : reports) {
            if (report.beginning.empty())
                continue;
            for (const auto& request : report.beginning) {
                for (const auto part : request.parts) {
                    if (this->formerlySound.contains(part))
                        report.formerlySound.push_back(part);
                }
            }
            const auto key = std::to_string(instance) + "/" + std::to_string(this->lives);
            this->evidence[instance].add(key, report, std::nullopt);
            this->records.push_back({ this->now + recordDelay, instance, key, report, 0, ++this->revision });
        }
    }

    void prove(const Running& answered)
    {
        auto& own = this->evidence[answered.instance];
        for (const auto part : answered.parts) {
            this->formerlySound.insert(part);
            if (!own.isReported(part))
                continue;
            own.recordSound(part);
            if (own.endsWithoutPublishedProof(part) >= minEnds - 1)
                this->records.push_back(
                    { this->now + recordDelay, answered.instance, {}, std::nullopt, part, ++this->revision });
        }
    }

    void deliver(const Record& record)
    {
        for (auto& each : this->evidence) {
            if (record.report)
                each.add(record.key, *record.report, record.revision);
            else
                each.recordPublishedSound(record.part, record.revision);
        }
    }

    int64_t lives = 0;
};

}

Test(promptEvidence, randomEndsQuarantineNoPopularPartForLong)
{
    constexpr uint32_t seeds = 30;
    constexpr int steps = 2400; // two minutes
    constexpr int maxSteps = 2 * Simulation::answerSteps + Simulation::recordDelay; // until the next proof has arrived
    for (uint32_t seed = 1; seed <= seeds; ++seed) {
        Simulation simulation(seed);
        std::map<std::pair<size_t, PartHash>, int> quarantinedFor;
        for (int step = 0; step < steps; ++step) {
            simulation.step(0.05, 0); // an engine ends each second
            for (size_t instance = 0; instance < Simulation::instances; ++instance) {
                for (const PartHash part : { shared, PartHash { 10 }, PartHash { 11 }, PartHash { 12 } }) {
                    auto& lasted = quarantinedFor[{ instance, part }];
                    lasted = simulation.isQuarantined(instance, part) ? lasted + 1 : 0;
                    cr_assert_leq(lasted, maxSteps, "seed %u: part %d is quarantined for %d steps at instance %zu",
                        seed, static_cast<int>(part), lasted, instance);
                }
            }
        }
    }
}

Test(promptEvidence, badPartIsQuarantinedAmongRandomEndsAndOthersAreNot)
{
    constexpr uint32_t seeds = 30;
    constexpr int maxSteps = 2 * Simulation::answerSteps + Simulation::recordDelay;
    for (uint32_t seed = 1; seed <= seeds; ++seed) {
        Simulation simulation(seed);
        int fifthEndAt = 0;
        int sharedFor = 0;
        for (int step = 0; step < 1200; ++step) {
            simulation.step(0.02, 0.05);
            if (!fifthEndAt && simulation.endsByBadPart >= 5)
                fifthEndAt = step;
            if (fifthEndAt && step >= fifthEndAt + 80) { // 4 s
                for (size_t instance = 0; instance < Simulation::instances; ++instance)
                    cr_assert(simulation.isQuarantined(instance, bad), "seed %u, step %d, instance %zu", seed, step,
                        instance);
            }
            sharedFor = simulation.isQuarantined(0, shared) ? sharedFor + 1 : 0;
            cr_assert_leq(sharedFor, maxSteps, "seed %u: the shared part is quarantined for %d steps", seed, sharedFor);
        }
        cr_assert(simulation.isQuarantined(0, bad), "seed %u", seed);
    }
}

Test(answerProgress, onlyASecondStepProvesThatTheTargetWentOn)
{
    const auto start = Clock::now();
    AnswerProgress progress;
    cr_assert_not(progress.hasBegun());
    cr_assert_not(progress.onBytes(start));
    cr_assert(progress.hasBegun() && progress.isBeginning());
    cr_assert_not(progress.onBytes(start + 400ms));
    cr_assert(progress.isBeginning());
    // A suspended instance reads all bytes at once when it goes on.
    cr_assert_not(progress.onBytes(start + 5s));
    cr_assert_not(progress.onBytes(start + 5s));
    cr_assert_not(progress.isBeginning());
    cr_assert(progress.onBytes(start + 5500ms));
    cr_assert_not(progress.onBytes(start + 7s), "the proof is given once");
}

Test(targetEndRecord, isReadAsWritten)
{
    const TargetEndReport report { { "engine", 17 }, { { 1, { 2, 3 } }, { 4, { 5 } } }, { 6, 7 }, { 2 } };
    const auto read = fromRecord(toRecord(report));
    cr_assert(read.has_value());
    cr_assert(read->incarnation == report.incarnation);
    cr_assert_eq(read->beginning.size(), 2);
    cr_assert_eq(read->beginning[0].request, 1);
    cr_assert_eq(read->beginning[0].parts, report.beginning[0].parts);
    cr_assert_eq(read->answeredParts, report.answeredParts);
    cr_assert_eq(read->formerlySound, report.formerlySound);
    cr_assert_not(fromRecord("no report"));
    cr_assert_not(fromRecord(""));
    cr_assert_not(fromRecord(std::string(1u << 20, 'x')));
}

namespace {

int argumentCount = 0;

struct PublisherSite {
    QCoreApplication application { argumentCount, nullptr };
    FakeWatchableStore store;
    observe::Metrics metrics;
    std::vector<std::pair<std::string, bool>> done;
};

}

Test(recordPublisher, writesUnderOneLeaseAtABoundedRate)
{
    PublisherSite site;
    RecordPublisher publisher(site.store, site.metrics, { 60s, 100ms, 10ms });
    publisher.onDone = [&](const std::string& key, bool written) { site.done.emplace_back(key, written); };
    cr_assert(site.store.grants.empty(), "no lease without a record");
    publisher.write("a", "1");
    publisher.write("b", "2");
    cr_assert_eq(site.store.grants.size(), 1);
    site.store.grants.front()(int64_t { 7 });
    cr_assert_eq(site.store.writes.size(), 1);
    const auto start = Clock::now();
    site.store.puts.front()(Success {});
    cr_assert_eq(site.store.writes.size(), 1, "the second write waits");
    cr_assert(waitUntil([&] { return site.store.writes.size() == 2; }, 2s));
    cr_assert_geq((Clock::now() - start), 80ms);
    site.store.puts.back()(Success {});
    cr_assert_eq(site.store.grants.size(), 1);
    cr_assert(site.store.renewals.empty());
    cr_assert_eq(site.store.writes[1].lease, 7);
    cr_assert_eq(site.done.size(), 2);
    cr_assert(site.done[0].second && site.done[1].second);
    cr_assert_eq(site.metrics.platformCalls.Value(), 3);
}

Test(recordPublisher, replacesAnOldLease)
{
    PublisherSite site;
    RecordPublisher publisher(site.store, site.metrics, { 1s, 1ms, 10ms });
    publisher.write("a", "1");
    site.store.grants.front()(int64_t { 7 });
    site.store.puts.front()(Success {});
    runFor(600ms);
    publisher.write("b", "2");
    cr_assert(waitUntil([&] { return site.store.grants.size() == 2; }, 1s));
    site.store.grants.back()(int64_t { 8 });
    cr_assert_eq(site.store.writes.back().lease, 8);
}

Test(recordPublisher, failedWritesAreRepeatedAndThenDropped)
{
    PublisherSite site;
    RecordPublisher publisher(site.store, site.metrics, { 60s, 1ms, 1ms });
    publisher.onDone = [&](const std::string& key, bool written) { site.done.emplace_back(key, written); };
    publisher.write("a", "1");
    size_t answered = 0;
    cr_assert(waitUntil(
        [&] {
            while (answered < site.store.grants.size())
                site.store.grants[answered++](store::StoreFailure::Unknown);
            return !site.done.empty();
        },
        5s));
    cr_assert_eq(answered, 20);
    cr_assert_not(site.done.front().second);
    // The next record starts afresh.
    publisher.write("b", "2");
    cr_assert(waitUntil([&] { return site.store.grants.size() == 21; }, 1s));
    site.store.grants.back()(int64_t { 9 });
    site.store.puts.back()(store::StoreFailure::NotExecuted);
    cr_assert(waitUntil([&] { return site.store.grants.size() == 22; }, 1s), "the lease may have ended");
    site.store.grants.back()(int64_t { 10 });
    cr_assert_eq(site.store.writes.back().key, "b");
    site.store.puts.back()(Success {});
    cr_assert(site.done.back().second);
}

namespace {

struct QuarantineSite : PublisherSite {
    PromptQuarantine quarantine { "one", this->store, this->metrics };

    /// The target closes the connection of an attempt with @p parts.
    void breakAttempt(const std::string& target, const std::string& request, const std::vector<PartHash>& parts,
        bool isBeginning = true)
    {
        this->quarantine.onAttemptBroken({ { target, 1 }, request, parts, true, isBeginning });
    }
    void grantAll()
    {
        waitUntil([this] { return !this->store.grants.empty(); }, 1s);
        if (!this->store.grants.empty())
            this->store.grants.back()(int64_t { 5 });
    }
};

}

Test(promptQuarantine, attemptsThatBreakTogetherAreOneReport)
{
    QuarantineSite site;
    site.breakAttempt("a", "r1", { shared, bad });
    site.breakAttempt("a", "r2", { shared });
    site.breakAttempt("a", "r3", { other }, false);
    site.breakAttempt("a", "r4", {});
    site.grantAll();
    cr_assert_eq(site.store.writes.size(), 1);
    cr_assert(site.store.writes[0].key.starts_with(std::string(PromptQuarantine::reportPrefix) + "one/"));
    const auto report = fromRecord(site.store.writes[0].value);
    cr_assert(report.has_value());
    cr_assert_eq(report->beginning.size(), 2);
    cr_assert_eq(report->answeredParts, (std::vector<PartHash> { other }));
    runFor(300ms);
    cr_assert_eq(site.store.writes.size(), 1);
}

Test(promptQuarantine, targetThatGoesOnIsNotReported)
{
    QuarantineSite site;
    site.quarantine.hasOpenAttempt = [](const Incarnation&, Clock::time_point) { return true; };
    site.breakAttempt("a", "r1", { bad });
    runFor(900ms);
    cr_assert(site.store.grants.empty());
    // Attempts that end a little later than the first only delay the report.
    const auto start = Clock::now();
    site.quarantine.hasOpenAttempt
        = [start](const Incarnation&, Clock::time_point) { return Clock::now() < start + 200ms; };
    site.breakAttempt("b", "r2", { bad });
    site.grantAll();
    cr_assert_eq(site.store.writes.size(), 1);
    cr_assert_geq((Clock::now() - start), 200ms);
}

Test(promptQuarantine, reportOnATargetThatStaysRegisteredIsWithdrawn)
{
    QuarantineSite site;
    site.quarantine.isRegistered = [](const Incarnation& incarnation) { return incarnation.target != "c"; };
    for (const auto* target : { "a", "b", "c" })
        site.breakAttempt(target, std::string("r") + target, { bad });
    site.grantAll();
    for (size_t written = 0; written < 3; ++written) {
        cr_assert(waitUntil([&] { return site.store.puts.size() > written; }, 2s));
        std::exchange(site.store.puts[written], {})(Success {});
    }
    cr_assert(site.quarantine.findQuarantined({ bad }).has_value());
    cr_assert(waitUntil([&] { return !site.quarantine.findQuarantined({ bad }); }, 15s));
    cr_assert(waitUntil([&] { return !site.store.removals.empty(); }, 2s));
    std::exchange(site.store.removals[0], {})(Success {});
    cr_assert(waitUntil([&] { return site.store.removals.size() == 2; }, 2s));
    std::exchange(site.store.removals[1], {})(Success {});
    cr_assert_eq(site.store.removedKeys, (std::vector { site.store.writes[0].key, site.store.writes[1].key }));
    runFor(500ms);
    cr_assert_eq(site.store.removals.size(), 2, "the third target has ended");
}

Test(promptQuarantine, ownReportsCountAtOnceAndProofsArePublished)
{
    QuarantineSite site;
    int notified = 0;
    site.quarantine.onQuarantined = [&notified] { ++notified; };
    for (const auto* target : { "a", "b", "c" })
        site.breakAttempt(target, std::string("r") + target, { bad });
    cr_assert(waitUntil([&] { return site.quarantine.findQuarantined({ bad }).has_value(); }, 1s));
    cr_assert_eq(notified, 1);
    cr_assert_eq(site.metrics.quarantinedParts.Value(), 1);
    cr_assert_not(site.quarantine.findQuarantined({ shared, other }));
    site.quarantine.onSound({ bad });
    cr_assert(waitUntil([&] { return !site.quarantine.findQuarantined({ bad }); }, 1s));
    // The proof is published once, under a lease of its own.
    cr_assert(waitUntil([&] { return site.store.grants.size() == 2; }, 2s));
    site.quarantine.onSound({ bad });
    site.store.grants.back()(int64_t { 6 });
    cr_assert_eq(site.store.writes.back().key, std::string(PromptQuarantine::soundPrefix) + toText(bad));
    site.store.puts.back()(Success {});
    runFor(600ms);
    cr_assert_eq(site.store.writes.size(), 1);
}

Test(promptQuarantine, partThatExplainsNoMoreThanAnotherIsTriedOneRequestAtATime)
{
    QuarantineSite site;
    auto& quarantine = site.quarantine;
    for (const auto* target : { "a", "b", "c" })
        site.breakAttempt(target, std::string("r") + target, { shared, bad });
    cr_assert(waitUntil([&] { return quarantine.findQuarantined({ bad }).has_value(); }, 1s));
    cr_assert(waitUntil([&] { return !quarantine.refuse({ shared, other }, Clock::now()); }, 3s));
    const auto triedAt = Clock::now();
    cr_assert(quarantine.refuse({ shared, other }, triedAt).has_value());
    cr_assert(quarantine.refuse({ shared, other }, triedAt + 1s).has_value());
    cr_assert_not(quarantine.refuse({ shared, other }, triedAt + 2s));
    cr_assert(quarantine.refuse({ shared, bad }, triedAt + 1min).has_value());
    cr_assert_not(quarantine.withdraw({ shared }));
    cr_assert(quarantine.withdraw({ shared, bad }).has_value());
    quarantine.onSound({ shared });
    quarantine.update();
    cr_assert_not(quarantine.refuse({ shared }, triedAt + 1min));
    cr_assert(quarantine.refuse({ bad }, triedAt + 1min).has_value(), "nothing else explains the ends");
    cr_assert(quarantine.withdraw({ bad }).has_value());
}

Test(promptQuarantine, partsWithoutEvidenceCauseNoWrites)
{
    QuarantineSite site;
    for (int i = 0; i < 100; ++i)
        site.quarantine.onSound({ shared, static_cast<PartHash>(i) });
    site.breakAttempt("a", "r1", { shared });
    site.grantAll();
    cr_assert_eq(fromRecord(site.store.writes[0].value)->formerlySound, (std::vector<PartHash> { shared }));
    site.quarantine.onSound({ shared });
    runFor(600ms);
    cr_assert_eq(site.store.grants.size(), 1, "one end quarantines nothing, so no proof of soundness is needed");
}

Test(promptQuarantine, recordsOfOthersAreAppliedAndInvalidOnesRefused)
{
    QuarantineSite site;
    auto& quarantine = site.quarantine;
    const auto prefix = std::string(PromptQuarantine::reportPrefix);
    cr_assert_not(quarantine.applyRecord({ "dragonfly/order-holder", "x", 1 }, true));
    cr_assert(quarantine.applyRecord({ prefix + "two/1", "no report", 1 }, true));
    cr_assert(quarantine.applyRecord({ std::string(PromptQuarantine::soundPrefix) + "no hash", "two", 2 }, true));
    for (int i = 0; i < 3; ++i) {
        const TargetEndReport report { { "t" + std::to_string(i), 1 }, { { static_cast<uint64_t>(i), { bad } } }, {},
            {} };
        cr_assert(quarantine.applyRecord({ prefix + "two/" + std::to_string(i), toRecord(report), 3 + i }, true));
    }
    quarantine.update();
    cr_assert(quarantine.findQuarantined({ bad }).has_value());
    cr_assert(quarantine.findSuspected({ { "t9", 1 }, "r", { bad }, true, true }).has_value());
    cr_assert_not(quarantine.findSuspected({ { "t9", 1 }, "r", { bad }, true, false }));
    cr_assert(quarantine.applyRecord({ std::string(PromptQuarantine::soundPrefix) + toText(bad), "two", 9 }, true));
    quarantine.update();
    cr_assert_not(quarantine.findQuarantined({ bad }));
    // The proof outlives the reports; without them nothing is left.
    for (int i = 0; i < 3; ++i)
        quarantine.applyRecord({ prefix + "two/" + std::to_string(i), {}, 10 }, false);
    quarantine.update();
    cr_assert_not(quarantine.findQuarantined({ bad }));
}

Test(answerProgress, answerThatEndsWithItsConnectionProvesNothing)
{
    http::ResponseHead head;
    head.status = 200;
    cr_assert(provesSoundness(head));
    head.endsWithConnection = true;
    cr_assert_not(provesSoundness(head), "the end may be that of a crashed target");
    head = {};
    head.status = 500;
    cr_assert_not(provesSoundness(head));
}

Test(promptEvidence, lostProofStillClearsTheReportsBeforeItAndIsWorthPublishingAgain)
{
    Reports reports;
    for (const auto* target : { "a", "b", "c" })
        reports.add(target, { { bad } });
    reports.evidence.recordPublishedSound(bad, ++reports.revision);
    reports.evidence.update();
    cr_assert_not(reports.isQuarantined(bad));
    cr_assert_eq(reports.evidence.endsWithoutPublishedProof(bad), 0);
    reports.evidence.recordLostProof(bad);
    reports.evidence.update();
    cr_assert_not(reports.isQuarantined(bad));
    cr_assert_eq(reports.evidence.endsWithoutPublishedProof(bad), 3);
}

Test(promptEvidence, reportThatIsWrittenAgainStaysBeforeTheProofThatClearedIt)
{
    Reports reports;
    const auto write = [&](int64_t firstRevision) {
        for (const auto* target : { "a", "b", "c" })
            reports.evidence.add(target, { { target, 1 }, { { ++reports.requests, { bad } } }, {}, {} }, firstRevision);
    };
    write(store::revisionInEra(1, 10));
    reports.evidence.recordPublishedSound(bad, store::revisionInEra(1, 20));
    write(store::revisionInEra(2, 5));
    reports.evidence.update();
    cr_assert_not(reports.isQuarantined(bad));
}

Test(promptQuarantine, reportsThatTheStoreLostStayInForceAndOwnOnesArePublishedAgain)
{
    QuarantineSite site;
    auto& quarantine = site.quarantine;
    for (const auto* target : { "a", "b" })
        site.breakAttempt(target, std::string("r") + target, { bad });
    site.grantAll();
    const auto answerPut = [&](size_t number) {
        cr_assert(waitUntil([&] { return site.store.puts.size() > number; }, 2s));
        std::exchange(site.store.puts[number], {})(Success {});
    };
    answerPut(0);
    answerPut(1);
    const auto foreign = std::string(PromptQuarantine::reportPrefix) + "two/1";
    const TargetEndReport report { { "c", 1 }, { { 9, { bad } } }, {}, {} };
    cr_assert(quarantine.applyRecord({ foreign, toRecord(report), 3 }, true));
    quarantine.update();
    cr_assert(quarantine.findQuarantined({ bad }).has_value());
    quarantine.onStoreReturned();
    const auto own = site.store.writes[0].key;
    cr_assert(quarantine.onRecordLost(own));
    cr_assert(quarantine.onRecordLost(foreign));
    cr_assert_not(quarantine.onRecordLost("dragonfly/order-holder"));
    quarantine.publishMissing([&](const std::string& key) { return key != own; });
    quarantine.update();
    cr_assert(quarantine.findQuarantined({ bad }).has_value());
    // Under a new lease: the former one may be another instance's.
    cr_assert(waitUntil([&] { return site.store.grants.size() == 2; }, 2s));
    site.store.grants.back()(int64_t { 6 });
    cr_assert(waitUntil([&] { return site.store.writes.size() == 3; }, 2s));
    cr_assert_eq(site.store.writes[2].key, own);
    cr_assert_eq(site.store.writes[2].lease, 6);
}

namespace {

constexpr PartHash deadly = requestBit | 20; ///< own part of a request
constexpr PartHash neighbour = requestBit | 21;
constexpr PartHash third = requestBit | 22;

RequestIdentity identityOf(const std::string_view& body)
{
    return { "POST", "host", "/path?query", "caller", "model", { "a", "b" }, body };
}

}

Test(requestIdentity, eachFieldTellsRequestsApart)
{
    const auto identity = identityOf("body");
    const auto hash = hashOfRequest(identity);
    cr_assert(isRequest(hash));
    cr_assert_eq(hashOfRequest(identityOf("body")), hash);
    cr_assert_neq(hashOfRequest(identityOf("other body")), hash);
    cr_assert_neq(hashOfRequest(identityOf("")), hash);
    for (const auto field : { &RequestIdentity::method, &RequestIdentity::host, &RequestIdentity::target,
             &RequestIdentity::caller, &RequestIdentity::model }) {
        auto changed = identity;
        changed.*field = "x";
        cr_assert_neq(hashOfRequest(changed), hash);
    }
    for (const auto& prompt : { std::vector<std::string_view> { "a" }, { "a", "c" }, { "ab" }, { "a", "b", "" } }) {
        auto changed = identity;
        changed.prompt = prompt;
        cr_assert_neq(hashOfRequest(changed), hash);
    }
    auto shifted = identity;
    shifted.host = "host/";
    shifted.target = "path?query";
    cr_assert_neq(hashOfRequest(shifted), hash, "characters that move to the next field");
    cr_assert_not(isRequest(hashOfPart("m", "a")) || isRequest(hashOfPart("m", "b")) || isRequest(hashOfPart("", "c")));
}

Test(promptEvidence, requestThatThreeTargetsBeganIsQuarantinedAndItsPartsAreNot)
{
    Reports reports;
    for (const auto* target : { "a", "b", "c" }) {
        cr_assert_not(reports.isQuarantined(deadly));
        reports.add(target, { { shared, bad, deadly } });
        reports.evidence.update();
    }
    cr_assert(reports.isQuarantined(deadly));
    cr_assert(reports.evidence.holdsRequests());
    cr_assert_not(reports.isQuarantined(shared) || reports.isQuarantined(bad));
    cr_assert_not(reports.evidence.findQuarantined(std::vector { shared, bad, neighbour }).has_value());
}

Test(promptEvidence, requestIsTheCauseRatherThanAPartThatExplainsNoMoreEnds)
{
    Reports reports;
    for (const auto* target : { "a", "b", "c" })
        reports.add(target, { { bad, deadly }, { bad, requestBit | reports.requests } });
    reports.evidence.update();
    cr_assert(reports.isQuarantined(deadly));
    cr_assert_not(reports.isQuarantined(bad), "its other requests are sent");
    // An end without the request, and the part explains more.
    reports.add("d", { { bad, neighbour } });
    reports.evidence.update();
    cr_assert(reports.isQuarantined(bad));
    cr_assert_not(reports.isQuarantined(deadly));
}

/// Each request with the part comes three times before it is refused.
Test(promptEvidence, partThatWasAnsweredBeforeIsQuarantinedAfterFiveEndsBesideRepeatedRequests)
{
    Reports reports;
    for (const auto* target : { "a", "b", "c" })
        reports.add(target, { { bad, deadly } }, { bad });
    reports.evidence.update();
    cr_assert(reports.isQuarantined(deadly));
    for (const auto* target : { "d", "e" })
        reports.add(target, { { bad, neighbour } }, { bad });
    reports.evidence.update();
    cr_assert(reports.isQuarantined(bad));
}

Test(promptEvidence, requestsThatRanBesideTheCauseAreReleasedByAnAnswerOrAFurtherEnd)
{
    Reports reports;
    for (const auto* target : { "a", "b", "c" })
        reports.add(target, { { deadly }, { neighbour }, { third } });
    reports.add("z", { { neighbour } });
    reports.evidence.recordSound(neighbour);
    reports.evidence.update();
    cr_assert_not(reports.isQuarantined(neighbour), "it was answered");
    cr_assert(reports.isQuarantined(deadly) && reports.isQuarantined(third), "nothing tells them apart");
    reports.add("d", { { deadly } });
    reports.evidence.update();
    cr_assert(reports.isQuarantined(deadly));
    cr_assert_not(reports.isQuarantined(third));
}

Test(promptEvidence, repetitionIsSuspectedAfterTwoOtherTargetsEnded)
{
    Reports reports;
    const std::vector<PartHash> parts { shared, deadly };
    const auto suspected = [&] { return reports.evidence.findSuspected(parts, 9, { "c", 1 }).value_or(0); };
    reports.add("a", { parts });
    reports.add("c", { parts });
    reports.evidence.update();
    cr_assert_eq(suspected(), 0, "one other end");
    reports.add("b", { parts });
    reports.evidence.update();
    cr_assert_eq(suspected(), deadly);
    cr_assert_eq(reports.evidence.findSuspected(std::vector { shared, neighbour }, 9, { "d", 1 }).value_or(0), shared,
        "another request with the part");
}

Test(promptEvidence, newRequestsThatBreakConnectionsDoNotDisplaceTheEvidenceAgainstARequest)
{
    Reports reports;
    for (const auto* target : { "a", "b", "c" })
        reports.add(target, { { deadly } });
    reports.evidence.update();
    for (PartHash request = 100; request < 100 + 2 * maxKeptRequests; ++request)
        reports.add("t" + std::to_string(request), { { requestBit | request } });
    cr_assert_eq(reports.evidence.keptRequests(), maxKeptRequests);
    reports.evidence.update();
    cr_assert(reports.isQuarantined(deadly));
}

Test(promptQuarantine, requestWithoutAPromptIsReportedWithItsOwnPart)
{
    QuarantineSite site;
    cr_assert_not(site.quarantine.needsOwnPart());
    site.breakAttempt("a", "r1", { deadly });
    site.breakAttempt("a", "r2", { neighbour }, false);
    site.grantAll();
    const auto report = fromRecord(site.store.writes.at(0).value);
    cr_assert(report.has_value());
    cr_assert_eq(report->beginning.size(), 1);
    cr_assert_eq(report->beginning[0].parts, (std::vector<PartHash> { deadly }));
    cr_assert(report->answeredParts.empty(), "only prompts share parts with other requests");
    site.quarantine.update();
    cr_assert_not(site.quarantine.needsOwnPart(), "one end quarantines nothing, so no answer to the request matters");
    site.breakAttempt("b", "r3", { deadly });
    cr_assert(waitUntil([&] { return site.quarantine.needsOwnPart(); }, 1s));
    cr_assert_not(site.quarantine.holdsRequests());
}

Test(promptQuarantine, quarantinedRequestIsTriedOnceByAProcessThatReportedIt)
{
    QuarantineSite site;
    auto& quarantine = site.quarantine;
    for (const auto* target : { "a", "b", "c" })
        site.breakAttempt(target, std::string("r") + target, { deadly });
    cr_assert(waitUntil([&] { return quarantine.holdsRequests(); }, 1s));
    const auto now = Clock::now();
    cr_assert_eq(quarantine.refuse({ shared, deadly }, now).value_or(0), deadly);
    cr_assert(quarantine.refuse({ deadly }, now + 1s).has_value());
    cr_assert_not(quarantine.refuse({ deadly }, now + 3s).has_value());
    cr_assert(quarantine.refuse({ deadly }, now + 4s).has_value(), "the result is not known yet");
    cr_assert_not(quarantine.refuse({ deadly }, now + 6s).has_value(), "nothing was sent");
    quarantine.onSent({ neighbour });
    cr_assert_not(quarantine.refuse({ deadly }, now + 9s).has_value());
    quarantine.onSent({ deadly });
    cr_assert(quarantine.refuse({ deadly }, now + 1h).has_value());
    quarantine.onSound({ deadly });
    quarantine.update();
    cr_assert_not(quarantine.refuse({ deadly }, now + 1h).has_value());
}

Test(promptQuarantine, quarantinedRequestIsTriedByTwoProcessesAtMost)
{
    const auto triesAfter = [](int ownReport) {
        QuarantineSite site;
        auto& quarantine = site.quarantine;
        const auto prefix = std::string(PromptQuarantine::reportPrefix);
        for (int i = 0; i < 4; ++i) {
            if (i == ownReport) {
                site.breakAttempt("own", "r", { deadly });
                site.grantAll();
                const auto& written = site.store.writes.at(0);
                quarantine.applyRecord({ written.key, written.value, 10 + i }, true);
                continue;
            }
            const TargetEndReport report { { "t" + std::to_string(i), 1 }, { { 7, { deadly } } }, {}, {} };
            const auto key = prefix + "instance" + std::to_string(i) + "/5-1";
            quarantine.applyRecord({ key, toRecord(report), 10 + i }, true);
        }
        quarantine.update();
        const auto now = Clock::now();
        cr_assert(quarantine.refuse({ deadly }, now).has_value());
        return !quarantine.refuse({ deadly }, now + 1min).has_value();
    };
    cr_assert(triesAfter(0));
    cr_assert(triesAfter(1));
    cr_assert_not(triesAfter(2));
    cr_assert_not(triesAfter(4), "it has reported nothing");
}

/// The end that the first process caused with its trial.
Test(promptQuarantine, secondProcessDoesNotTryARequestThatCrashedAgain)
{
    QuarantineSite site;
    auto& quarantine = site.quarantine;
    const auto apply = [&](const std::string& target, int64_t revision) {
        const TargetEndReport report { { target, 1 }, { { 7, { deadly } } }, {}, {} };
        const auto key = std::string(PromptQuarantine::reportPrefix) + "first/5-" + target;
        quarantine.applyRecord({ key, toRecord(report), revision }, true);
        quarantine.update();
    };
    apply("a", 1);
    apply("b", 2);
    site.breakAttempt("own", "r", { deadly });
    cr_assert(waitUntil([&] { return quarantine.holdsRequests(); }, 1s));
    const auto now = Clock::now();
    cr_assert(quarantine.refuse({ deadly }, now).has_value());
    apply("c", 3);
    cr_assert(quarantine.refuse({ deadly }, now + 1min).has_value());
}

Test(recordPublisher, urgentRecordsAreWrittenFirstAndDroppedLast)
{
    PublisherSite site;
    RecordPublisher publisher(site.store, site.metrics, { 60s, 1ms, 10ms });
    publisher.onDone = [&](const std::string& key, bool written) { site.done.emplace_back(key, written); };
    publisher.write("in flight", "1");
    site.store.grants.front()(int64_t { 7 });
    for (int i = 0; i < 31; ++i)
        publisher.write("ordinary " + std::to_string(i), "1");
    publisher.write("urgent 1", "1", RecordPublisher::Urgency::Urgent);
    publisher.write("urgent 2", "1", RecordPublisher::Urgency::Urgent);
    cr_assert_eq(site.done.size(), 2);
    cr_assert(site.done[0] == std::pair(std::string("ordinary 0"), false));
    cr_assert(site.done[1] == std::pair(std::string("ordinary 1"), false));
    for (const auto* expected : { "in flight", "urgent 1", "urgent 2", "ordinary 2", "ordinary 3" }) {
        const auto number = site.store.writes.size();
        cr_assert_eq(site.store.writes.back().key, expected, "%s", site.store.writes.back().key.c_str());
        std::exchange(site.store.puts.back(), {})(Success {});
        cr_assert(waitUntil([&] { return site.store.writes.size() > number; }, 2s));
    }
}

/// More targets have ended than reports are written in the time that the users allow.
Test(promptQuarantine, reportOnARepetitionIsWrittenBeforeThoseOnOtherEnds)
{
    QuarantineSite site;
    site.breakAttempt("a", "r1", { shared, deadly });
    site.grantAll();
    for (int i = 0; i < 20; ++i)
        site.breakAttempt("t" + std::to_string(i), "s", { requestBit | static_cast<PartHash>(100 + i) });
    site.breakAttempt("z", "r2", { shared, deadly });
    runFor(200ms);
    cr_assert_eq(site.store.writes.size(), 1);
    std::exchange(site.store.puts[0], {})(Success {});
    cr_assert(waitUntil([&] { return site.store.writes.size() == 2; }, 2s));
    cr_assert_eq(fromRecord(site.store.writes[1].value)->incarnation.target, "z");
}
