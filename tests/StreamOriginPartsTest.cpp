// The parts that know at which software version streams began: the record of versions, the records of starts, and what
// follows from them for a stream that its caller resumes.

#include "forward/StreamBinding.h"
#include "streams/StreamOrigins.h"
#include "tests/support/FakeWatchableStore.h"
#include "tests/support/Process.h"
#include "tests/support/Site.h"

#include <criterion/criterion.h>

using namespace testing;
using namespace dragonfly;
using namespace dragonfly::streams;
using namespace std::chrono_literals;

namespace {

constexpr auto open = VersionPhase::Open;
constexpr auto opening = VersionPhase::Opening;
constexpr auto closed = VersionPhase::Closed;

ServiceVersions ofService(const VersionPhases& phases)
{
    return { { "s", phases } };
}

VersionObservations::Versions names(const std::set<std::string>& versions)
{
    return { { "s", versions } };
}

void expectPlan(const VersionPhases& current, const VersionObservations& observed, const VersionPhases& expected)
{
    cr_expect(planVersions(ofService(current), observed) == ofService(expected));
}

/// One instance's view of a service with resumable streams.
struct OriginSite {
    Application application;
    FakeWatchableStore store;
    observe::Metrics metrics;
    directory::Directory directory { 3s };
    StreamOrigins origins;
    directory::Route route;
    int64_t revision = 0;
    BootClock::time_point arrived = BootClock::now(); ///< when streams are taken up
    BootClock::time_point readUpTo = arrived; ///< the moment up to which all records are known

    explicit OriginSite(const VersionTimings& timings = { 60ms, 100ms, 300ms, 0ms, 10ms, 20ms })
        : origins({ "one", 400, timings }, this->store, this->directory, this->metrics)
    {
        this->route.name = "ask";
        this->route.host = "a.example";
        this->route.pathPrefix = "/";
        this->route.kind = directory::RequestKind::Streaming;
        this->route.isResumable = true;
        this->route.shares = { { "s", 1 } };
        directory::Deployment deployment;
        deployment.version = 1;
        deployment.routes = { this->route };
        this->directory.apply(deployment);
        this->directory.onTargetAdded = [this] { this->origins.onTargetsChanged(); };
        this->origins.recordsAsOf = [this] { return this->readUpTo; };
    }

    const directory::Target& add(const std::string& id, const std::string& version, uint64_t sequence = 1)
    {
        directory::Registration registration;
        registration.id = id;
        registration.service = "s";
        registration.endpoint = { "10.0.0.1", 80 };
        registration.softwareVersion = version;
        registration.sequence = sequence;
        this->directory.registerTarget(registration);
        return *this->directory.targets().at(id);
    }
    /// Puts a record of versions that another instance wrote in force.
    void applyVersions(const VersionPhases& phases)
    {
        this->applyRecord(encodeVersions(ofService(phases)));
    }
    void applyRecord(const std::string& bytes)
    {
        this->origins.applyRecord({ VersionRegistry::key, bytes, ++this->revision }, true);
    }
    bool waitForSwap(size_t number) const
    {
        return waitUntil([&] { return this->store.swaps.size() > number; }, 2s);
    }
    ServiceVersions swapped(size_t number) const
    {
        return decodeVersions(this->store.swaps.at(number).value).value_or(ServiceVersions());
    }
    void answerSwap(size_t number)
    {
        this->store.swaps.at(number).done(store::Swapped { ++this->revision });
    }
    std::string originOf(const std::string& request) const
    {
        const auto origin = this->origins.originOf(this->route, streamIdOf("org", request), this->arrived);
        return origin ? origin->version : "unknown";
    }
    void recordOf(const std::string& key, const std::vector<StreamStart>& starts)
    {
        this->origins.applyRecord(
            { std::string(StartRecorder::keyPrefix) + key, encodeStarts(starts), ++this->revision }, true);
    }
};

constexpr VersionTimings openingTimings { 300ms, 1s, 1s, 0ms, 10ms, 20ms };

/// What an instance writes while a second version joins.
struct OpeningRecords {
    std::string opened; ///< as soon as the second version is seen
    std::optional<std::string> settled; ///< once all instances know it; nothing if it is not written
};

OpeningRecords recordsOfAnOpening()
{
    OriginSite site(openingTimings);
    site.origins.onWholeRead();
    site.applyVersions({ { "v1", open } });
    site.add("i-1", "v1");
    site.add("i-2", "v2");
    require(site.waitForSwap(0), "the second version is not recorded");
    OpeningRecords records { site.store.swaps[0].value, std::nullopt };
    const auto writtenAt = Clock::now();
    site.answerSwap(0);
    if (site.waitForSwap(1)) {
        records.settled = site.store.swaps[1].value;
        require(Clock::now() - writtenAt >= openingTimings.openDelay, "recorded as known to all too early");
    }
    return records;
}

StreamStart startOf(const std::string& request, const std::string& version, bool isBegun = false)
{
    return { streamIdOf("org", request), version, isBegun };
}

}

Test(streamVersions, planOpensClosesAndRemovesVersions)
{
    expectPlan({}, { names({ "v1" }), {}, {}, {} }, { { "v1", open } });
    expectPlan({}, { names({ "v1", "v2" }), {}, {}, {} }, { { "v1", open }, { "v2", open } });
    expectPlan({ { "v1", open } }, { names({ "v1", "v2" }), {}, {}, {} }, { { "v1", open }, { "v2", opening } });
    expectPlan({ { "v1", open }, { "v2", opening } }, { names({ "v1", "v2" }), {}, {}, {} },
        { { "v1", open }, { "v2", opening } });
    expectPlan({ { "v1", open }, { "v2", opening } }, { names({ "v1", "v2" }), names({ "v2" }), {}, {} },
        { { "v1", open }, { "v2", open } });
    expectPlan({ { "v1", open }, { "v2", opening } }, { names({ "v1" }), names({ "v2" }), names({ "v2" }), {} },
        { { "v1", open }, { "v2", closed } });
    expectPlan({ { "v1", open }, { "v2", open } }, { names({ "v2" }), {}, {}, {} }, { { "v1", open }, { "v2", open } });
    expectPlan({ { "v1", open }, { "v2", open } }, { names({ "v2" }), {}, names({ "v1" }), {} },
        { { "v1", closed }, { "v2", open } });
    expectPlan({ { "v1", closed }, { "v2", open } }, { names({ "v2" }), {}, names({ "v1" }), names({ "v1" }) },
        { { "v2", open } });
    expectPlan({ { "v1", closed }, { "v2", open } }, { names({ "v1", "v2" }), {}, {}, names({ "v1" }) },
        { { "v1", open }, { "v2", open } });
}

Test(streamVersions, onlyVersionIsNeitherClosedNorRemoved)
{
    expectPlan({ { "v1", open } }, { {}, {}, names({ "v1" }), {} }, { { "v1", open } });
    expectPlan({ { "v1", closed } }, { {}, {}, names({ "v1" }), names({ "v1" }) }, { { "v1", closed } });
    expectPlan({ { "v1", closed }, { "v2", closed } }, { {}, {}, names({ "v1", "v2" }), names({ "v1", "v2" }) },
        { { "v1", closed }, { "v2", closed } });
}

Test(streamVersions, recordsAreReadAsTheyWereWritten)
{
    const ServiceVersions versions { { "s", { { "v1", open }, { "v2", closed }, { "v3", opening } } },
        { "t", { { "", open } } } };
    cr_expect(decodeVersions(encodeVersions(versions)) == versions);
    const auto starts = decodeStarts(encodeStarts({ startOf("a", "v1"), startOf("b", "v2", true) }));
    cr_assert(starts.has_value());
    cr_assert_eq(starts->size(), 2);
    cr_expect_eq(starts->front().stream, streamIdOf("org", "a"));
    cr_expect_eq(starts->back().version, "v2");
    cr_expect(starts->back().isBegun);
    for (const auto& bytes : { std::string("\xff\xff"), std::string(1u << 20, '\x0a') }) {
        cr_expect(!decodeVersions(bytes));
        cr_expect(!decodeStarts(bytes));
    }
}

Test(streamOrigins, streamsBeginOnlyAtVersionsInTheRecord, .timeout = 20)
{
    OriginSite site;
    const auto& first = site.add("i-1", "v1");
    cr_expect(!site.origins.mayBeginAt(first), "nothing has been read");
    site.origins.onWholeRead();
    cr_assert(site.waitForSwap(0));
    cr_expect_eq(site.store.swaps[0].expected, 0);
    cr_expect(!site.origins.mayBeginAt(first), "the record is not written yet");
    cr_expect_eq(site.originOf("a"), "unknown");
    site.answerSwap(0);
    cr_expect(site.origins.mayBeginAt(first));
    cr_expect_eq(site.originOf("a"), "v1");
    const auto& second = site.add("i-2", "v2");
    cr_assert(site.waitForSwap(1));
    cr_expect_eq(site.store.swaps[1].expected, 1);
    cr_expect(!site.origins.mayBeginAt(second));
    cr_expect_eq(site.originOf("a"), "v1", "no stream has begun elsewhere");
    site.answerSwap(1);
    cr_expect(!site.origins.mayBeginAt(second), "other instances may not know it yet");
    cr_expect_eq(site.originOf("a"), "unknown");
    cr_expect(waitUntil([&] { return site.origins.mayBeginAt(second); }, 1s));
}

Test(streamOrigins, startedInstanceBeginsNoStreamAtAVersionThatWasJustOpened, .timeout = 20)
{
    const auto records = recordsOfAnOpening();
    OriginSite started(openingTimings);
    const auto readAt = Clock::now();
    started.applyRecord(records.opened);
    started.origins.onWholeRead();
    const auto& former = started.add("i-1", "v1");
    const auto& target = started.add("i-2", "v2");
    cr_expect(started.origins.mayBeginAt(former));
    cr_expect(!started.origins.mayBeginAt(target), "other instances may not know it yet");
    cr_assert(waitUntil([&] { return started.origins.mayBeginAt(target); }, 2s));
    cr_expect_geq((Clock::now() - readAt).count(), std::chrono::nanoseconds(openingTimings.openDelay).count());
}

Test(streamOrigins, noStreamBeginsAtAVersionThatWatchesOfOthersMayHaveMissedForASecond, .timeout = 20)
{
    constexpr auto missedByWatches = 1s;
    constexpr auto twoWatches = 600ms;
    OriginSite site { VersionTimings() };
    site.origins.onWholeRead();
    site.applyVersions({ { "v1", open } });
    site.add("i-1", "v1");
    site.applyVersions({ { "v1", open }, { "v2", opening } });
    const auto& target = site.add("i-2", "v2");
    runFor(missedByWatches + twoWatches);
    cr_expect(!site.origins.mayBeginAt(target), "others may still take its streams up at the only version they know");
    cr_expect(waitUntil([&] { return site.origins.mayBeginAt(target); }, 2s));
}

Test(streamOrigins, startedInstanceWaitsForNoVersionThatAllInstancesKnow, .timeout = 20)
{
    const auto records = recordsOfAnOpening();
    cr_assert(records.settled, "no instance has recorded that all know it");
    OriginSite started(openingTimings);
    started.applyRecord(*records.settled);
    started.origins.onWholeRead();
    started.add("i-1", "v1");
    cr_expect(started.origins.mayBeginAt(started.add("i-2", "v2")));
    cr_expect(!started.waitForSwap(0), "written without need");
}

Test(streamOrigins, openedVersionTakesStreamsWhileTheStoreTakesNoWrites, .timeout = 20)
{
    const auto records = recordsOfAnOpening();
    OriginSite site(openingTimings);
    site.applyRecord(records.opened);
    site.origins.onWholeRead();
    site.add("i-1", "v1");
    const auto& target = site.add("i-2", "v2");
    for (size_t i = 0; i < 2; ++i) {
        cr_assert(site.waitForSwap(i), "nothing is written");
        cr_expect(site.origins.mayBeginAt(target));
        site.store.swaps[i].done(store::StoreFailure::Unknown);
    }
}

Test(streamOrigins, versionIsNotOpeningAgainAfterAReturnToAnOlderCopy, .timeout = 20)
{
    const auto records = recordsOfAnOpening();
    cr_assert(records.settled, "no instance has recorded that all know it");
    OriginSite site(openingTimings);
    site.applyRecord(*records.settled);
    site.origins.onWholeRead();
    site.add("i-1", "v1");
    const auto& target = site.add("i-2", "v2");
    site.revision = store::revisionInEra(1, 5);
    site.applyRecord(records.opened);
    cr_expect(site.origins.mayBeginAt(target));
    cr_assert(site.waitForSwap(0), "the copy is not corrected");
    cr_expect(site.swapped(0) == *decodeVersions(*records.settled));
}

Test(streamOrigins, versionThatHasLeftIsRemembered, .timeout = 20)
{
    OriginSite site;
    site.origins.onWholeRead();
    site.applyVersions({ { "v1", open }, { "v2", open } });
    const auto since = Clock::now();
    site.add("i-2", "v2");
    cr_assert(site.waitForSwap(0));
    cr_expect(site.swapped(0) == ofService({ { "v1", closed }, { "v2", open } }));
    cr_expect_geq((Clock::now() - since).count(), std::chrono::nanoseconds(100ms).count());
    site.answerSwap(0);
    const auto closedAt = Clock::now();
    cr_expect_eq(site.originOf("a"), "unknown", "one version among the targets proves nothing");
    cr_assert(site.waitForSwap(1));
    cr_expect_geq((Clock::now() - closedAt).count(), std::chrono::nanoseconds(300ms).count());
    cr_expect(site.swapped(1) == ofService({ { "v2", open } }));
    cr_expect_eq(site.originOf("a"), "unknown", "the record is not written yet");
    site.answerSwap(1);
    cr_expect_eq(site.originOf("a"), "v2");
}

Test(streamOrigins, versionIsRememberedForTheTimeOfTheLongestStream, .timeout = 20)
{
    OriginSite site;
    directory::Deployment deployment;
    deployment.version = 2;
    site.route.timeout = 400ms;
    deployment.routes = { site.route };
    site.directory.apply(deployment);
    site.origins.onWholeRead();
    site.applyVersions({ { "v1", closed }, { "v2", open } });
    const auto closedAt = Clock::now();
    site.add("i-2", "v2");
    cr_assert(site.waitForSwap(0));
    cr_expect_geq((Clock::now() - closedAt).count(), std::chrono::nanoseconds(800ms).count());
}

Test(streamOrigins, versionThatComesBackIsOpenedBeforeStreamsBeginThere, .timeout = 20)
{
    OriginSite site;
    site.origins.onWholeRead();
    site.applyVersions({ { "v1", closed }, { "v2", open } });
    site.add("i-2", "v2");
    const auto& returned = site.add("i-1", "v1");
    cr_expect(!site.origins.mayBeginAt(returned));
    cr_assert(site.waitForSwap(0));
    cr_expect(site.swapped(0) == ofService({ { "v1", open }, { "v2", open } }));
    site.store.swaps[0].done(store::Conflict {
        { VersionRegistry::key, encodeVersions(ofService({ { "v1", open }, { "v2", open }, { "v3", closed } })), 9 } });
    cr_expect(waitUntil([&] { return site.origins.mayBeginAt(returned); }, 1s), "another instance has opened it");
    cr_expect_eq(site.store.swaps.size(), 1);
}

Test(streamOrigins, failedWriteIsRepeated, .timeout = 20)
{
    OriginSite site;
    site.origins.onWholeRead();
    site.add("i-1", "v1");
    for (size_t i = 0; i < 3; ++i) {
        cr_assert(site.waitForSwap(i));
        site.store.swaps[i].done(i % 2 ? store::StoreFailure::Unknown : store::StoreFailure::NotExecuted);
    }
    cr_expect(site.waitForSwap(3));
}

Test(streamOrigins, olderOrLostRecordForgetsNoVersion, .timeout = 20)
{
    OriginSite site;
    site.origins.onWholeRead();
    site.applyVersions({ { "v1", open }, { "v2", open } });
    site.add("i-1", "v1");
    site.add("i-2", "v2");
    site.origins.onRecordLost(VersionRegistry::key);
    cr_expect_eq(site.originOf("a"), "unknown");
    cr_assert(site.waitForSwap(0));
    cr_expect_eq(site.store.swaps[0].expected, 0);
    cr_expect(site.swapped(0) == ofService({ { "v1", open }, { "v2", open } }));
    site.answerSwap(0);
    site.revision = store::revisionInEra(1, 5);
    site.applyVersions({ { "v1", open } });
    cr_expect_eq(site.originOf("a"), "unknown");
    cr_assert(site.waitForSwap(1));
    cr_expect(site.swapped(1) == ofService({ { "v1", open }, { "v2", open } }));
}

Test(streamOrigins, recordsOfOthersSayWhereAStreamBegan, .timeout = 20)
{
    OriginSite site;
    site.origins.onWholeRead();
    site.applyVersions({ { "v1", open }, { "v2", open } });
    site.recordOf("two/1", { startOf("a", "v1"), startOf("b", "v2") });
    cr_expect_eq(site.originOf("a"), "v1");
    cr_expect_eq(site.originOf("b"), "v2");
    cr_expect_eq(site.originOf("c"), "unknown");
    const auto foreign = site.origins.originOf(site.route, streamIdOf("other", "a"), site.arrived);
    cr_expect(!foreign, "another organisation's id");
    cr_expect(!site.origins.originOf(site.route, std::nullopt, site.arrived), "no id");
    site.recordOf("three/1", { startOf("a", "v2") });
    cr_expect_eq(site.originOf("a"), "unknown", "sent to both");
    site.recordOf("three/1", { startOf("a", "v2"), startOf("a", "v2", true) });
    cr_expect_eq(site.originOf("a"), "v2", "its first event is known");
    site.recordOf("four/1", { startOf("a", "v1", true) });
    cr_expect_eq(site.originOf("a"), "unknown", "two requests of this id");
    site.origins.applyRecord({ std::string(StartRecorder::keyPrefix) + "two/1", {}, 99 }, false);
    cr_expect_eq(site.originOf("b"), "unknown");
}

Test(streamOrigins, startOfAnotherInstanceIsUsedOnceLaterOnesAreKnown, .timeout = 20)
{
    OriginSite site;
    site.origins.onWholeRead();
    site.applyVersions({ { "v1", open }, { "v2", open } });
    site.recordOf("two/1", { startOf("a", "v1"), startOf("b", "v1"), startOf("b", "v2", true) });
    site.readUpTo = site.arrived - 1ms;
    cr_expect_eq(site.originOf("a"), "unknown", "it may have been sent to v2 since");
    cr_expect_eq(site.originOf("b"), "v2");
    site.readUpTo = site.arrived;
    cr_expect_eq(site.originOf("a"), "v1");
}

Test(streamOrigins, recordedStartIsNotUsedWhileTheListOfTargetsOfTwoVersionsMayBeOld, .timeout = 20)
{
    for (const bool isMixed : { true, false }) {
        OriginSite site;
        site.origins.onWholeRead();
        site.applyVersions(
            isMixed ? VersionPhases { { "v1", open }, { "v2", open } } : VersionPhases { { "v1", open } });
        site.recordOf("two/1", { startOf("a", "v1", true) });
        site.readUpTo = site.arrived - 61ms;
        cr_expect_eq(site.originOf("a"), isMixed ? "unknown" : "v1");
        site.readUpTo = site.arrived - 60ms;
        cr_expect_eq(site.originOf("a"), "v1");
    }
}

Test(streamOrigins, onlyVersionIsNotTakenFromARecordThatMayBeOld, .timeout = 20)
{
    OriginSite site;
    site.origins.onWholeRead();
    site.applyVersions({ { "v1", open } });
    site.readUpTo = site.arrived - 61ms;
    cr_expect_eq(site.originOf("a"), "unknown", "streams may have begun at a version that was opened since");
    site.readUpTo = site.arrived - 60ms;
    cr_expect_eq(site.originOf("a"), "v1");
}

Test(streamOrigins, requestIsSentToAnotherVersionOnceThatIsRecorded, .timeout = 20)
{
    OriginSite site;
    site.origins.onWholeRead();
    site.applyVersions({ { "v1", open }, { "v2", open } });
    forward::StreamBinding binding;
    binding.stream = streamIdOf("org", "a");
    forward::recordAttempt(binding, site.origins, "s", "v1");
    cr_expect(*binding.allowed() == std::set<std::string> { "v1" });
    forward::extend(binding, site.origins, "s", "v2");
    cr_assert(waitUntil([&] { return !site.store.grants.empty(); }, 1s));
    site.store.grants[0](store::LeaseResult(int64_t { 7 }));
    site.store.puts[0](Success {});
    forward::applyExtension(binding, site.origins);
    cr_expect(!binding.allowed()->contains("v2"), "only the first attempt is recorded");
    cr_assert(waitUntil([&] { return site.store.puts.size() == 2; }, 1s));
    site.store.puts[1](store::StoreFailure::Unknown);
    forward::applyExtension(binding, site.origins);
    cr_expect(!binding.allowed()->contains("v2"), "the write may have failed");
    cr_assert(waitUntil([&] { return site.store.grants.size() == 2; }, 1s));
    site.store.grants[1](store::LeaseResult(int64_t { 8 }));
    cr_assert(waitUntil([&] { return site.store.puts.size() == 3; }, 1s));
    site.store.puts[2](Success {});
    forward::applyExtension(binding, site.origins);
    cr_expect(binding.allowed()->contains("v2"));
    cr_expect_eq(site.originOf("a"), "unknown");
    forward::recordEvent(binding, site.origins, "s", "v2");
    cr_expect(*binding.allowed() == std::set<std::string> { "v2" });
    cr_expect_eq(site.originOf("a"), "v2");
}

Test(streamOrigins, startsAreRecordedWhileTwoVersionsMayBeResumed, .timeout = 20)
{
    OriginSite site;
    site.origins.onWholeRead();
    site.applyVersions({ { "v1", open } });
    site.origins.add("s", startOf("early", "v1"));
    runFor(150ms);
    cr_expect(site.store.grants.empty(), "recorded without need");
    site.applyVersions({ { "v1", open }, { "v2", open } });
    cr_assert(waitUntil([&] { return !site.store.grants.empty(); }, 1s));
    site.store.grants[0](store::LeaseResult(int64_t { 7 }));
    cr_assert_eq(site.store.writes.size(), 1);
    site.origins.add("s", startOf("late", "v2"));
    cr_expect_eq(site.store.writes.size(), 1, "one write at a time");
    site.store.puts[0](Success {});
    cr_assert(waitUntil([&] { return site.store.writes.size() == 2; }, 1s));
    cr_expect_eq(site.store.writes[0].key, site.store.writes[1].key);
    cr_expect_eq(decodeStarts(site.store.writes[0].value)->size(), 1);
    cr_expect_eq(decodeStarts(site.store.writes[1].value)->size(), 2);
    cr_expect_eq(site.originOf("early"), "v1");
    cr_expect_eq(site.originOf("late"), "v2");
}

Test(streamOrigins, targetThatRefusedAConnectionIsNotTrustedUntilItsNextRecord, .timeout = 20)
{
    OriginSite site;
    site.origins.onWholeRead();
    site.applyVersions({ { "v1", open }, { "v2", open } });
    site.add("i-1", "v1");
    auto& target = *site.directory.targets().at("i-1");
    target.isDoubted = true;
    cr_expect(!site.origins.mayBeginAt(target));
    site.add("i-1", "v1");
    cr_expect(!site.origins.mayBeginAt(target), "the same record again");
    site.add("i-1", "v1", 2);
    cr_expect(site.origins.mayBeginAt(*site.directory.targets().at("i-1")));
}
