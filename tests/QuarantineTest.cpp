// End-to-end tests of the quarantine of prompt parts that crash engines, with real processes: several entry
// instances, a metadata store, and engines that end and return.

#include "tests/support/ForwardSite.h"

#include <QDateTime>
#include <algorithm>
#include <criterion/criterion.h>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

constexpr size_t instances = 3;
constexpr size_t engines = 6;
/// Stated target: this long after the fifth crash, at most maxLateArrivals requests reach engines.
constexpr std::chrono::milliseconds contactTime { 4000 };
constexpr int maxLateArrivals = 3;
constexpr qsizetype countedCrashes = 5;
constexpr const char* deadlyPart = "dead";

struct SoundRequest {
    AnswerPointer answer;
    int64_t sentAt; ///< milliseconds since the Unix epoch
};

bool isServed(const AnswerPointer& answer)
{
    return answer->status == 200 && answer->whole;
}

bool isQuarantined(const AnswerPointer& answer)
{
    return answer->body.find("prompt_quarantined") != std::string::npos;
}

/// A site whose engines end when they begin to answer a request with the deadly part.
struct CrashSite {
    const Application application;
    ForwardSite site;
    std::vector<SoundRequest> sound;
    std::vector<AnswerPointer> deadly;

    CrashSite()
    {
        while (this->site.engines.size() < engines)
            this->site.addEngine();
        for (const auto& engine : this->site.engines)
            control(engine->address("control"),
                { { "deadly_part", deadlyPart }, { "work_ms", 20 }, { "events", 12 }, { "event_ms", 20 } });
        while (this->site.entries.size() < instances)
            this->site.startEntry();
    }

    /// Sends a sound request, which shares its caller and its first part with those that end engines.
    void sendSound()
    {
        const auto number = std::to_string(this->sound.size());
        this->sound.push_back(
            { this->site.send({ .id = "s" + number, .path = "/ask/x", .prompt = "aa:200,cc:50,e" + number + ":60" },
                  this->sound.size() % this->site.entries.size()),
                QDateTime::currentMSecsSinceEpoch() });
    }

    AnswerPointer sendDeadly(size_t entry)
    {
        const auto number = std::to_string(this->deadly.size());
        this->deadly.push_back(
            this->site.send({ .id = "d" + number,
                                .path = "/ask/x",
                                .prompt = "aa:200," + std::string(deadlyPart) + ":80,f" + number + ":60" },
                entry));
        return this->deadly.back();
    }

    /// Sends 20 sound requests a second and, if @p withDeadly, 5 that end engines, in turn to all instances.
    void play(std::chrono::milliseconds duration, bool withDeadly)
    {
        constexpr int soundPerDeadly = 4;
        const auto end = Clock::now() + duration;
        for (int tick = 0; Clock::now() < end; ++tick, runFor(50ms)) {
            this->sendSound();
            if (withDeadly && tick % soundPerDeadly == 0)
                this->sendDeadly(this->deadly.size() % this->site.entries.size());
        }
    }

    void waitForAnswers()
    {
        std::vector<AnswerPointer> all = this->deadly;
        for (const auto& request : this->sound)
            all.push_back(request.answer);
        require(waitForAll(all, 20s), "not all requests were answered");
    }

    /// The times that the engines report in @p field, in order.
    std::vector<int64_t> times(const char* field) const
    {
        std::vector<int64_t> found;
        for (const auto& engine : this->site.engines) {
            for (const auto& time : control(engine->address("control"))[QLatin1String(field)].toArray())
                found.push_back(time.toInteger());
        }
        std::sort(found.begin(), found.end());
        return found;
    }

    /// The time of the fifth crash; of the last if there were fewer.
    int64_t countedFrom() const
    {
        const auto crashes = this->times("crashes");
        require(!crashes.empty(), "no engine ended");
        return crashes[std::min<size_t>(crashes.size(), countedCrashes) - 1];
    }

    /// The share of the sound requests sent from @p begin to @p end that were served; 0 if there were none.
    double servedShare(int64_t begin, int64_t end) const
    {
        int sent = 0;
        int served = 0;
        for (const auto& request : this->sound) {
            if (request.sentAt < begin || request.sentAt >= end)
                continue;
            ++sent;
            served += isServed(request.answer);
        }
        return sent ? static_cast<double>(served) / sent : 0;
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
};

}

Test(quarantine, requestsWithAPartThatCrashesEnginesStopReachingThem)
{
    CrashSite site;
    site.play(2s, false);
    site.play(10s, true);
    site.waitForAnswers();
    const auto counted = site.countedFrom() + contactTime.count();
    const auto arrivals = site.times("deadly_arrivals");
    const auto late = std::ranges::count_if(arrivals, [counted](int64_t time) { return time > counted; });
    cr_assert_leq(late, maxLateArrivals,
        "%d requests with the part reached engines later than %d ms after the crash; %d crashes",
        static_cast<int>(late), static_cast<int>(contactTime.count()), static_cast<int>(site.times("crashes").size()));
    cr_assert(isQuarantined(site.deadly.back()));
    cr_assert_eq(site.deadly.back()->status, 503);
    cr_assert_eq(site.deadly.back()->execution(), "not-run");
    cr_assert_neq(site.deadly.back()->header("Retry-After"), "");
}

Test(quarantine, soundRequestsWithTheSameKeyAndFirstPartAreServed)
{
    CrashSite site;
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
    CrashSite site;
    for (size_t entry = 0; entry < instances; ++entry)
        site.sendDeadly(entry);
    site.play(13s, true);
    const auto ended = QDateTime::currentMSecsSinceEpoch();
    site.waitForAnswers();
    const auto counted = site.countedFrom() + contactTime.count();
    const auto arrivals = site.times("deadly_arrivals");
    const auto late = std::ranges::count_if(arrivals, [counted](int64_t time) { return time > counted; });
    cr_assert_leq(late, maxLateArrivals, "%d requests with the part reached engines late; %d crashes",
        static_cast<int>(late), static_cast<int>(site.times("crashes").size()));
    // Without crashes all are served.
    const auto after = site.servedShare(site.countedFrom() + 2 * contactTime.count(), ended);
    cr_assert_geq(after, 0.5, "served after the crashes: %.2f", after);
}

/// Only requests with both parts come until the quarantine, so that nothing tells the shared part from the bad one.
Test(quarantine, sharedPartIsServedAfterACrashThatItCouldHaveCaused)
{
    CrashSite site;
    for (const size_t entry : { 0u, 1u })
        require(waitFor(site.sendDeadly(entry)), "no answer");
    runFor(1s);
    site.play(12s, true);
    const auto ended = QDateTime::currentMSecsSinceEpoch();
    site.waitForAnswers();
    const auto after = site.servedShare(site.countedFrom() + 2 * contactTime.count(), ended);
    cr_assert_geq(after, 0.5, "served after the crashes: %.2f", after);
    const auto counted = site.countedFrom() + contactTime.count();
    const auto arrivals = site.times("deadly_arrivals");
    cr_assert_leq(std::ranges::count_if(arrivals, [counted](int64_t time) { return time > counted; }), maxLateArrivals);
}

Test(quarantine, instancesThatStartAfterTheCrashesRefuseToo)
{
    CrashSite site;
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
    CrashSite site;
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
    CrashSite site;
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
    CrashSite site;
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
