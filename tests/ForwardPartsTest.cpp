// Parts of forwarding, each alone: the retry window, event streams, the choice of a target.

#include "forward/EventCursor.h"
#include "forward/RetryWindow.h"
#include "forward/TargetChooser.h"

#include <criterion/criterion.h>

using namespace dragonfly;
using namespace dragonfly::forward;
using namespace std::chrono_literals;

namespace {

/// A directory with one route over one service of engines, three in each of two regions.
struct Pool {
    directory::Directory directory { 4s };
    routing::PrefixMemory memory { 1024 };
    routing::Place place { "north", "north-a" };
    std::map<std::string, std::string> regions { { "north-a", "north" }, { "south-a", "south" } };
    std::vector<std::string> excluded;
    Description description;
    Clock::time_point now = Clock::now();

    Pool()
    {
        directory::Deployment deployment;
        deployment.version = 1;
        directory::Route route;
        route.name = "ask";
        route.host = "a.example";
        route.pathPrefix = "/";
        route.shares = { { "engines", 1 } };
        route.kind = directory::RequestKind::Streaming;
        route.timeout = 8s;
        auto plain = route;
        plain.pathPrefix = "/desk/";
        plain.shares = { { "desk", 1 } };
        deployment.routes = { route, plain };
        deployment.services.push_back({ "engines", 100, directory::EnginePool {}, std::nullopt });
        directory::CacheStore store { { "10.0.0.9", 80 }, "north-a", 1000000 };
        deployment.services.push_back({ "desk", 100, std::nullopt, std::nullopt });
        deployment.services.push_back({ "store", 0, std::nullopt, store });
        this->directory.apply(std::move(deployment));
        for (int i = 0; i < 6; ++i)
            this->add("e" + std::to_string(i), i < 3 ? "north-a" : "south-a", 1);
        this->description.model = "m";
        this->description.promptTokens = 16000;
        this->description.prompt = { { "shared", 13000 }, { "own", 3000 } };
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
        const ChoiceQuery query { this->directory, routes, *routes.findRoute("a.example", path), this->description,
            this->organisation, this->place, this->regions, this->memory, this->excluded, 15s, random, this->now };
        return chooseTarget(routing::LeastCost {}, query);
    }

    const directory::Organisation* organisation = nullptr;
};

}

Test(retryWindow, firstSendsEarnFurtherOnes)
{
    RetryWindow window({ 0.2, 1, 10000ms });
    const auto start = Clock::now();
    cr_assert(window.take(start));
    cr_assert_not(window.take(start), "the allowance is one");
    for (int i = 0; i < 10; ++i)
        window.noteFirst(start);
    cr_assert(window.take(start));
    cr_assert(window.take(start));
    cr_assert_not(window.take(start));
}

Test(retryWindow, holdsOverEveryWindowOfTime)
{
    RetryWindow window({ 0.2, 2, 10000ms });
    const auto start = Clock::now();
    std::vector<Clock::time_point> firsts;
    std::vector<Clock::time_point> further;
    // A burst in the middle of a steady load, with a retry wanted for each request.
    for (auto now = start; now < start + 60s; now += 50ms) {
        const int count = now > start + 20s && now < start + 23s ? 10 : 1;
        for (int i = 0; i < count; ++i) {
            window.noteFirst(now);
            firsts.push_back(now);
            if (window.take(now))
                further.push_back(now);
        }
    }
    const auto inWindow = [](const std::vector<Clock::time_point>& times, Clock::time_point end) {
        return std::count_if(times.begin(), times.end(), [end](auto time) { return time > end - 10s && time <= end; });
    };
    for (auto end = start + 10s; end < start + 60s; end += 100ms) {
        // Firsts of the window before it count as well when there were more of them.
        const auto earned = std::max(inWindow(firsts, end), inWindow(firsts, end - 5s));
        cr_assert_leq(inWindow(further, end), 0.2 * static_cast<double>(earned) + 2 + 1);
    }
    cr_assert_gt(further.size(), firsts.size() / 6);
}

Test(eventCursor, passesWholeEventsOnly)
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

Test(eventCursor, takesBytesOneByOneAndBothLineEnds)
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

Test(targetChooser, allInstancesFindOneHomeForASharedPrefix)
{
    Pool north;
    Pool south;
    south.place = { "south", "south-a" };
    for (int i = 0; i < 40; ++i) {
        north.description.prompt.front().id = south.description.prompt.front().id = "p" + std::to_string(i);
        const auto chosen = north.choose();
        cr_assert_eq(chosen->target->registration.id, south.choose()->target->registration.id);
        cr_assert_eq(chosen->choice.reason, routing::Reason::HomeOfPrefix);
    }
}

Test(targetChooser, shortPromptsStayInTheDataCentre)
{
    Pool pool;
    pool.description.promptTokens = 380;
    pool.description.prompt = { { "greeting", 90 }, { "own", 290 } };
    for (uint64_t random = 0; random < 20; ++random)
        cr_assert_eq(pool.choose(random)->target->registration.dataCentre, "north-a");
}

Test(targetChooser, saltTellsVersionsAndIsolatedOrganisationsApart)
{
    Pool pool;
    const auto common = pool.choose()->cacheSalt;
    const directory::Organisation open { "open", {}, {}, false };
    const directory::Organisation isolated { "isolated", {}, {}, true };
    const directory::Organisation other { "other", {}, {}, true };
    pool.organisation = &open;
    cr_assert_eq(pool.choose()->cacheSalt, common);
    pool.organisation = &isolated;
    const auto own = pool.choose()->cacheSalt;
    cr_assert_neq(own, common);
    pool.organisation = &other;
    cr_assert_neq(pool.choose()->cacheSalt, own);
    pool.organisation = nullptr;
    for (int i = 0; i < 6; ++i)
        pool.add("e" + std::to_string(i), "north-a", 2);
    cr_assert_neq(pool.choose()->cacheSalt, common);
    cr_assert_eq(pool.choose()->weightsVersion, 2);
}

Test(targetChooser, replacedWeightsAnswerForALimitedTime)
{
    Pool pool;
    pool.directory.nameWeights({ "m", 2 }, pool.now);
    pool.now += 5s;
    cr_assert(pool.choose().has_value());
    pool.now += 9s;
    cr_assert_not(pool.choose().has_value(), "no engine runs weights that may still answer");
    pool.add("e1", "north-a", 2);
    cr_assert_eq(pool.choose()->target->registration.id, "e1");
}

Test(targetChooser, afterAStartReplacedWeightsAnswerOnlyWhereThereAreNoNewer)
{
    Pool pool;
    pool.directory.nameWeights({ "m", 2 }, Clock::time_point());
    cr_assert(pool.choose().has_value(), "nobody has loaded them yet");
    pool.add("e4", "south-a", 2);
    for (int i = 0; i < 10; ++i) {
        pool.description.prompt.front().id = std::to_string(i);
        cr_assert_eq(pool.choose()->target->registration.id, "e4");
    }
    pool.directory.targets().at("e4")->refusingUntil = pool.now + 1s;
    cr_assert_not(pool.choose().has_value(), "the one with newer weights only refuses for a moment");
    pool.directory.nameWeights({ "m", 3 }, pool.now);
    cr_assert_not(pool.choose().has_value(), "a further version makes the oldest no younger");
    pool.directory.vouchFor("m", 1, true);
    cr_assert(pool.choose().has_value(), "another instance heard of the replacement a moment ago");
    pool.directory.vouchFor("m", 1, false);
    cr_assert_not(pool.choose().has_value());
}

Test(targetChooser, leavesOutWhatIsDrainingRefusingReplacedOrTried)
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
    pool.now += 2s;
    cr_assert_eq(pool.choose()->target->registration.id, "e1");
}

Test(targetChooser, fetchesFromAHolderOrElseFromTheStore)
{
    Pool pool;
    const auto home = *pool.choose();
    cr_assert_eq(home.fetchCacheFrom->toString(), "10.0.0.9:80");
    cr_assert_eq(home.saveCacheTo->toString(), "10.0.0.9:80");
    rememberPrompt(pool.memory, home, pool.now);
    cr_assert_not(pool.choose()->fetchCacheFrom.has_value(), "the home holds it");
    home.target->state->pendingTokens = 10000000; // its queue is too long
    const auto elsewhere = *pool.choose();
    cr_assert_neq(elsewhere.target, home.target);
    cr_assert_eq(*elsewhere.fetchCacheFrom, home.target->registration.endpoint);
    cr_assert_not(elsewhere.saveCacheTo.has_value());
}

Test(targetChooser, plainServicesTakeRequestsThatNameAModel)
{
    Pool pool;
    pool.add("d7", "desk", "north-a", {});
    pool.directory.nameWeights({ "m", 2 }, pool.now);
    pool.directory.nameWeights({ "m", 3 }, pool.now);
    pool.now += 60s;
    const auto choice = pool.choose(1, "/desk/x");
    cr_assert(choice.has_value());
    cr_assert_eq(choice->target->registration.id, "d7");
    cr_assert_eq(choice->weightsVersion, 0);
    cr_assert(choice->cacheSalt.empty());
    cr_assert_not(choice->fetchCacheFrom.has_value());
    pool.excluded = { "d7" };
    cr_assert_not(pool.choose(1, "/desk/x").has_value());
}
