// End-to-end tests of the quarantine of prompt parts that crash engines, with real processes: several entry
// instances, a metadata store, and engines that end and return.

#include "tests/support/CrashSite.h"

#include <criterion/criterion.h>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

constexpr size_t engines = 6;
constexpr size_t countedCrashes = 5;
constexpr const char* deadlyPart = "dead";

/// A site whose engines end when they begin to answer a request with the deadly part. Sound requests share their caller
/// and their first part with those.
class PartSite : public CrashSite {
public:
    PartSite()
        : CrashSite(countedCrashes)
    {
        while (this->site.engines.size() < engines)
            this->site.addEngine();
        for (const auto& engine : this->site.engines)
            control(engine->address("control"),
                { { "deadly_part", deadlyPart }, { "work_ms", 20 }, { "events", 12 }, { "event_ms", 20 } });
        this->startEntries();
    }

    /// Waits until all engines have returned and every instance knows them.
    void waitForEngines()
    {
        require(waitUntil(
                    [this] {
                        return std::ranges::all_of(this->site.entries, [](const auto& entry) {
                            const auto status = get(entry->address("admin"), "/status");
                            int usable = 0;
                            require(waitFor(status), "no status");
                            for (const auto& target : status->json()["targets"].toArray())
                                usable += target.toObject()["service"] == "engines";
                            return usable == static_cast<int>(engines);
                        });
                    },
                    10s),
            "the engines have not returned");
    }

protected:
    ForwardRequestSpec soundRequest(const std::string& number) const override
    {
        return { .id = "s" + number, .path = "/ask/x", .prompt = "aa:200,cc:50,e" + number + ":60" };
    }
    ForwardRequestSpec deadlyRequest(const std::string& number) const override
    {
        return { .id = "d" + number,
            .path = "/ask/x",
            .prompt = "aa:200," + std::string(deadlyPart) + ":80,f" + number + ":60" };
    }
};

}

Test(quarantine, requestsWithAPartThatCrashesEnginesStopReachingThem)
{
    PartSite site;
    site.play(2s, false);
    site.play(10s, true);
    site.waitForAnswers();
    const auto late = site.lateArrivals();
    cr_assert_leq(late, maxLateArrivals,
        "%d requests with the part reached engines later than %d ms after the crash; %d crashes", late,
        static_cast<int>(contactTime.count()), site.crashes());
    cr_assert(isQuarantined(site.deadly.back()));
    cr_assert_eq(site.deadly.back()->status, 503);
    cr_assert_eq(site.deadly.back()->execution(), "not-run");
    cr_assert_neq(site.deadly.back()->header("Retry-After"), "");
}

Test(quarantine, soundRequestsWithTheSameKeyAndFirstPartAreServed)
{
    PartSite site;
    site.play(3s, false);
    const auto began = QDateTime::currentMSecsSinceEpoch();
    site.play(14s, true);
    const auto ended = QDateTime::currentMSecsSinceEpoch();
    site.waitForAnswers();
    const auto before = site.servedShare(0, began);
    const auto after = site.servedShare(site.countedFrom() + 2 * contactTime.count(), ended);
    cr_assert_gt(before, 0);
    cr_assert_geq(after, before / 2, "served before: %.2f, after the crashes: %.2f", before, after);
}

/// No instance has seen the shared part answered when the first engines end.
Test(quarantine, partsThatAllRequestsShareAreServedWhenCrashesComeFirst)
{
    PartSite site;
    for (size_t entry = 0; entry < instances; ++entry)
        site.sendDeadly(entry);
    site.play(13s, true);
    const auto ended = QDateTime::currentMSecsSinceEpoch();
    site.waitForAnswers();
    const auto late = site.lateArrivals();
    cr_assert_leq(
        late, maxLateArrivals, "%d requests with the part reached engines late; %d crashes", late, site.crashes());
    // Without crashes all are served.
    const auto after = site.servedShare(site.countedFrom() + 2 * contactTime.count(), ended);
    cr_assert_geq(after, 0.5, "served after the crashes: %.2f", after);
}

/// Only requests with both parts come until the quarantine, so that nothing tells the shared part from the bad one.
Test(quarantine, sharedPartIsServedAfterACrashThatItCouldHaveCaused)
{
    PartSite site;
    for (const size_t entry : { 0u, 1u })
        require(waitFor(site.sendDeadly(entry)), "no answer");
    runFor(1s);
    site.play(12s, true);
    const auto ended = QDateTime::currentMSecsSinceEpoch();
    site.waitForAnswers();
    const auto after = site.servedShare(site.countedFrom() + 2 * contactTime.count(), ended);
    cr_assert_geq(after, 0.5, "served after the crashes: %.2f", after);
    cr_assert_leq(site.lateArrivals(), maxLateArrivals);
}

Test(quarantine, instancesThatStartAfterTheCrashesRefuseToo)
{
    PartSite site;
    site.play(1s, false);
    site.play(5s, true);
    site.waitForAnswers();
    site.waitForEngines();
    site.site.restartEntry(0);
    site.site.startEntry();
    const auto reached = site.times("deadly_arrivals").size();
    for (const size_t entry : { size_t { 0 }, instances }) {
        const auto answer = site.sendDeadly(entry);
        require(waitFor(answer), "no answer");
        cr_assert_eq(answer->status, 503, "instance %zu: %d", entry, answer->status);
        cr_assert(isQuarantined(answer));
        const auto sound = site.site.sendAndWait(
            { .id = "after" + std::to_string(entry), .path = "/ask/x", .prompt = "aa:200,cc:50,9:60" }, entry);
        cr_assert_eq(sound->status, 200);
    }
    cr_assert_eq(site.times("deadly_arrivals").size(), reached);
}

Test(quarantine, suspectedRequestIsNotSentToAnotherEngine)
{
    PartSite site;
    const auto sendAndCount = [&site](size_t entry) {
        const auto answer = site.sendDeadly(entry);
        require(waitFor(answer), "no answer");
        runFor(1s); // the others read the report
        return site.times("deadly_arrivals").size();
    };
    // The route allows two engines for each request. The first request may be unlucky, the second is not.
    cr_assert_eq(sendAndCount(0), 2);
    cr_assert_eq(sendAndCount(1), 3);
}

Test(quarantine, enginesThatEndForOtherReasonsQuarantineNothing)
{
    PartSite site;
    for (int round = 0; round < 8; ++round) {
        site.play(500ms, false);
        control(site.site.engines[static_cast<size_t>(round) % engines]->address("control"), { { "crash", true } });
        site.play(500ms, false);
    }
    site.waitForAnswers();
    for (const auto& request : site.sound)
        cr_assert_not(isQuarantined(request.answer));
}

Test(quarantine, partStaysRefusedWhenTheStoreReturnsWithoutTheReports, .timeout = 90)
{
    PartSite site;
    site.site.controlStore({ { "save", true } });
    site.play(1s, false);
    site.play(5s, true);
    site.waitForAnswers();
    QJsonArray formerEngines;
    for (size_t engine = 0; engine < engines; ++engine)
        formerEngines.append("servers/engine-" + QString::number(engine));
    site.site.controlStore({ { "restore", true }, { "as_if_lost", formerEngines } });
    // Engines register again within about two seconds.
    for (const auto& engine : site.site.engines)
        control(engine->address("control"), { { "draining", false } });
    const auto hasRead = [&](size_t entry) {
        const auto status = get(site.site.entries[entry]->address("admin"), "/status");
        return waitFor(status) && status->json()["platform_era"].toInt() == 2
            && status->json()["platform_reachable"].toBool();
    };
    for (size_t entry = 0; entry < instances; ++entry)
        require(waitUntil([&] { return hasRead(entry); }, 10s), "the returned store was not read");
    runFor(2s); // reports are published at a bounded rate
    site.waitForEngines();
    site.site.restartEntry(0);
    const auto reached = site.times("deadly_arrivals").size();
    for (size_t entry = 0; entry < instances; ++entry) {
        const auto answer = site.sendDeadly(entry);
        require(waitFor(answer), "no answer");
        cr_assert(isQuarantined(answer), "instance %zu: %d", entry, answer->status);
    }
    cr_assert_eq(site.times("deadly_arrivals").size(), reached);
}
