// End-to-end tests of requests that crash each target which begins to run them, with real processes: several entry
// instances, a metadata store, and targets that end and return. The requests come again and again with one path, caller
// and body, and a new id each time.

#include "tests/support/ForwardSite.h"

#include <QDateTime>
#include <algorithm>
#include <criterion/criterion.h>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

constexpr size_t instances = 3;
constexpr size_t targets = 3;
/// Stated target: this long after the third crash, at most maxLateArrivals requests reach targets.
constexpr std::chrono::milliseconds contactTime { 4000 };
constexpr int maxLateArrivals = 3;
constexpr qsizetype countedCrashes = 3;
constexpr const char* deadlyBody = "this body ends each target that begins it";

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

/// A site whose targets end when they begin to run a request with the deadly body.
struct CrashSite {
    const Application application;
    ForwardSite site;
    std::string path;
    std::vector<SoundRequest> sound;
    std::vector<AnswerPointer> deadly;

    /// @param path of all requests
    /// @param furtherServices targets of the plain service beyond the usual number
    explicit CrashSite(const std::string& path, size_t furtherServices = 0)
        : path(path)
    {
        while (this->site.services.size() < targets + furtherServices)
            this->site.addService();
        while (this->site.engines.size() < targets)
            this->site.addEngine();
        for (const auto* processes : { &this->site.services, &this->site.engines }) {
            for (const auto& target : *processes)
                control(target->address("control"),
                    { { "deadly_body", deadlyBody }, { "work_ms", 20 }, { "events", 12 }, { "event_ms", 20 } });
        }
        while (this->site.entries.size() < instances)
            this->site.startEntry();
    }

    /// Sends a sound request, with the path, the caller and the first part of the prompt of those that end targets.
    void sendSound()
    {
        const auto number = std::to_string(this->sound.size());
        this->sound.push_back({ this->site.send({ .id = "s" + number,
                                                    .path = this->path,
                                                    .body = "sound " + number,
                                                    .prompt = "aa:200,e" + number + ":60" },
                                    this->sound.size() % this->site.entries.size()),
            QDateTime::currentMSecsSinceEpoch() });
    }

    AnswerPointer sendDeadly(size_t entry)
    {
        this->deadly.push_back(this->site.send({ .id = "d" + std::to_string(this->deadly.size()),
                                                   .path = this->path,
                                                   .body = deadlyBody,
                                                   .deadlineMs = 9000,
                                                   .prompt = "aa:200,f0:60" },
            entry));
        return this->deadly.back();
    }

    /// Sends 20 sound requests a second and, if @p withDeadly, 5 that end targets, in turn to all instances.
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

    /// The times that the targets report in @p field, in order.
    std::vector<int64_t> times(const char* field) const
    {
        std::vector<int64_t> found;
        for (const auto* processes : { &this->site.services, &this->site.engines }) {
            for (const auto& target : *processes) {
                for (const auto& time : control(target->address("control"))[QLatin1String(field)].toArray())
                    found.push_back(time.toInteger());
            }
        }
        std::sort(found.begin(), found.end());
        return found;
    }

    /// The time of the third crash; of the last if there were fewer.
    int64_t countedFrom() const
    {
        const auto crashes = this->times("crashes");
        require(!crashes.empty(), "no target ended");
        return crashes[std::min<size_t>(crashes.size(), countedCrashes) - 1];
    }

    /// Deadly requests that reached targets later than contactTime after the third crash and after @p storeBackAt.
    int lateArrivals(int64_t storeBackAt = 0) const
    {
        const auto counted = std::max(this->countedFrom(), storeBackAt) + contactTime.count();
        const auto arrivals = this->times("deadly_arrivals");
        return static_cast<int>(std::ranges::count_if(arrivals, [counted](int64_t time) { return time > counted; }));
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
};

/// Plays a request to @p path that ends each target which begins it beside sound ones.
void checkThatItStops(const char* path)
{
    CrashSite site(path);
    site.play(2s, false);
    const auto began = QDateTime::currentMSecsSinceEpoch();
    site.play(14s, true);
    const auto ended = QDateTime::currentMSecsSinceEpoch();
    site.waitForAnswers();
    const auto late = site.lateArrivals();
    const auto before = site.servedShare(0, began);
    const auto after = site.servedShare(site.countedFrom() + 2 * contactTime.count(), ended);
    cr_expect_leq(late, maxLateArrivals,
        "%d repeats reached targets later than %d ms after the third crash; %d crashes", late,
        static_cast<int>(contactTime.count()), static_cast<int>(site.times("crashes").size()));
    cr_expect_gt(before, 0);
    cr_expect_geq(after, before / 2, "sound requests served before: %.2f, after the crashes: %.2f", before, after);
    const auto& last = site.deadly.back();
    cr_expect(isQuarantined(last), "status %d: %s", last->status, last->body.c_str());
    cr_expect_eq(last->status, 503);
    cr_expect_eq(last->execution(), "not-run");
    cr_expect_neq(last->header("Retry-After"), "");
}

}

Test(crashingRequest, repeatsOfAnIdempotentRequestStopReachingTargets)
{
    checkThatItStops("/read/x");
}

Test(crashingRequest, repeatsOfANonIdempotentRequestStopReachingTargets)
{
    checkThatItStops("/book/x");
}

Test(crashingRequest, repeatsOfAnAnonymousRequestStopReachingTargets)
{
    checkThatItStops("/open/x");
}

Test(crashingRequest, repeatsOfAStreamStopReachingEngines)
{
    checkThatItStops("/ask/x");
}

Test(crashingRequest, repeatsStopAfterTheStoreWasAwayAtTheThirdCrashAndAnInstanceRestarted)
{
    CrashSite site("/read/x");
    site.play(1s, false);
    // The route allows two targets for each request.
    require(waitFor(site.sendDeadly(0)), "no answer");
    require(waitUntil([&site] { return site.times("crashes").size() == 2; }, 2s), "two targets have not ended");
    runFor(500ms); // the others read the reports
    site.site.controlStore({ { "mode", "busy" } });
    require(waitFor(site.sendDeadly(1)), "no answer");
    require(waitUntil([&site] { return site.times("crashes").size() >= 3; }, 2s), "the third target has not ended");
    site.play(3s, true);
    site.site.controlStore({ { "mode", "up" } });
    const auto storeBackAt = QDateTime::currentMSecsSinceEpoch();
    site.play(4s, true);
    site.site.restartEntry(2);
    const auto restartedAt = QDateTime::currentMSecsSinceEpoch();
    site.play(8s, true);
    const auto ended = QDateTime::currentMSecsSinceEpoch();
    for (size_t entry = 0; entry < instances; ++entry) {
        const auto answer = site.sendDeadly(entry);
        require(waitFor(answer), "no answer");
        cr_expect(isQuarantined(answer), "instance %zu: %d", entry, answer->status);
    }
    site.waitForAnswers();
    const auto late = site.lateArrivals(storeBackAt);
    cr_expect_leq(late, maxLateArrivals, "%d repeats reached targets late; %d crashes", late,
        static_cast<int>(site.times("crashes").size()));
    const auto after = site.servedShare(std::max(storeBackAt + 2 * contactTime.count(), restartedAt), ended);
    cr_expect_geq(after, 0.5, "sound requests served after the crashes: %.2f", after);
}

namespace {

/// A site with a further target that survives the request and does not answer, and deadly requests at all targets.
struct WaitingSite : CrashSite {
    Process& survivor;

    explicit WaitingSite(const std::string& path)
        : CrashSite(path, 1)
        , survivor(*this->site.services.back())
    {
        this->site.publish({ forwardKey }, 10000);
        control(this->survivor.address("control"), { { "deadly_body", "" }, { "answer", "silent" } });
        runFor(1s); // the instances read the configuration
        constexpr int requests = 16;
        for (int i = 0; i < requests; ++i)
            this->sendDeadly(0);
        require(waitUntil([this] { return this->times("crashes").size() == targets; }, 3s), "not all targets ended");
    }

    int atSurvivor(const char* field) const
    {
        const auto value = control(this->survivor.address("control"))[QLatin1String(field)];
        return value.isArray() ? static_cast<int>(value.toArray().size()) : value.toInt();
    }
};

}

Test(crashingRequest, idempotentRequestsThatWaitAreWithdrawnAtTheThirdCrash)
{
    WaitingSite site("/read/x");
    cr_assert(waitForAll(site.deadly, 4s), "requests wait on for their time-out");
    cr_assert_gt(site.atSurvivor("arrivals"), 0);
    cr_assert(waitUntil([&site] { return site.atSurvivor("cancelled") == site.atSurvivor("arrivals"); }, 1s));
    for (const auto& answer : site.deadly)
        cr_assert_neq(answer->execution(), "not-run");
}

Test(crashingRequest, nonIdempotentRequestsThatWereSentStayWithTheirTarget)
{
    WaitingSite site("/book/x");
    runFor(2s);
    cr_assert_gt(site.atSurvivor("arrivals"), 0);
    cr_assert_eq(site.atSurvivor("cancelled"), 0);
}
