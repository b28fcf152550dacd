// The roll-out of weights to engines that behave in any way, beside entries of the list of targets that are no engines.

#include "platform/Platform.h"
#include "tests/support/RefusingStore.h"
#include "tests/support/ScriptedTarget.h"
#include "tests/support/Site.h"
#include "weights/WeightsRollout.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <criterion/criterion.h>

using namespace testing;
using namespace dragonfly;
using namespace dragonfly::weights;
using namespace std::chrono_literals;

namespace {

constexpr LeaderLeaseTimings timings { 300ms, 30ms };
/// How long replaced weights may answer, and how long requests are sent to them.
constexpr std::chrono::milliseconds weightsTime { 8000 };
constexpr auto usableTime = weightsTime - directory::replacedWeightsMargin;

enum class Behaviour {
    Loads,
    AnswersNoReport,
    AnswersNoOrder,
    RefusesOrders,
    AcceptsOnly, ///< accepts each order and carries out none
    StaysBusy, ///< accepts an order and reports for ever that it carries it out
};

/// An engine that registers itself in the directory of the test.
class FakeEngine {
public:
    FakeEngine(const std::string& id, const std::string& service, directory::Directory& directory)
        : directory(directory)
        , target(
              "X-Unused", [this](const ScriptedRequest& request, QTcpSocket& socket) { this->answer(request, socket); })
    {
        this->registration.id = id;
        this->registration.service = service;
        this->registration.endpoint = this->target.address();
        this->registration.dataCentre = "north-a";
        this->registration.weights["m"] = 1;
        this->show();
    }

    void show()
    {
        this->directory.registerTarget(this->registration);
    }
    uint64_t version() const
    {
        return this->registration.weights.at("m");
    }

    Behaviour behaviour = Behaviour::Loads;
    std::chrono::milliseconds loadTime { 100 };
    int reports = 0; ///< queries for a report
    int orders = 0;
    bool isLoading = false;
    directory::Registration registration;

private:
    static void respond(QTcpSocket& socket, const std::string& status, const std::string& body)
    {
        ScriptedTarget::write(
            socket, "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    void answer(const ScriptedRequest& request, QTcpSocket& socket)
    {
        if (request.path == "/api/report") {
            ++this->reports;
            if (this->behaviour == Behaviour::AnswersNoReport)
                return;
            const auto busy = this->isLoading || (this->behaviour == Behaviour::StaysBusy && this->orders);
            respond(socket, "200 OK",
                "{\"seq\":" + std::to_string(this->orders) + ",\"busy\":" + (busy ? "true" : "false") + ",\"models\":["
                    + this->models() + "]}");
            return;
        }
        if (this->behaviour == Behaviour::RefusesOrders) {
            respond(socket, "400 Bad Request", "");
            return;
        }
        ++this->orders;
        if (this->behaviour == Behaviour::AnswersNoOrder)
            return;
        respond(socket, "202 Accepted", "");
        if (this->behaviour != Behaviour::Loads)
            return;
        this->isLoading = true;
        const auto order = QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
        QTimer::singleShot(this->loadTime, &this->timers,
            [this, model = order["model"].toString().toStdString(), version = order["version"].toInteger()] {
                this->isLoading = false;
                this->registration.weights[model] = static_cast<uint64_t>(version);
                this->show();
            });
    }

    std::string models() const
    {
        std::string list;
        for (const auto& [model, version] : this->registration.weights)
            list += (list.empty() ? "" : ",") + ("{\"name\":\"" + model) + "\",\"version\":" + std::to_string(version)
                + "}";
        return list;
    }

    directory::Directory& directory;
    ScriptedTarget target;
    QObject timers;
};

struct Rollout {
    Application application;
    RefusingStore store;
    platform::EngineCodec api;
    observe::Metrics metrics;
    directory::Directory directory { 3s };
    WeightsRollout rollout { { "entry-0", timings, weightsTime, 0.2 }, store, api, directory, metrics };
    std::map<std::string, std::unique_ptr<FakeEngine>> engines; ///< by id

    Rollout()
    {
        const auto schedule = [this] { this->rollout.scheduleRollout(); };
        this->directory.onWeightsChanged = schedule;
        this->directory.onRoutesChanged = schedule;
        this->configure({ "engines" });
    }
    /// Puts a configuration in force in which just @p services run models, beside a plain service "desk".
    void configure(const std::vector<std::string>& services)
    {
        directory::Deployment deployment;
        deployment.version = ++this->configVersion;
        for (const auto& service : services)
            deployment.services.push_back({ service, 100, directory::EnginePool {}, std::nullopt });
        deployment.services.push_back({ "desk", 100, std::nullopt, std::nullopt });
        this->directory.apply(std::move(deployment));
    }
    FakeEngine& add(const std::string& id, const std::string& service = "engines")
    {
        return *(this->engines[id] = std::make_unique<FakeEngine>(id, service, this->directory));
    }
    void addSound(int count)
    {
        for (int i = 0; i < count; ++i)
            this->sound.push_back(&this->add("sound-" + std::to_string(i)));
    }
    void name(uint64_t version)
    {
        this->directory.setWantedWeights({ "m", version }, BootClock::now());
        this->rollout.applyLeaderKeyState(false);
    }
    /// Whether all sound engines run @p version within @p timeout.
    bool isCompleted(uint64_t version, std::chrono::milliseconds timeout)
    {
        return waitUntil(
            [&] {
                return std::ranges::all_of(this->sound, [&](const auto* each) { return each->version() == version; });
            },
            timeout);
    }

    std::vector<FakeEngine*> sound;
    uint64_t configVersion = 0;
};

/// Until a leader may send orders, and five loads one after the other. Far below the time of replaced weights.
constexpr std::chrono::milliseconds rolloutTime { 4000 };

}

// Entries of services without engines held all places, so that no engine got an order for the next weights.
Test(rollout, entriesOfServicesWithoutEnginesTakeNoPart, .timeout = 30)
{
    Rollout site;
    site.addSound(5);
    auto& unknown = site.add("a-unknown", "not-configured");
    auto& plain = site.add("b-plain", "desk");
    for (auto* stray : { &unknown, &plain })
        stray->behaviour = Behaviour::AcceptsOnly;
    for (const uint64_t version : { 2, 3 }) {
        site.name(version);
        cr_assert(site.isCompleted(version, rolloutTime), "version %d", static_cast<int>(version));
    }
    for (const auto* stray : { &unknown, &plain }) {
        cr_expect_eq(stray->reports, 0);
        cr_expect_eq(stray->orders, 0);
    }
}

// An entry that names no engine must not become one for ever: its service may be configured later.
Test(rollout, engineWhoseServiceIsConfiguredDuringARolloutTakesPart, .timeout = 30)
{
    Rollout site;
    site.addSound(2);
    auto& later = site.add("later", "renamed");
    site.name(2);
    cr_assert(site.isCompleted(2, rolloutTime));
    cr_assert_eq(later.orders, 0);
    site.configure({ "engines", "renamed" });
    cr_assert(waitUntil([&] { return later.version() == 2; }, rolloutTime));
}

// A service that is removed with orders on their way held its places for ever.
Test(rollout, engineWhoseServiceIsRemovedDuringItsLoadHoldsNoPlace, .timeout = 30)
{
    Rollout site;
    auto& removed = site.add("a-removed", "removed");
    removed.behaviour = Behaviour::StaysBusy;
    site.configure({ "engines", "removed" });
    site.name(2);
    cr_assert(waitUntil([&] { return removed.orders == 1; }, rolloutTime));
    site.addSound(4);
    site.configure({ "engines" });
    cr_assert(site.isCompleted(2, rolloutTime));
    cr_assert_eq(removed.orders, 1);
    removed.behaviour = Behaviour::Loads;
    site.configure({ "engines", "removed" });
    cr_assert(waitUntil([&] { return removed.version() == 2; }, rolloutTime));
}

// A leader without a configuration cannot tell engines from other targets.
Test(rollout, noOrdersAreSentBeforeTheFirstConfiguration, .timeout = 30)
{
    Rollout site;
    directory::Directory unconfigured { 3s };
    FakeEngine engine("e", "engines", unconfigured);
    WeightsRollout rollout { { "entry-0", timings, weightsTime, 0.2 }, site.store, site.api, unconfigured,
        site.metrics };
    unconfigured.setWantedWeights({ "m", 2 }, BootClock::now());
    rollout.applyLeaderKeyState(false);
    runFor(1500ms);
    cr_assert_eq(engine.reports, 0);
}

namespace {

/// Two engines of seven behave like that in two roll-outs; the others must be loaded while replaced weights may answer.
void expectOthersAreLoaded(Behaviour behaviour)
{
    Rollout site;
    for (const auto* id : { "a-bad", "b-bad" })
        site.add(id).behaviour = behaviour;
    site.addSound(5);
    for (const uint64_t version : { 2, 3 }) {
        site.name(version);
        cr_expect(site.isCompleted(version, usableTime), "version %d", static_cast<int>(version));
    }
}

}

// An engine that never loads held its place for ever, so that the others got no orders for the next weights.
Test(rollout, enginesThatAnswerNoReportDoNotHoldUpTheOthers, .timeout = 40)
{
    expectOthersAreLoaded(Behaviour::AnswersNoReport);
}

Test(rollout, enginesThatAnswerNoOrderDoNotHoldUpTheOthers, .timeout = 40)
{
    expectOthersAreLoaded(Behaviour::AnswersNoOrder);
}

Test(rollout, enginesThatRefuseOrdersDoNotHoldUpTheOthers, .timeout = 40)
{
    expectOthersAreLoaded(Behaviour::RefusesOrders);
}

Test(rollout, enginesThatAcceptOrdersAndNeverLoadDoNotHoldUpTheOthers, .timeout = 40)
{
    expectOthersAreLoaded(Behaviour::AcceptsOnly);
}

Test(rollout, enginesThatStayBusyDoNotHoldUpTheOthers, .timeout = 40)
{
    expectOthersAreLoaded(Behaviour::StaysBusy);
}

// With two engines the bound of pending orders left the other one no place.
Test(rollout, pendingOrderOfOneOfTwoEnginesDoesNotHoldUpTheOther, .timeout = 40)
{
    Rollout site;
    site.add("a-bad").behaviour = Behaviour::AnswersNoOrder;
    site.addSound(1);
    site.name(2);
    cr_assert(site.isCompleted(2, usableTime));
}

// The roll-out goes on without an engine that fails, and must not forget it.
Test(rollout, engineThatFailedIsLoadedWhenItCanBeReachedAgain, .timeout = 40)
{
    for (const auto behaviour : { Behaviour::AnswersNoReport, Behaviour::AnswersNoOrder, Behaviour::RefusesOrders,
             Behaviour::AcceptsOnly, Behaviour::StaysBusy }) {
        Rollout site;
        auto& failing = site.add("a-failing");
        failing.behaviour = behaviour;
        site.addSound(1);
        site.name(2);
        cr_assert(site.isCompleted(2, usableTime));
        failing.behaviour = Behaviour::Loads;
        cr_expect(waitUntil([&] { return failing.version() == 2; }, rolloutTime), "%d", static_cast<int>(behaviour));
    }
}

// Engines that were lost together get their orders in turn when they return together: the others have to serve.
Test(rollout, enginesThatReturnTogetherDoNotAllLoadAtOnce, .timeout = 40)
{
    Rollout site;
    std::vector<FakeEngine*> lost;
    for (int i = 0; i < 15; ++i)
        lost.push_back(&site.add("lost-" + std::to_string(i)));
    for (auto* each : lost) {
        each->behaviour = Behaviour::AnswersNoReport;
        each->loadTime = 2s; // as long as it may take until all have been asked again
    }
    site.addSound(6);
    site.name(2);
    cr_assert(site.isCompleted(2, usableTime));
    for (auto* each : lost)
        each->behaviour = Behaviour::Loads;
    ptrdiff_t most = 0;
    cr_assert(waitUntil(
        [&] {
            most = std::max(most, std::ranges::count_if(lost, [](const auto* each) { return each->isLoading; }));
            return std::ranges::all_of(lost, [](const auto* each) { return each->version() == 2; });
        },
        20s));
    cr_assert_leq(most, 8, "%d of 21 loaded at once, four tenths may", static_cast<int>(most));
}

// The leader asked an engine that it cannot reach several times a second, for ever.
Test(rollout, engineThatIsNotReachedIsAskedRarely, .timeout = 40)
{
    Rollout site;
    auto& lost = site.add("a-lost");
    lost.behaviour = Behaviour::AnswersNoReport;
    site.addSound(1);
    site.name(2);
    cr_assert(site.isCompleted(2, usableTime));
    runFor(4s);
    const auto before = lost.reports;
    runFor(8s);
    cr_assert_leq(lost.reports - before, 4, "%d in 8 s", lost.reports - before);
    cr_assert_eq(site.metrics.outdatedEngines.Value(), 1);
    cr_assert_eq(site.metrics.enginesNotLoading.Value(), 1);
}

// The load of one model was taken for that of another, whose versions are other numbers.
Test(rollout, enginesOfSeveralModelsLoadEachOfThem, .timeout = 40)
{
    Rollout site;
    site.addSound(4);
    for (auto* engine : site.sound) {
        engine->registration.weights["n"] = 6;
        engine->loadTime = 300ms;
        engine->show();
    }
    site.directory.setWantedWeights({ "n", 7 }, BootClock::now());
    site.name(2);
    cr_expect(site.isCompleted(2, usableTime));
    const auto isComplete = [&] {
        return std::ranges::all_of(
            site.sound, [](const auto* each) { return each->registration.weights.at("n") == 7; });
    };
    cr_expect(waitUntil(isComplete, usableTime));
    for (const auto* each : site.sound)
        cr_expect_eq(each->orders, 2, "%s got %d orders", each->registration.id.c_str(), each->orders);
}

// Another writer's entry under an engine's key names no engine, until the engine writes the next one.
Test(rollout, engineWhoseEntryIsOverwrittenByTurnsIsLoaded, .timeout = 40)
{
    Rollout site;
    auto& engine = site.add("a-overwritten");
    engine.loadTime = 1s;
    site.addSound(4);
    auto other = engine.registration;
    other.service = "not-configured";
    QTimer writers;
    bool isOther = false;
    QObject::connect(&writers, &QTimer::timeout, [&] {
        isOther = !isOther;
        if (isOther)
            site.directory.registerTarget(other);
        else
            engine.show();
    });
    writers.start(170);
    site.name(2);
    cr_expect(site.isCompleted(2, usableTime));
    cr_expect(waitUntil([&] { return engine.version() == 2; }, usableTime));
    cr_expect_eq(engine.orders, 1);
}

Test(engineLoad, placeEndsInTimeForOthersToFollow)
{
    cr_expect_eq(maxPlaceTime(1500ms, 13s), 4500ms);
    cr_expect_eq(maxPlaceTime(2800ms, 13s), 6500ms, "half of the time to complete");
    cr_expect_eq(maxPlaceTime(2800ms, 1ms), 2800ms, "an average load has to fit");
    const auto now = Clock::now();
    cr_expect_eq(pendingPlaceEnd(now, 13s), now + 6500ms);
    EngineLoad load;
    cr_expect_eq(maxTimeToReport(load, 4500ms), 300ms);
    load.failures = 1;
    cr_expect_eq(maxTimeToReport(load, 4500ms), 4500ms);
    load.failures = 0;
    takePlace(load, "m", 2, now + 4s);
    auto last = 0ms;
    for (int i = 0; i < 5; ++i) {
        releasePlace(load, now);
        const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(load.checkAt - now);
        cr_expect(delay >= last && delay <= 2s);
        last = delay;
        cr_expect_not(load.holdsPlace);
        takePlace(load, "m", 2, now + 4s);
    }
    cr_expect_eq(load.failures, 5);
}
