// End-to-end tests of requests that crash each target which begins to run them, with real processes: several entry
// instances, a metadata store, and targets that end and return. The requests come again and again with one path, caller
// and body, and a new id each time.

#include "tests/support/CrashSite.h"

#include <criterion/criterion.h>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

constexpr size_t targets = 3;
constexpr size_t countedCrashes = 3;
constexpr const char* deadlyBody = "this body ends each target that begins it";

/// A site whose targets end when they begin to run a request with the deadly body. Sound requests have the path, the
/// caller and the first part of the prompt of those.
class BodySite : public CrashSite {
public:
    /// @param path of all requests
    /// @param furtherServices targets of the plain service beyond the usual number
    explicit BodySite(const std::string& path, size_t furtherServices = 0)
        : CrashSite(countedCrashes)
        , path(path)
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
        this->startEntries();
    }

protected:
    ForwardRequestSpec soundRequest(const std::string& number) const override
    {
        return {
            .id = "s" + number, .path = this->path, .body = "sound " + number, .prompt = "aa:200,e" + number + ":60"
        };
    }
    ForwardRequestSpec deadlyRequest(const std::string& number) const override
    {
        return {
            .id = "d" + number, .path = this->path, .body = deadlyBody, .deadlineMs = 9000, .prompt = "aa:200,f0:60"
        };
    }

private:
    std::string path;
};

/// Plays a request to @p path that ends each target which begins it beside sound ones.
void checkThatItStops(const char* path)
{
    BodySite site(path);
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
        static_cast<int>(contactTime.count()), site.crashes());
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
    BodySite site("/read/x");
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
    cr_expect_leq(late, maxLateArrivals, "%d repeats reached targets late; %d crashes", late, site.crashes());
    const auto after = site.servedShare(std::max(storeBackAt + 2 * contactTime.count(), restartedAt), ended);
    cr_expect_geq(after, 0.5, "sound requests served after the crashes: %.2f", after);
}

namespace {

/// A site with a further target that survives the request and does not answer, and deadly requests at all targets.
struct WaitingSite : BodySite {
    Process& survivor;

    explicit WaitingSite(const std::string& path)
        : BodySite(path, 1)
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
