// Unit tests of the parts of forwarding: retry window, event cursor, target selection.

#include "forward/EventCursor.h"
#include "forward/RetryWindow.h"
#include "forward/TargetChooser.h"

#include <criterion/criterion.h>
#include <cstring>
#include <random>
#include <set>

using namespace dragonfly;
using namespace dragonfly::forward;
using namespace std::chrono_literals;

namespace {

directory::Route streamingRoute()
{
    directory::Route route;
    route.name = "ask";
    route.host = "a.example";
    route.pathPrefix = "/";
    route.shares = { { "engines", 1 } };
    route.kind = directory::RequestKind::Streaming;
    route.timeout = 8s;
    return route;
}

/// A directory with a route to a service of engines, three in each of two regions, and a route to a plain service.
struct Pool {
    directory::Directory directory { 4s };
    routing::PrefixIndex prefixIndex { 1024 };
    routing::Place place { "north", "north-a" };
    std::map<std::string, std::string> regions { { "north-a", "north" }, { "south-a", "south" } };
    std::vector<std::string> excluded;
    RequestMetadata metadata;
    Clock::time_point now = Clock::now();
    BootClock::time_point bootNow = BootClock::now();

    Pool()
    {
        directory::Deployment deployment;
        deployment.version = 1;
        const auto route = streamingRoute();
        auto plain = route;
        plain.pathPrefix = "/desk/";
        plain.shares = { { "desk", 1 } };
        auto mixed = route;
        mixed.pathPrefix = "/mixed/";
        mixed.shares = { { "engines", 1 }, { "desk", 1 } };
        deployment.routes = { route, plain, mixed };
        deployment.services.push_back({ "engines", 100, directory::EnginePool {}, std::nullopt });
        directory::CacheStore store { { "10.0.0.9", 80 }, "north-a", 1000000 };
        deployment.services.push_back({ "desk", 100, std::nullopt, std::nullopt });
        deployment.services.push_back({ "store", 0, std::nullopt, store });
        this->directory.apply(std::move(deployment));
        for (int i = 0; i < 6; ++i)
            this->add("e" + std::to_string(i), i < 3 ? "north-a" : "south-a", 1);
        this->metadata.model = "m";
        this->metadata.promptTokens = 16000;
        this->metadata.prompt = { { "shared", 13000 }, { "own", 3000 } };
    }

    void add(const std::string& id, const std::string& dataCentre, uint64_t version)
    {
        this->add(id, "engines", dataCentre, { { "m", version } });
    }

    void add(const std::string& id, const std::string& service, const std::string& dataCentre,
        const std::map<std::string, uint64_t>& weights)
    {
        directory::Registration registration;
        registration.id = id;
        registration.service = service;
        registration.endpoint = { "10.0.0." + std::to_string(10 + id.back() - '0'), 80 };
        registration.dataCentre = dataCentre;
        registration.weights = weights;
        this->directory.registerTarget(registration);
    }

    std::optional<TargetChoice> choose(uint64_t random = 1, const std::string& path = "/x")
    {
        const auto& routes = *this->directory.routes();
        const ChoiceQuery query { this->directory, routes, *routes.findRoute("a.example", path), this->metadata,
            this->organisation, this->place, this->regions, this->prefixIndex, this->excluded, this->gate, 15s, random,
            this->now, this->bootNow };
        return chooseTarget(routing::LeastCost {}, query);
    }

    void advance(std::chrono::seconds duration)
    {
        this->now += duration;
        this->bootNow += duration;
    }

    const directory::Organisation* organisation = nullptr;
    observe::Metrics metrics;
    limits::RequestLimits limits { this->metrics };
    backoff::SendGate gate { this->limits, this->metrics };
};

}

namespace {

/// Sends a retry at @p now; false if the budget is exhausted.
bool sendRetry(RetryWindow& window, Clock::time_point now)
{
    auto grant = window.tryAcquireRetry(now);
    if (grant)
        grant->use(now);
    return grant.has_value();
}

}

Test(retryWindow, retriesAreLimitedByFirstSendsAndAllowance)
{
    RetryWindow window({ 0.2, 1, 10000ms });
    const auto start = Clock::now();
    cr_assert(sendRetry(window, start));
    cr_assert_not(sendRetry(window, start), "the allowance is one");
    for (int i = 0; i < 10; ++i)
        window.recordFirstSend(start);
    cr_assert(sendRetry(window, start));
    cr_assert(sendRetry(window, start));
    cr_assert_not(sendRetry(window, start));
}

Test(retryWindow, unusedGrantsCountUntilTheyAreReturned)
{
    RetryWindow window({ 0.2, 2, 10000ms });
    const auto start = Clock::now();
    for (int i = 0; i < 100; ++i)
        cr_assert(window.tryAcquireRetry(start), "a grant that was not used is returned");
    auto first = window.tryAcquireRetry(start);
    auto second = window.tryAcquireRetry(start);
    cr_assert(first && second);
    cr_assert(first->isOf(window));
    cr_assert_not(window.tryAcquireRetry(start), "two retries may be sent at any moment");
    cr_assert_not(window.tryAcquireRetry(start + 60s), "an unused grant does not expire");
    first.reset();
    first = window.tryAcquireRetry(start + 60s);
    cr_assert(first.has_value());
    second = std::move(first);
    cr_assert_eq(window.counts(start + 60s).granted, 1, "assigning returns the grant that was held before");
}

Test(retryWindow, grantCountsFromItsUse)
{
    RetryWindow window({ 0.2, 1, 10000ms });
    const auto start = Clock::now();
    auto grant = window.tryAcquireRetry(start);
    grant->use(start + 8s);
    grant.reset();
    const auto counts = window.counts(start + 8s);
    cr_assert_eq(counts.retries, 1);
    cr_assert_eq(counts.granted, 0);
    cr_assert_not(window.tryAcquireRetry(start + 17s), "it was sent in the last ten seconds");
    cr_assert(window.tryAcquireRetry(start + 19s));
}

Test(retryWindow, retryRatioHoldsOverEverySlidingWindow)
{
    RetryWindow window({ 0.2, 2, 10000ms });
    const auto start = Clock::now();
    std::vector<Clock::time_point> firstSends;
    std::vector<Clock::time_point> retries;
    // A burst within a steady load, with a retry requested for each first send.
    for (auto now = start; now < start + 60s; now += 50ms) {
        const int count = now > start + 20s && now < start + 23s ? 10 : 1;
        for (int i = 0; i < count; ++i) {
            window.recordFirstSend(now);
            firstSends.push_back(now);
            if (sendRetry(window, now))
                retries.push_back(now);
        }
    }
    const auto inWindow = [](const std::vector<Clock::time_point>& times, Clock::time_point end) {
        return std::count_if(times.begin(), times.end(), [end](auto time) { return time > end - 10s && time <= end; });
    };
    for (auto end = start + 10s; end < start + 60s; end += 100ms) {
        // A retry in this window was granted against an earlier window, which may have had more first sends.
        const auto earned = std::max(inWindow(firstSends, end), inWindow(firstSends, end - 5s));
        cr_assert_leq(inWindow(retries, end), 0.2 * static_cast<double>(earned) + 2 + 1);
    }
    cr_assert_gt(retries.size(), firstSends.size() / 6);
}

Test(eventCursor, returnsOnlyCompleteEvents)
{
    EventCursor cursor;
    cr_assert_eq(cursor.feed("id: 1\nda"), "");
    cr_assert(cursor.hasPartial());
    cr_assert_eq(cursor.feed("ta: a\n\nid: 2\ndata: b\n\nid: 3\n"), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    cr_assert_eq(cursor.lastId(), "2");
    cr_assert_eq(cursor.count(), 2);
    cursor.dropPartial();
    cr_assert_eq(cursor.feed("id: 3\ndata: c\n\n"), "id: 3\ndata: c\n\n");
    cr_assert_eq(cursor.lastId(), "3");
    cr_assert_not(cursor.hasPartial());
}

Test(eventCursor, parsesSingleBytesAndBothLineEndings)
{
    EventCursor cursor;
    std::string passed;
    const std::string stream = "id: 7\r\ndata: x\r\n\r\nid:8\ndata: y\n\n";
    for (const char c : stream)
        passed += cursor.feed(std::string(1, c));
    cr_assert_eq(passed, stream);
    cr_assert_eq(cursor.lastId(), "8");
    cr_assert_eq(cursor.count(), 2);
}

Test(eventCursor, returnsNothingFromTheFirstFaultOn)
{
    const std::string sound = "id: 9\r\ndata: a\r\n\r\nid: 10\ndata: b\n\n";
    const std::vector<std::pair<std::string, EventFault>> faults { { "id: 10\ndata: c\n\n", EventFault::OutOfOrder },
        { "HTTP/1.1 500 Failed\r\n\r\n", EventFault::Malformed }, { "id: 11\nAge: 1\n\n", EventFault::Malformed } };
    for (const auto& [text, fault] : faults) {
        const auto bytes = sound + text + "id: 12\ndata: d\n\n";
        for (const size_t size : { size_t { 1 }, bytes.size() }) {
            EventCursor cursor;
            std::string passed;
            for (size_t at = 0; at < bytes.size(); at += size)
                passed += cursor.feed(std::string_view(bytes).substr(at, size));
            cr_expect_eq(passed, sound, "%s: %s", text.c_str(), passed.c_str());
            cr_expect(cursor.fault() == fault, "%s", text.c_str());
            cursor.dropPartial();
            cr_expect_eq(cursor.feed("id: 11\ndata: e\n\n"), "id: 11\ndata: e\n\n");
        }
    }
}

Test(eventCursor, eventsOfAnotherTargetFollowTheLastOne)
{
    EventCursor cursor("7");
    cr_assert(cursor.isAwaitingContinuation());
    cr_assert_eq(cursor.feed("data: unplaced\n\n"), "");
    cr_assert(cursor.fault() == EventFault::Unplaced);
    cursor.dropPartial();
    cr_assert_eq(
        cursor.feed(": comment\n\nid: 8\ndata: a\n\ndata: b\n\n"), ": comment\n\nid: 8\ndata: a\n\ndata: b\n\n");
    cr_assert_not(cursor.isAwaitingContinuation());
    cr_assert_not(cursor.canResume());
    cr_assert_eq(cursor.count(), 2);
}

Test(eventCursor, longEventIsSearchedOnlyOnce)
{
    EventCursor cursor;
    const std::string piece(1024, 'x');
    const auto start = Clock::now();
    cr_assert_eq(cursor.feed("id: 1\ndata: "), "");
    for (int i = 0; i < 4096; ++i)
        cr_assert_eq(cursor.feed(piece), "");
    cr_assert_eq(cursor.feed("\n"), "");
    cr_assert_eq(cursor.feed("\r").size(), 0);
    cr_assert_eq(cursor.feed("\n").size(), strlen("id: 1\ndata: \n\r\n") + 4096 * piece.size());
    cr_assert_eq(cursor.count(), 1);
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start);
    cr_assert_lt(took, 500ms, "%d ms", static_cast<int>(took.count()));
}

Test(targetChooser, newWeightsShortenNoTimeThatATargetHasAskedFor)
{
    Pool pool;
    pool.limits.standingOf = [](const directory::Registration&) { return limits::Standing { 0, 1, 1 }; };
    const auto id = pool.choose()->target->registration.id;
    const auto& target = pool.directory.targets().at(id);
    pool.gate.onAnswer(target->registration, { false, std::chrono::duration<double>(8), false }, "r1", pool.now);
    pool.add(id, target->registration.dataCentre, 2);
    cr_assert_neq(pool.choose()->target->registration.id, id);
    pool.advance(7s);
    cr_assert_neq(pool.choose()->target->registration.id, id);
    pool.advance(3s);
    cr_assert_eq(pool.choose()->target->registration.id, id);
}

Test(targetChooser, cacheOfALeavingTargetMayStillBeFetched)
{
    Pool pool;
    const auto first = *pool.choose();
    rememberPrompt(pool.prefixIndex, first, pool.now);
    const auto holder = first.target->registration;
    pool.gate.onAnswer(holder, { true, {}, false }, "r1", pool.now);
    const auto next = *pool.choose();
    cr_assert_neq(next.target->registration.id, holder.id);
    cr_assert(next.fetchCacheFrom.has_value());
    cr_assert_eq(*next.fetchCacheFrom, holder.endpoint);
}

Test(targetChooser, leavingTargetIsNotChosenWhateverItsRecordSays)
{
    Pool pool;
    const auto leave = [&](const std::string& id) {
        const auto& target = pool.directory.targets().at(id)->registration;
        pool.gate.onAnswer(target, { true, {}, false }, "r1", pool.now);
    };
    for (const auto* id : { "e0", "e1", "e2", "e3", "e4" })
        leave(id);
    pool.directory.removeTarget("e0"); // its lease lapsed
    pool.add("e0", "north-a", 1);
    pool.add("e1", "north-a", 2); // new weights
    for (uint64_t random = 0; random < 50; ++random)
        cr_assert_eq(pool.choose(random)->target->registration.id, "e5");
    leave("e5");
    cr_assert_not(pool.choose().has_value());
}

Test(targetChooser, instancesAgreeOnPreferredTargetOfSharedPrefix)
{
    Pool north;
    Pool south;
    south.place = { "south", "south-a" };
    for (int i = 0; i < 40; ++i) {
        north.metadata.prompt.front().id = south.metadata.prompt.front().id = "p" + std::to_string(i);
        const auto chosen = north.choose();
        cr_assert_eq(chosen->target->registration.id, south.choose()->target->registration.id);
        cr_assert_eq(chosen->policyChoice.reason, routing::Reason::PreferredTarget);
    }
}

Test(targetChooser, shortPromptsStayInTheDataCentre)
{
    Pool pool;
    pool.metadata.promptTokens = 380;
    pool.metadata.prompt = { { "greeting", 90 }, { "own", 290 } };
    for (uint64_t random = 0; random < 20; ++random)
        cr_assert_eq(pool.choose(random)->target->registration.dataCentre, "north-a");
}

Test(targetChooser, cacheSaltDiffersByWeightsVersionAndIsolatedOrganisation)
{
    Pool pool;
    const auto sharedSalt = pool.choose()->cacheSalt;
    const directory::Organisation open { "open", {}, {}, false };
    const directory::Organisation isolated { "isolated", {}, {}, true };
    const directory::Organisation other { "other", {}, {}, true };
    pool.organisation = &open;
    cr_assert_eq(pool.choose()->cacheSalt, sharedSalt);
    pool.organisation = &isolated;
    const auto isolatedSalt = pool.choose()->cacheSalt;
    cr_assert_neq(isolatedSalt, sharedSalt);
    pool.organisation = &other;
    cr_assert_neq(pool.choose()->cacheSalt, isolatedSalt);
    pool.organisation = nullptr;
    for (int i = 0; i < 6; ++i)
        pool.add("e" + std::to_string(i), "north-a", 2);
    cr_assert_neq(pool.choose()->cacheSalt, sharedSalt);
    cr_assert_eq(pool.choose()->weightsVersion, 2);
}

namespace {

/// Puts a configuration in force that isolates just @p isolated of the organisations a, b and c.
void isolate(Pool& pool, const std::set<std::string>& isolated, uint64_t routeTimeoutMs = 8000)
{
    directory::Deployment deployment;
    deployment.version = pool.directory.routes()->version() + 1;
    auto route = streamingRoute();
    route.timeout = std::chrono::milliseconds(routeTimeoutMs);
    deployment.routes = { route };
    deployment.services.push_back({ "engines", 100, directory::EnginePool {}, std::nullopt });
    for (const auto* name : { "c", "a", "b" })
        deployment.organisations.push_back({ name, { std::string("key-of-") + name }, {}, isolated.contains(name) });
    pool.directory.apply(std::move(deployment));
}

/// The salt of a request of @p organisation that arrives now.
std::string saltOf(Pool& pool, const std::string& organisation)
{
    pool.organisation = pool.directory.routes()->findOrganisation("key-of-" + organisation);
    return pool.choose()->cacheSalt;
}

}

// What an organisation read before it was isolated must be out of reach of the others, and the reverse.
Test(targetChooser, organisationThatBecomesIsolatedLeavesNothingInReachOfTheOthers)
{
    Pool pool;
    isolate(pool, {});
    const auto before = saltOf(pool, "a");
    cr_assert_eq(saltOf(pool, "b"), before);
    isolate(pool, { "a" });
    cr_assert_neq(saltOf(pool, "b"), before, "b goes on from what a has left");
    cr_assert_neq(saltOf(pool, "a"), before, "a goes on from what b has left");
    cr_assert_neq(saltOf(pool, "a"), saltOf(pool, "b"));
    cr_assert_eq(saltOf(pool, "b"), saltOf(pool, "c"));
}

// Instances share nothing but the configuration, and each may start anew between any two of them.
Test(targetChooser, prefixesAreNeverSharedWithAnIsolatedOrganisationInWhateverOrderConfigurationsCome)
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        std::map<std::string, std::set<std::string>> makers; ///< by salt, the organisations that have used it
        auto pool = std::make_unique<Pool>();
        for (int step = 0; step < 60; ++step) {
            std::set<std::string> isolated;
            for (const auto* name : { "a", "b", "c" }) {
                if (random() % 2)
                    isolated.insert(name);
            }
            if (random() % 3 == 0)
                pool = std::make_unique<Pool>();
            isolate(*pool, isolated);
            for (const auto* name : { "a", "b", "c" }) {
                if (random() % 3 == 0)
                    continue;
                auto& used = makers[saltOf(*pool, name)];
                for (const auto& maker : used)
                    cr_assert(maker == name || (!isolated.contains(maker) && !isolated.contains(name)),
                        "seed %u, step %d: %s goes on from a prefix of %s", seed, step, name, maker.c_str());
                used.insert(name);
            }
        }
    }
}

// Another salt means that all shared prefixes are read again.
Test(targetChooser, configurationThatIsolatesTheSameOrganisationsKeepsAllSalts)
{
    Pool pool;
    isolate(pool, {});
    cr_assert_eq(saltOf(pool, "a"), routing::cacheSalt("shared", "m", "1"), "as builds before use it");
    for (const auto& isolated : { std::set<std::string> {}, std::set<std::string> { "a", "c" } }) {
        isolate(pool, isolated);
        std::vector<std::string> salts;
        for (const auto* name : { "a", "b", "c" })
            salts.push_back(saltOf(pool, name));
        isolate(pool, isolated, 7000);
        Pool other;
        isolate(other, isolated);
        for (size_t i = 0; i < 3; ++i) {
            const auto name = std::string(1, static_cast<char>('a' + static_cast<char>(i)));
            cr_assert_eq(saltOf(pool, name), salts[i]);
            cr_assert_eq(saltOf(other, name), salts[i], "instances differ");
        }
    }
}

// An attempt may come long after its request, by which time another configuration is in force.
Test(targetChooser, furtherAttemptOfAnOlderRequestKeepsToTheOrganisationsThatAreIsolatedNow)
{
    Pool pool;
    isolate(pool, {});
    const auto routes = pool.directory.routes();
    const auto before = saltOf(pool, "a");
    const auto* older = pool.organisation;
    isolate(pool, { "a" });
    const auto isolated = saltOf(pool, "a");
    pool.organisation = older;
    cr_assert_eq(pool.choose()->cacheSalt, isolated);
    pool.organisation = routes->findOrganisation("key-of-b");
    cr_assert_neq(pool.choose()->cacheSalt, before);
    cr_assert_eq(pool.choose()->cacheSalt, saltOf(pool, "c"));
}

Test(targetChooser, replacedWeightsAreExcludedAfterTimeToLive)
{
    Pool pool;
    pool.directory.setWantedWeights({ "m", 2 }, pool.bootNow);
    pool.advance(5s);
    cr_assert(pool.choose().has_value());
    pool.advance(9s);
    cr_assert_not(pool.choose().has_value(), "no engine runs weights that may still answer");
    pool.add("e1", "north-a", 2);
    cr_assert_eq(pool.choose()->target->registration.id, "e1");
}

Test(targetChooser, replacedWeightsExpireWhileTheMachineIsSuspended)
{
    Pool pool;
    pool.directory.setWantedWeights({ "m", 2 }, pool.bootNow);
    pool.advance(5s);
    pool.bootNow += 9s; // the steady clock stands still
    cr_assert_not(pool.choose().has_value(), "the weights were replaced 14 s ago");
}

Test(targetChooser, slowEnginesWithReplacedWeightsAreExcludedEarlier)
{
    Pool pool;
    pool.directory.setWantedWeights({ "m", 2 }, pool.bootNow);
    pool.advance(10s);
    for (const auto& [id, target] : pool.directory.targets()) {
        if (id != "e3")
            target->state->delayUs = 4000000;
        target->state->delayAt = pool.now.time_since_epoch().count();
    }
    cr_assert_eq(pool.choose()->target->registration.id, "e3", "a request would begin too late at the others");
}

Test(targetChooser, weightsReplacedBeforeStartNeedConfirmationOrNoNewerEngine)
{
    Pool pool;
    pool.directory.setWantedWeights({ "m", 2 }, BootClock::time_point());
    cr_assert(pool.choose().has_value(), "no engine has loaded the new version yet");
    pool.add("e4", "south-a", 2);
    for (int i = 0; i < 10; ++i) {
        pool.metadata.prompt.front().id = std::to_string(i);
        cr_assert_eq(pool.choose()->target->registration.id, "e4");
    }
    pool.directory.targets().at("e4")->refusingUntil = pool.now + 1s;
    cr_assert_not(pool.choose().has_value(), "the engine with newer weights is only temporarily refusing");
    pool.directory.setWantedWeights({ "m", 3 }, pool.bootNow);
    cr_assert_not(pool.choose().has_value(), "naming another version does not extend the time of the oldest one");
    pool.directory.confirmReplacedVersion("m", 1, true);
    cr_assert(pool.choose().has_value(), "another instance confirmed that the replacement is recent");
    pool.directory.confirmReplacedVersion("m", 1, false);
    cr_assert_not(pool.choose().has_value());
}

// A target of a plain service that names a model made the weights of the engines count as outdated.
Test(targetChooser, modelsOfTargetsThatAreNoEnginesSayNothingAboutWeights)
{
    Pool pool;
    pool.directory.setWantedWeights({ "m", 2 }, BootClock::time_point());
    pool.add("d0", "desk", "north-a", { { "m", 2 } });
    const auto choice = pool.choose(0, "/mixed/x");
    cr_assert(choice.has_value());
    cr_assert_eq(choice->target->registration.service, "engines");
}

Test(targetChooser, weightsReplacedBeforeStartExpireNoLaterThanIfReplacedAtTheStart)
{
    Pool pool;
    pool.directory.setWantedWeights({ "m", 2 }, BootClock::time_point());
    pool.directory.confirmReplacedVersion("m", 1, true);
    pool.advance(12s);
    cr_assert(pool.choose().has_value());
    pool.advance(2s);
    cr_assert_not(pool.choose().has_value());
}

Test(targetChooser, weightsOfUnknownAgeNeedAConfirmationSoonAfterTheStart)
{
    Pool pool;
    pool.directory.setWantedWeights({ "m", 2 }, BootClock::time_point());
    pool.advance(2s);
    cr_assert(pool.choose().has_value(), "a new leader had no time to confirm them yet");
    pool.advance(1s);
    pool.bootNow = pool.directory.replacementOf("m", 1)->notAfter + 3s;
    cr_assert_not(pool.choose().has_value());
    pool.directory.confirmReplacedVersion("m", 1, true);
    cr_assert(pool.choose().has_value());
}

Test(targetChooser, skipsDrainingRefusingReplacedAndExcludedTargets)
{
    Pool pool;
    const auto& targets = pool.directory.targets();
    targets.at("e0")->registration.isDraining = true;
    targets.at("e1")->refusingUntil = pool.now + 1s;
    targets.at("e2")->isReplaced = true;
    pool.excluded = { "e3", "e4" };
    cr_assert_eq(pool.choose()->target->registration.id, "e5");
    pool.excluded.push_back("e5");
    cr_assert_not(pool.choose().has_value());
    pool.advance(2s);
    cr_assert_eq(pool.choose()->target->registration.id, "e1");
}

Test(targetChooser, fetchesCacheFromHolderOrElseFromCacheStore)
{
    Pool pool;
    const auto preferred = *pool.choose();
    cr_assert_eq(preferred.fetchCacheFrom->toString(), "10.0.0.9:80");
    cr_assert_eq(preferred.saveCacheTo->toString(), "10.0.0.9:80");
    rememberPrompt(pool.prefixIndex, preferred, pool.now);
    cr_assert_not(pool.choose()->fetchCacheFrom.has_value(), "the preferred target holds the prefix");
    preferred.target->state->pendingTokens = 10000000; // a long queue
    const auto elsewhere = *pool.choose();
    cr_assert_neq(elsewhere.target, preferred.target);
    cr_assert_eq(*elsewhere.fetchCacheFrom, preferred.target->registration.endpoint);
    cr_assert_not(elsewhere.saveCacheTo.has_value());
}

Test(targetChooser, plainServiceAcceptsRequestWithModel)
{
    Pool pool;
    pool.add("d7", "desk", "north-a", {});
    pool.directory.setWantedWeights({ "m", 2 }, pool.bootNow);
    pool.directory.setWantedWeights({ "m", 3 }, pool.bootNow);
    pool.advance(60s);
    const auto choice = pool.choose(1, "/desk/x");
    cr_assert(choice.has_value());
    cr_assert_eq(choice->target->registration.id, "d7");
    cr_assert_eq(choice->weightsVersion, 0);
    cr_assert(choice->cacheSalt.empty());
    cr_assert_not(choice->fetchCacheFrom.has_value());
    pool.excluded = { "d7" };
    cr_assert_not(pool.choose(1, "/desk/x").has_value());
}
