// Streams while engines of several software versions serve: each goes on only at the version that began it, within one
// answer and over the tries of its caller, at any instance.

#include "tests/support/ForwardSite.h"
#include "tests/support/Site.h"

#include <QJsonDocument>
#include <criterion/criterion.h>
#include <set>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

constexpr int streamEvents = 12;

/// The software versions that the events of a stream name.
std::set<std::string> versionsIn(const std::string& body)
{
    std::set<std::string> versions;
    constexpr std::string_view marker = "data: token ";
    for (auto at = body.find(marker); at != std::string::npos; at = body.find(marker, at + 1)) {
        const auto begin = body.find(" of ", at) + 4;
        versions.insert(body.substr(begin, body.find('\n', begin) - begin));
    }
    return versions;
}

/// Id of the last complete event; empty if there is none.
std::string lastEventOf(const std::string& body)
{
    const auto end = body.rfind("\n\n");
    if (end == std::string::npos)
        return {};
    const auto begin = body.rfind("id: ", end) + 4;
    return body.substr(begin, body.find('\n', begin) - begin);
}

void letStreamsLast(const ForwardSite& site, int eventMs)
{
    for (const auto& engine : site.engines)
        control(engine->address(), { { "events", streamEvents }, { "event_ms", eventMs } });
}

/// Each has a prompt of its own, so that no engine is preferred for all.
ForwardRequestSpec streamRequest(const std::string& id)
{
    return { .id = id, .path = "/ask/x", .deadlineMs = 8000, .prompt = "p" + id + ":200,q" + id + ":100" };
}

AnswerPointer takeUp(
    ForwardSite& site, const std::string& id, const AnswerPointer& broken, const std::string& resumed, size_t entry)
{
    auto request = streamRequest(id);
    request.lastEventId = lastEventOf(broken->body);
    request.resumes = resumed;
    return site.send(request, entry);
}

/// Begins streams "s0", "s1", ... at entry instance 0 and waits for the first event of each.
std::vector<AnswerPointer> beginStreams(ForwardSite& site, int count)
{
    std::vector<AnswerPointer> streams;
    for (int i = 0; i < count; ++i)
        streams.push_back(site.send(streamRequest("s" + std::to_string(i))));
    const auto haveBegun
        = [&] { return std::ranges::none_of(streams, [](const auto& s) { return lastEventOf(s->body).empty(); }); };
    require(waitUntil(haveBegun, 5s), "not all streams have begun");
    return streams;
}

/// Sends a request that takes up each of @p broken, streams "s0", "s1", ..., and waits for the answers.
std::vector<AnswerPointer> takeUpAll(ForwardSite& site, const std::vector<AnswerPointer>& broken, size_t entry)
{
    std::vector<AnswerPointer> answers;
    for (size_t i = 0; i < broken.size(); ++i)
        answers.push_back(takeUp(site, "t" + std::to_string(i), broken[i], "s" + std::to_string(i), entry));
    require(waitForAll(answers, 10s), "no answer to a take-up");
    return answers;
}

size_t countWhole(const std::vector<AnswerPointer>& answers)
{
    return static_cast<size_t>(
        std::ranges::count_if(answers, [](const auto& answer) { return answer->whole && answer->status == 200; }));
}

void killAll(ForwardSite& site)
{
    for (const auto& entry : site.entries)
        entry->kill();
}

/// A site with streams that began at an engine of v1 before engines of v2 came.
struct ReleaseSite {
    Application application;
    ForwardSite site { { "v1" } };
    std::vector<AnswerPointer> streams;

    ReleaseSite()
    {
        letStreamsLast(this->site, 200);
        this->site.startEntry();
        this->site.startEntry();
        this->streams = beginStreams(this->site, 6);
        this->site.addEngine("v2");
        this->site.addEngine("v2");
        this->site.waitUntilAllKnown();
        runFor(500ms);
    }

    /// To be called when the instance of the streams was killed.
    void waitForEnd()
    {
        require(waitForAll(this->streams, 5s), "no end of the streams");
        require(countWhole(this->streams) == 0, "a stream has ended before");
        letStreamsLast(this->site, 20);
    }

    void restartAll()
    {
        for (size_t i = 0; i < this->site.entries.size(); ++i)
            this->site.restartEntry(i);
    }
};

void expectNotJoined(const std::vector<AnswerPointer>& first, const std::vector<AnswerPointer>& second)
{
    for (size_t i = 0; i < first.size(); ++i) {
        const auto versions = versionsIn(first[i]->body + second[i]->body);
        cr_expect_eq(versions.size(), 1, "stream %zu is joined from %zu versions; status %d:\n%s", i, versions.size(),
            second[i]->status, second[i]->body.c_str());
    }
}

}

Test(streamVersion, brokenStreamDoesNotGoOnAtAnotherVersion, .timeout = 60)
{
    for (const auto* other : { "v2", "v1" }) {
        const Application application;
        ForwardSite site({ "v1" });
        site.startEntry();
        control(site.engines[0]->address(), { { "event_ms", 200 } });
        const auto stream = beginStreams(site, 1).front();
        site.addEngine(other);
        site.waitUntilAllKnown();
        control(site.engines[0]->address("control"), { { "crash", true } });
        require(waitFor(stream), "no end of the stream");
        cr_expect_eq(versionsIn(stream->body).size(), 1, "%s", stream->body.c_str());
        cr_expect_eq(stream->whole, std::string(other) == "v1", "%s", stream->body.c_str());
    }
}

Test(streamVersion, takeUpAtAnotherInstanceDoesNotGoOnAtAnotherVersion, .timeout = 60)
{
    ReleaseSite release;
    release.site.entries[0]->kill();
    release.waitForEnd();
    const auto takenUp = takeUpAll(release.site, release.streams, 1);
    expectNotJoined(release.streams, takenUp);
    cr_expect_eq(countWhole(takenUp), takenUp.size());
}

Test(streamVersion, takeUpAfterAllInstancesWereKilledDoesNotGoOnAtAnotherVersion, .timeout = 60)
{
    ReleaseSite release;
    killAll(release.site);
    release.waitForEnd();
    release.restartAll();
    const auto takenUp = takeUpAll(release.site, release.streams, 1);
    expectNotJoined(release.streams, takenUp);
    cr_expect_eq(countWhole(takenUp), takenUp.size());
}

Test(streamVersion, takeUpAfterAllInstancesWereKilledIsRefusedWhenItsVersionHasLeft, .timeout = 60)
{
    ReleaseSite release;
    killAll(release.site);
    release.waitForEnd();
    control(release.site.engines[0]->address(), { { "registered", false } });
    release.site.engines.erase(release.site.engines.begin());
    release.restartAll();
    const auto sentAt = Clock::now();
    const auto takenUp = takeUpAll(release.site, release.streams, 1);
    expectNotJoined(release.streams, takenUp);
    for (const auto& answer : takenUp) {
        cr_expect_eq(answer->status, 503);
        cr_expect_neq(answer->header("Retry-After"), "");
    }
    cr_expect_lt((Clock::now() - sentAt).count(), std::chrono::nanoseconds(2s).count(), "refused late");
}

Test(streamVersion, takeUpAtAnotherInstanceGoesOnWhileItsVersionServes, .timeout = 120)
{
    const Application application;
    ForwardSite site({ "v1", "v1", "v2", "v2" });
    letStreamsLast(site, 60);
    site.startEntry();
    site.startEntry();
    const auto streams = beginStreams(site, 24);
    runFor(200ms); // until the starts are recorded
    site.entries[0]->kill();
    require(waitForAll(streams, 5s), "no end of the streams");
    std::set<std::string> begunAt;
    for (const auto& stream : streams)
        begunAt.merge(versionsIn(stream->body));
    cr_expect_eq(begunAt.size(), 2, "all streams began at one version");
    const auto takenUp = takeUpAll(site, streams, 1);
    expectNotJoined(streams, takenUp);
    // The users' bound is half as often as new streams begin.
    cr_expect_eq(countWhole(takenUp), takenUp.size());
}

Test(streamVersion, takeUpGoesOnAtADrainingTargetOfItsVersionForAWhile, .timeout = 60)
{
    for (const auto& [waited, status] : { std::pair(100ms, 200), { 1500ms, 503 } }) {
        const Application application;
        ForwardSite site({ "v1" });
        site.startEntry(true, "forwarding: { drainTime: 2s }\n");
        const auto stream = site.sendAndWait(streamRequest("s0"));
        site.addEngine("v2");
        site.waitUntilAllKnown();
        control(site.engines[0]->address(), { { "draining", true } });
        require(waitUntil([&] { return site.entries[0]->printedLine("event=\"target changed\" target=engine-0"); }, 5s),
            "draining is not known");
        runFor(waited);
        auto request = streamRequest("t0");
        request.lastEventId = "2";
        request.resumes = "s0";
        const auto answer = site.sendAndWait(request);
        cr_expect_eq(answer->status, status);
        expectNotJoined({ stream }, { answer });
        auto fresh = site.sendAndWait(streamRequest("s1"));
        cr_expect(
            versionsIn(fresh->body) == std::set<std::string> { "v2" }, "a new stream begins at a draining target");
    }
}

Test(streamVersion, streamThatWasFirstSentToAnotherVersionIsNotTakenUpThere, .timeout = 120)
{
    for (int round = 0; round < 3; ++round) {
        const Application application;
        ForwardSite site({ "v1", "v2" });
        letStreamsLast(site, 300);
        site.startEntry();
        site.startEntry();
        control(site.engines[0]->address(), { { "answer", "silent" } });
        const auto streams = beginStreams(site, 6);
        site.entries[0]->kill();
        require(waitForAll(streams, 5s), "no end of the streams");
        control(site.engines[0]->address(), { { "answer", "good" } });
        letStreamsLast(site, 20);
        expectNotJoined(streams, takeUpAll(site, streams, 1));
    }
}

Test(streamVersion, takeUpAtAnInstanceThatStoodStillDuringAReleaseDoesNotGoOnAtAnotherVersion, .timeout = 120)
{
    for (int round = 0; round < 2; ++round) {
        const Application application;
        ForwardSite site({ "v1" });
        letStreamsLast(site, 200);
        site.startEntry();
        auto& stopped = site.startEntry();
        stopped.freeze();
        site.addEngine("v2");
        letStreamsLast(site, 200);
        require(waitUntil([&] { return site.entries[0]->printedLine("target registered\" target=engine-1"); }, 5s),
            "the new version is not known");
        control(site.engines[0]->address(), { { "draining", true } });
        runFor(2s); // until streams begin at the new version
        const auto streams = beginStreams(site, 6);
        site.entries[0]->kill();
        require(waitForAll(streams, 5s), "no end of the streams");
        letStreamsLast(site, 20);
        std::vector<AnswerPointer> takenUp;
        for (size_t i = 0; i < streams.size(); ++i) {
            cr_expect(versionsIn(streams[i]->body) == std::set<std::string> { "v2" });
            takenUp.push_back(takeUp(site, "t" + std::to_string(i), streams[i], "s" + std::to_string(i), 1));
        }
        stopped.thaw();
        require(waitForAll(takenUp, 10s), "no answer to a take-up");
        expectNotJoined(streams, takenUp);
    }
}

Test(streamVersion, takeUpDoesNotGoOnAtATargetThatRestartedAsAnotherVersionWhileTheInstanceHeardNothing, .timeout = 60)
{
    const Application application;
    ForwardSite site({ "v1", "v2" });
    letStreamsLast(site, 200);
    site.startEntry();
    Process proxy("standin-proxy", { "--to", QString::fromStdString(site.store->address().toString()) }, "control");
    site.startEntry(true, "", proxy.address());
    const auto streams = beginStreams(site, 8);
    runFor(600ms); // until the starts are recorded and read
    control(proxy.address("control"), { { "mode", "hold-answers" } });
    site.entries[0]->kill();
    require(waitForAll(streams, 5s), "no end of the streams");
    site.restartEngine(0, "v2");
    letStreamsLast(site, 20);
    runFor(2s); // longer than an instance that hears of changes needs
    const auto takenUp = takeUpAll(site, streams, 1);
    expectNotJoined(streams, takenUp);
}

Test(streamVersion, takeUpThatNamesNoKnownStreamIsRefusedWhileTwoVersionsServe, .timeout = 60)
{
    const Application application;
    ForwardSite site({ "v1", "v2" });
    site.startEntry();
    const auto own = site.sendAndWait(streamRequest("mine"));
    require(own->whole, "no stream");
    const std::vector<std::pair<std::string, std::string>> keysAndNames { { forwardKey, "" },
        { forwardKey, "never-seen" }, { forwardKey, "t2" }, { forwardKey, std::string(4000, 'x') },
        { secondForwardKey, "mine" } };
    for (size_t i = 0; i < keysAndNames.size(); ++i) {
        auto request = streamRequest("t" + std::to_string(i));
        request.lastEventId = "2";
        std::tie(request.key, request.resumes) = keysAndNames[i];
        const auto answer = site.sendAndWait(request);
        cr_expect_eq(answer->status, 503, "take-up %zu: %d %s", i, answer->status, answer->body.c_str());
    }
    auto known = streamRequest("t9");
    known.lastEventId = "2";
    known.resumes = "mine";
    const auto answer = site.sendAndWait(known);
    cr_expect_eq(answer->status, 200);
    expectNotJoined({ own }, { answer });
}

Test(streamVersion, takeUpThatNamesNoStreamGoesOnWhileOneVersionServes, .timeout = 60)
{
    const Application application;
    ForwardSite site({ "v1", "v1" });
    site.startEntry();
    auto request = streamRequest("t1");
    request.lastEventId = "2";
    const auto answer = site.sendAndWait(request);
    cr_expect_eq(answer->status, 200);
    cr_expect(answer->whole);
}
