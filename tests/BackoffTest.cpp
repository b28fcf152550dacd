// End-to-end tests of targets that say in their answers that they leave, or for how long they want no requests, with
// real processes: an entry instance, a metadata store and targets.

#include "tests/support/ForwardSite.h"

#include <QDateTime>
#include <algorithm>
#include <criterion/criterion.h>
#include <map>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

using Targets = std::vector<std::unique_ptr<Process>>;

void setAll(const Targets& targets, const QJsonObject& order)
{
    for (const auto& target : targets)
        control(target->address(), order);
}

int64_t unixNow()
{
    return QDateTime::currentMSecsSinceEpoch();
}

/// Requests that arrived at @p target from @p from to @p until, in Unix milliseconds.
int arrivals(Process& target, int64_t from, int64_t until = std::numeric_limits<int64_t>::max())
{
    const auto times = control(target.address())["arrival_times"].toArray();
    return static_cast<int>(std::ranges::count_if(
        times, [&](const auto& time) { return time.toInteger() >= from && time.toInteger() < until; }));
}

/// Sends @p count requests at once, each with a prompt of its own, and waits for all answers.
std::vector<AnswerPointer> sendMany(ForwardSite& site, int count, const std::string& path, const std::string& name)
{
    std::vector<AnswerPointer> answers;
    for (int i = 0; i < count; ++i) {
        const auto number = name + std::to_string(i);
        answers.push_back(site.send({ .id = number, .path = path, .prompt = number + ":200,bb:100" }));
    }
    require(waitForAll(answers, 20s), "not all requests were answered");
    return answers;
}

int countStatus(const std::vector<AnswerPointer>& answers, int status)
{
    return static_cast<int>(
        std::ranges::count_if(answers, [status](const auto& answer) { return answer->status == status; }));
}

/// Sends requests until @p target has got one, whose answer says that it leaves. Returns the Unix time after that.
int64_t letLeave(ForwardSite& site, Process& target, const std::string& path, const QString& answer = "good")
{
    const auto from = unixNow();
    control(target.address(), { { "leaving", "1" }, { "answer", answer } });
    for (int i = 0; i < 200 && !arrivals(target, from); ++i)
        site.sendAndWait(
            { .id = "l" + std::to_string(i), .path = path, .prompt = "p" + std::to_string(i) + ":200,bb:100" });
    require(arrivals(target, from) > 0, "the leaving target got no request");
    return unixNow();
}

}

Test(backoff, targetThatLeavesByAnAnswerOfAnyKindGetsNoFurtherRequest, .timeout = 120)
{
    const Application application;
    for (const auto* answer :
        { "good", "busy", "error", "broken-after-head", "foreign", "unstamped", "close-in-stream" }) {
        const bool isStream = std::string_view(answer) == "close-in-stream";
        ForwardSite site;
        site.startEntry();
        const auto path = isStream ? "/ask/x" : "/read/x";
        auto& leaving = isStream ? *site.engines[0] : *site.services[0];
        const auto left = letLeave(site, leaving, path, answer);
        runFor(600ms); // a refusal or failure alone keeps requests away for 250 ms
        const auto answers = sendMany(site, 40, path, "r");
        cr_assert_eq(arrivals(leaving, left), 0, "%s: %d requests reached it", answer, arrivals(leaving, left));
        cr_assert_eq(countStatus(answers, 200), 40, "%s: %d of 40 served", answer, countStatus(answers, 200));
    }
}

Test(backoff, targetThatLeavesByTheHeadOfAStreamGetsNoRequestWhileTheStreamGoesOn, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.startEntry();
    setAll(site.engines, { { "events", 40 }, { "event_ms", 50 } });
    control(site.engines[0]->address(), { { "leaving", "1" } });
    std::vector<AnswerPointer> first;
    while (!arrivals(*site.engines[0], 0)) {
        const auto number = std::to_string(first.size());
        first.push_back(site.send({ .id = "f" + number, .path = "/ask/x", .prompt = "f" + number + ":200,bb:100" }));
        runFor(50ms);
    }
    runFor(100ms);
    setAll(site.engines, { { "events", 6 }, { "event_ms", 5 } });
    const auto left = unixNow();
    const auto answers = sendMany(site, 20, "/ask/x", "r");
    cr_assert_eq(arrivals(*site.engines[0], left), 0);
    cr_assert_eq(countStatus(answers, 200), 20);
    require(waitForAll(first, 20s), "the first streams did not end");
    cr_assert_eq(countStatus(first, 200), static_cast<int>(first.size()));
    cr_assert(std::ranges::all_of(first, [](const auto& answer) { return answer->whole; }), "a stream was cut");
}

Test(backoff, leavingOutlastsTheTargetsRecordAndItsWeights, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.startEntry();
    auto& leaving = *site.engines[0];
    const auto left = letLeave(site, leaving, "/ask/x");
    const auto knows = [&](int targets) {
        return waitUntil(
            [&] {
                const auto status = get(site.entries[0]->address("admin"), "/status");
                return waitFor(status) && status->json()["targets"].toArray().size() == targets;
            },
            10s);
    };
    control(leaving.address(), { { "registered", false } });
    require(knows(3), "the record was not removed");
    control(leaving.address(), { { "registered", true } });
    require(knows(4), "the record did not return");
    sendMany(site, 20, "/ask/x", "lapsed");
    cr_assert_eq(arrivals(leaving, left), 0, "after its record returned");
    site.restartEntry(0); // excuses nothing else: a new instance has been told nothing
    const auto again = letLeave(site, leaving, "/ask/x");
    site.setWantedWeights(2);
    require(waitUntil([&] { return control(site.engines[1]->address())["version"].toInt() == 2; }, 15s),
        "the other engine did not load the new weights");
    control(leaving.address(), { { "draining", true } });
    control(leaving.address(), { { "draining", false } });
    site.controlStore({ { "mode", "silent" } });
    sendMany(site, 20, "/ask/x", "weights");
    cr_assert_eq(arrivals(leaving, again), 0, "after new weights, a ready record and the loss of the store");
}

Test(backoff, leavingEngineGetsNoOrderAndHoldsUpNoRollOut, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.addEngine();
    site.startEntry();
    auto& leaving = *site.engines[0];
    letLeave(site, leaving, "/ask/x");
    site.setWantedWeights(2);
    const bool isDone = waitUntil(
        [&] {
            return control(site.engines[1]->address())["version"].toInt() == 2
                && control(site.engines[2]->address())["version"].toInt() == 2;
        },
        15s);
    cr_assert(isDone, "the engines that stay did not load the new weights");
    runFor(1s);
    const auto state = control(leaving.address());
    cr_assert(state["orders"].toArray().isEmpty());
    cr_assert_eq(state["reports"].toInt(), 0);
    cr_assert_eq(countStatus(sendMany(site, 10, "/ask/x", "r"), 200), 10);
}

Test(backoff, engineThatLeavesByItsReportOrOrderGetsNoRequest, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.addEngine();
    site.startEntry();
    auto& leaving = *site.engines[0];
    control(leaving.address(), { { "leaving", "1" } });
    site.setWantedWeights(2);
    require(
        waitUntil([&] { return control(leaving.address())["reports"].toInt() > 0; }, 15s), "no report was asked for");
    runFor(100ms);
    const auto left = unixNow();
    const auto answers = sendMany(site, 20, "/ask/x", "r");
    cr_assert_eq(arrivals(leaving, left), 0);
    cr_assert_eq(countStatus(answers, 200), 20);
}

Test(backoff, brokenStreamIsNotResumedAtALeavingEngine, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.addEngine();
    site.startEntry();
    auto& leaving = *site.engines[0];
    const auto left = letLeave(site, leaving, "/ask/x");
    control(site.engines[1]->address(), { { "answer", "close-in-stream" } });
    const auto answers = sendMany(site, 12, "/ask/x", "r");
    cr_assert_eq(arrivals(leaving, left), 0);
    cr_assert_gt(arrivals(*site.engines[1], left), 0, "no stream broke");
    cr_assert(std::ranges::any_of(answers, [](const auto& answer) { return answer->whole; }));
}

Test(backoff, failedRequestIsNotRetriedAtALeavingTarget, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.startEntry();
    auto& leaving = *site.services[0];
    const auto left = letLeave(site, leaving, "/read/x");
    for (const auto* fault : { "busy", "close", "error", "unstamped" }) {
        control(site.services[1]->address(), { { "answer", fault } });
        const auto answers = sendMany(site, 5, "/read/x", fault);
        cr_assert_eq(countStatus(answers, 200), 0, "%s", fault);
    }
    cr_assert_eq(arrivals(leaving, left), 0);
    control(site.services[1]->address(), { { "leaving", "1" }, { "answer", "good" } });
    runFor(4s); // the failures keep requests away for a moment
    sendMany(site, 1, "/read/x", "last");
    const auto refused = site.sendAndWait({ "none", "/read/x" });
    cr_assert_eq(refused->status, 503);
    cr_assert_eq(refused->execution(), "not-run");
}

Test(backoff, leavingOutlastsAStoreThatReturnsFromAnOlderCopy, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.startEntry();
    auto& leaving = *site.engines[0];
    site.controlStore({ { "save", true } });
    const auto left = letLeave(site, leaving, "/ask/x");
    control(leaving.address(), { { "draining", true } });
    runFor(500ms);
    site.controlStore({ { "restore", true } }); // its record is the one that said "ready"
    runFor(3s);
    control(leaving.address(), { { "draining", false } });
    runFor(500ms);
    const auto answers = sendMany(site, 20, "/ask/x", "r");
    cr_assert_eq(arrivals(leaving, left), 0);
    cr_assert_eq(countStatus(answers, 200), 20);
}

Test(backoff, newProcessAtTheAddressOfALeavingTargetIsUsed, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.startEntry();
    auto& leaving = *site.services[0];
    letLeave(site, leaving, "/read/x");
    control(leaving.address("control"), { { "restart_after_ms", 200 }, { "crash", true } });
    runFor(1500ms);
    const auto restarted = unixNow();
    sendMany(site, 40, "/read/x", "r");
    cr_assert_gt(arrivals(leaving, restarted), 0);
}

Test(backoff, targetGetsNoRequestInTheTimeThatItAskedForAndIsUsedAgainAfterIt, .timeout = 60)
{
    constexpr int64_t backoffMs = 2500;
    constexpr int mostInIt = 2; // stated target, from half a second after the answer
    const Application application;
    ForwardSite site;
    site.startEntry();
    auto& busy = *site.services[0];
    control(busy.address(), { { "answer", "busy" }, { "retry_after", "2.5" }, { "work_ms", 50 } });
    sendMany(site, 200, "/read/x", "first");
    const auto times = control(busy.address())["arrival_times"].toArray();
    require(!times.isEmpty(), "the busy target got no request");
    const auto refusedAt = times.last().toInteger();
    control(busy.address(), { { "answer", "good" } });
    const auto end = refusedAt + backoffMs;
    for (int round = 0; unixNow() < end + 1500; ++round) {
        sendMany(site, 10, "/read/x", "r" + std::to_string(round) + "-");
        runFor(20ms);
    }
    const auto inIt = arrivals(busy, refusedAt + 500, end);
    cr_assert_leq(inIt, mostInIt, "%d requests reached it", inIt);
    const auto atTheEnd = arrivals(busy, end, end + 150);
    cr_assert_leq(atTheEnd, 8, "%d requests at once at the end", atTheEnd);
    cr_assert_gt(arrivals(busy, end, end + 1500), 0, "the target is not used any more");
}

Test(backoff, eachInstanceThatATargetHasAskedForTimeSendsNothingInIt, .timeout = 120)
{
    constexpr int instances = 4;
    constexpr int64_t backoffMs = 2500;
    constexpr int mostInIt = 2; // stated target, from half a second after the answer
    const Application application;
    ForwardSite site;
    for (int entry = 0; entry < instances; ++entry)
        site.startEntry();
    auto& busy = *site.services[0];
    control(busy.address(), { { "answer", "busy" }, { "retry_after", "2.5" } });
    std::vector<AnswerPointer> answers;
    const auto send = [&](int count, const std::string& name) {
        for (int i = 0; i < count; ++i) {
            const auto entry = static_cast<size_t>(i % instances);
            const auto id = std::to_string(entry) + "-" + name + std::to_string(i);
            answers.push_back(site.send({ id, "/read/x" }, entry));
        }
    };
    send(200, "first");
    require(waitForAll(answers, 20s), "not all requests were answered");
    const auto state = control(busy.address(), { { "answer", "good" } });
    std::map<QChar, int64_t> refusedAt; // by instance: when its last request before the end of the refusals arrived
    for (qsizetype i = 0; i < state["arrivals"].toArray().size(); ++i)
        refusedAt[state["arrivals"].toArray()[i].toString()[0]] = state["arrival_times"].toArray()[i].toInteger();
    cr_assert_eq(refusedAt.size(), instances);
    const auto playUntil = unixNow() + backoffMs + 500;
    for (int round = 0; unixNow() < playUntil; ++round) {
        send(12, "r" + std::to_string(round) + "-");
        runFor(30ms);
    }
    require(waitForAll(answers, 20s), "not all requests were answered");
    const auto after = control(busy.address());
    std::map<QChar, int> inIt;
    for (qsizetype i = 0; i < after["arrivals"].toArray().size(); ++i) {
        const auto instance = after["arrivals"].toArray()[i].toString()[0];
        const auto at = after["arrival_times"].toArray()[i].toInteger();
        inIt[instance] += at >= refusedAt[instance] + 500 && at < refusedAt[instance] + backoffMs;
    }
    for (const auto& [instance, count] : inIt)
        cr_assert_leq(count, mostInIt, "%d requests from instance %c", count, instance.toLatin1());
    cr_assert_gt(after["arrivals"].toArray().size(), state["arrivals"].toArray().size(), "it is not used any more");
}

Test(backoff, timeOutlastsTheTargetsRecordAndShorterStatements, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.startEntry();
    auto& busy = *site.services[0];
    control(busy.address(), { { "answer", "busy" }, { "retry_after", "4" } });
    sendMany(site, 20, "/read/x", "first");
    const auto refusedAt = control(busy.address())["arrival_times"].toArray().last().toInteger();
    control(busy.address(), { { "answer", "good" }, { "registered", false } });
    runFor(300ms);
    control(busy.address(), { { "registered", true } });
    runFor(300ms);
    for (int round = 0; unixNow() < refusedAt + 3800; ++round) {
        sendMany(site, 4, "/read/x", "r" + std::to_string(round) + "-");
        runFor(50ms);
    }
    const auto inIt = arrivals(busy, refusedAt + 500, refusedAt + 4000);
    cr_assert_leq(inIt, 2, "%d requests reached it", inIt);
}

Test(backoff, unreadableTimesDelayNothing, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.startEntry();
    auto& busy = *site.services[0];
    for (const auto* text : { "-3", "0", "Wed, 21 Oct 2037 07:28:00 GMT", "soon" }) {
        control(busy.address(), { { "answer", "busy" }, { "retry_after", text } });
        sendMany(site, 20, "/read/x", std::string("first-") + text[0]);
        control(busy.address(), { { "answer", "good" } });
        runFor(600ms); // refusals keep requests away for a moment
        const auto from = unixNow();
        sendMany(site, 20, "/read/x", std::string("then-") + text[0]);
        cr_assert_gt(arrivals(busy, from), 0, "%s", text);
    }
}

Test(backoff, callersAreToldWhenATargetTakesRequestsAgain, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.startEntry();
    control(site.services[0]->address(), { { "answer", "busy" }, { "retry_after", "1.6" } });
    control(site.services[1]->address(), { { "answer", "busy" }, { "retry_after", "30" } });
    sendMany(site, 10, "/read/x", "first");
    const auto refusedAt = control(site.services[0]->address())["arrival_times"].toArray().last().toInteger();
    setAll(site.services, { { "answer", "good" } });
    runFor(300ms);
    const auto before = arrivals(*site.services[0], 0) + arrivals(*site.services[1], 0);
    std::vector<std::pair<AnswerPointer, double>> refused;
    for (int i = 0; i < 10; ++i) {
        const auto sentAt = unixNow();
        const auto answer = site.sendAndWait({ "c" + std::to_string(i), "/read/x" });
        cr_assert_eq(answer->status, 503);
        cr_assert_eq(answer->execution(), "not-run");
        cr_assert_lt(answer->took(), 50ms);
        const auto told = std::stod(answer->header("Retry-After"));
        const auto at = static_cast<double>(sentAt - refusedAt) / 1000 + told;
        cr_assert(at >= 1.6 && at < 1.6 + 0.5, "told to return %g s after the refusal", at);
        refused.emplace_back(answer, told);
    }
    cr_assert_eq(arrivals(*site.services[0], 0) + arrivals(*site.services[1], 0), before, "a refused request was sent");
    for (size_t i = 0; i < refused.size(); ++i) {
        const auto returnAt = refused[i].first->endedAt + std::chrono::duration<double>(refused[i].second);
        while (Clock::now() < returnAt)
            runFor(1ms);
        cr_assert_eq(site.sendAndWait({ "again" + std::to_string(i), "/read/x" })->status, 200);
    }
}

Test(backoff, refusedRequestIsToldTheTimeThatAllItsTargetsAskedFor, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.startEntry();
    setAll(site.services, { { "answer", "busy" }, { "retry_after", "3" } });
    const auto answer = site.sendAndWait({ "r1", "/read/x" });
    cr_assert_eq(answer->status, 503);
    cr_assert_geq(std::stod(answer->header("Retry-After")), 2.9, "%s", answer->header("Retry-After").c_str());
}

/// The answer that says that a target leaves, and requests of callers, wait for a frozen instance.
Test(backoff, thawedInstanceSendsNothingToATargetWhoseWaitingAnswerSaysThatItLeaves, .timeout = 120)
{
    constexpr int rounds = 4;
    constexpr int callers = 30;
    const Application application;
    for (int round = 0; round < rounds; ++round) {
        ForwardSite site;
        site.startEntry();
        auto& leaving = *site.services[0];
        sendMany(site, callers, "/nowhere/x", "connect");
        setAll(site.services, { { "work_ms", 200 } });
        control(leaving.address(), { { "leaving", "1" } });
        std::vector<AnswerPointer> answers;
        for (int i = 0; i < callers / 2; ++i)
            answers.push_back(site.send({ "early" + std::to_string(i), "/read/x" }));
        runFor(80ms);
        require(waitUntil([&] { return arrivals(leaving, 0) > 0; }, 5s), "the leaving target got no request");
        site.entries[0]->freeze();
        runFor(300ms);
        for (int i = 0; i < callers / 2; ++i)
            answers.push_back(site.send({ "late" + std::to_string(i), "/read/x" }));
        runFor(100ms);
        const auto thawed = unixNow();
        site.entries[0]->thaw();
        require(waitForAll(answers, 20s), "not all requests were answered");
        cr_assert_eq(
            arrivals(leaving, thawed), 0, "round %d: %d requests reached it", round, arrivals(leaving, thawed));
        cr_assert_eq(countStatus(answers, 200), static_cast<int>(answers.size()));
    }
}
