// End-to-end tests of the limits that targets name, of requests and of refusals, with real processes: nine entry
// instances, a metadata store and targets.

#include "tests/support/ForwardSite.h"

#include <QDateTime>
#include <algorithm>
#include <criterion/criterion.h>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

constexpr size_t instances = 9;
constexpr double limitPerSecond = 4;
/// Stated target: from this long after the limit was first named, the bound holds.
constexpr std::chrono::milliseconds contactTime { 4000 };

/// Stated target: arrivals in a window of 4 s from instances that know the limit.
int allowedArrivals(double perSecond)
{
    constexpr double factor = 1.5;
    constexpr int windowSeconds = 4;
    constexpr int slack = 5;
    return static_cast<int>(factor * perSecond * windowSeconds) + slack;
}

/// Stated target: how often targets that are brittle for some time may end.
size_t allowedEnds(size_t targets)
{
    constexpr size_t base = 2;
    constexpr size_t targetsPerEnd = 10;
    return base + targets / targetsPerEnd;
}

/// The most arrivals in a window of 4 s that ends at @p from or later.
int maxArrivalsInWindow(const std::vector<int64_t>& times, int64_t from)
{
    constexpr int64_t windowMs = 4000;
    int most = 0;
    for (const auto end : times) {
        if (end < from)
            continue;
        const auto count = std::count_if(
            times.begin(), times.end(), [end](int64_t time) { return time > end - windowMs && time <= end; });
        most = std::max(most, static_cast<int>(count));
    }
    return most;
}

struct LimitedSite {
    const Application application;
    ForwardSite site;
    std::vector<AnswerPointer> answers;

    LimitedSite()
    {
        this->site.addEngine();
        while (this->site.entries.size() < instances)
            this->site.startEntry();
        // Instances register within 1.5 s and learn of each other by watches.
        require(waitUntil([this] { return this->knowEachOther(); }, 15s), "the instances do not know each other");
    }

    bool knowEachOther() const
    {
        return std::ranges::all_of(this->site.entries, [](const auto& entry) {
            const auto status = get(entry->address("admin"), "/status");
            return waitFor(status) && status->json()["known_instances"].toInt() == static_cast<int>(instances) - 1;
        });
    }

    /// Sends each instance in turn a request with a body and a prompt of its own, 60 a second in all.
    void play(std::chrono::milliseconds duration, const std::string& path = "/ask/x")
    {
        const auto end = Clock::now() + duration;
        while (Clock::now() < end) {
            const auto number = std::to_string(this->answers.size());
            const ForwardRequestSpec spec {
                .id = "r" + number, .path = path, .body = "body " + number, .prompt = "aa" + number + ":200,bb:100"
            };
            this->answers.push_back(this->site.send(spec, this->answers.size() % instances));
            runFor(16ms);
        }
    }

    /// Names @p limit in the answers of @p target; an empty text ends the limit. Returns the Unix time in milliseconds.
    static int64_t limit(Process& target, const QString& limit)
    {
        control(target.address(), { { "limit", limit } });
        return QDateTime::currentMSecsSinceEpoch();
    }

    static std::vector<int64_t> arrivalTimes(Process& target)
    {
        std::vector<int64_t> times;
        for (const auto& time : control(target.address())["arrival_times"].toArray())
            times.push_back(time.toInteger());
        return times;
    }

    int served() const
    {
        return static_cast<int>(
            std::ranges::count_if(this->answers, [](const auto& answer) { return answer->status == 200; }));
    }
};

}

Test(limits, targetGetsNoMoreThanItsLimitFromAllInstances, .timeout = 120)
{
    LimitedSite limited;
    limited.play(2s);
    auto& engine = *limited.site.engines[0];
    const auto namedAt = LimitedSite::limit(engine, QString::number(limitPerSecond));
    limited.play(10s);
    require(waitForAll(limited.answers, 20s), "not all requests were answered");
    const auto times = LimitedSite::arrivalTimes(engine);
    const auto most = maxArrivalsInWindow(times, namedAt + contactTime.count());
    cr_assert_leq(
        most, allowedArrivals(limitPerSecond), "%d arrivals in 4 s, %d allowed", most, allowedArrivals(limitPerSecond));
    cr_assert_geq(most, 1, "the engine is not used any more");
    cr_assert_eq(limited.served(), static_cast<int>(limited.answers.size()), "other engines can take the rest");
}

Test(limits, targetIsUsedInFullAgainAfterItsLimitEnds, .timeout = 120)
{
    LimitedSite limited;
    auto& engine = *limited.site.engines[0];
    LimitedSite::limit(engine, QString::number(limitPerSecond));
    limited.play(6s);
    const auto endedAt = LimitedSite::limit(engine, "");
    limited.play(6s);
    require(waitForAll(limited.answers, 20s), "not all requests were answered");
    const auto most = maxArrivalsInWindow(LimitedSite::arrivalTimes(engine), endedAt + contactTime.count());
    cr_assert_gt(most, allowedArrivals(limitPerSecond));
}

Test(limits, requestsBeyondTheLimitsOfAllTargetsAreRefusedAtOnce, .timeout = 120)
{
    LimitedSite limited;
    int64_t namedAt = 0;
    for (const auto& service : limited.site.services)
        namedAt = LimitedSite::limit(*service, QString::number(limitPerSecond));
    limited.play(8s, "/read/x");
    require(waitForAll(limited.answers, 20s), "not all requests were answered");
    for (const auto& service : limited.site.services)
        cr_assert_leq(maxArrivalsInWindow(LimitedSite::arrivalTimes(*service), namedAt + contactTime.count()),
            allowedArrivals(limitPerSecond));
    int refused = 0;
    for (const auto& answer : limited.answers) {
        if (answer->status == 200)
            continue;
        ++refused;
        cr_assert_eq(answer->status, 503);
        cr_assert_not(answer->header("Retry-After").empty());
    }
    cr_assert_gt(refused, 0);
    cr_assert_eq(limited.served() + refused, static_cast<int>(limited.answers.size()));
}

Test(limits, overloadedBrittleTargetsAreNotRefusingMoreThanTheyBear, .timeout = 120)
{
    constexpr int bearablePerSecond = 5;
    constexpr int roomAtFirst = 64;
    constexpr int roomLater = 9;
    constexpr int workMs = 700; // both then serve 26 requests a second of the 60 that are sent
    LimitedSite limited;
    limited.site.publish({ forwardKey }, 3000, 2 * workMs);
    limited.site.waitUntilInForce();
    for (const auto& service : limited.site.services)
        control(service->address("control"),
            { { "brittle", QString::number(bearablePerSecond) }, { "room", roomAtFirst }, { "work_ms", workMs } });
    limited.play(contactTime, "/read/x");
    for (const auto& service : limited.site.services)
        control(service->address("control"), { { "room", roomLater } });
    const auto begunAt = QDateTime::currentMSecsSinceEpoch();
    limited.play(15s, "/read/x");
    require(waitForAll(limited.answers, 20s), "not all requests were answered");
    size_t ends = 0;
    int refusals = 0;
    for (const auto& service : limited.site.services) {
        const auto state = control(service->address("control"));
        refusals += state["turned_away"].toInt();
        for (const auto& time : state["crashes"].toArray())
            ends += time.toInteger() >= begunAt;
    }
    const auto allowed = allowedEnds(limited.site.services.size());
    cr_assert_leq(ends, allowed, "targets ended %zu times, %zu allowed; %d refusals, %d of %zu served", ends, allowed,
        refusals, limited.served(), limited.answers.size());
    cr_assert_gt(limited.served(), 0, "the targets are not used any more");
}
