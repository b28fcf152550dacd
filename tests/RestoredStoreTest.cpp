// End-to-end tests of a metadata store that returns from an older copy: its revisions go back and are given out again.

#include "tests/support/ForwardSite.h"

#include <criterion/criterion.h>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

/// Stated target: a configuration is in force this long after it was written.
constexpr std::chrono::milliseconds configApplyTime { 3000 };
/// Stated target: no request with a revoked key runs this long after the key was revoked.
constexpr std::chrono::milliseconds revocationTime { 5000 };

struct RestoredSite {
    const Application application;
    ForwardSite site;

    explicit RestoredSite(size_t instances = 1)
    {
        while (this->site.entries.size() < instances)
            this->site.startEntry();
    }

    void save()
    {
        this->site.controlStore({ { "save", true } });
    }
    /// The store is silent for a moment and returns from the copy.
    void restore(const QJsonArray& lostKeys = {}, std::chrono::milliseconds silence = 300ms)
    {
        this->site.controlStore({ { "mode", "silent" } });
        runFor(silence);
        this->site.controlStore({ { "restore", true }, { "as_if_lost", lostKeys }, { "mode", "up" } });
    }
    /// Waits until every instance has read the records of the @p returns th return.
    void waitUntilRead(int returns = 1)
    {
        const auto hasRead = [&](size_t entry) {
            const auto status = this->instanceStatus(entry);
            return status["platform_era"].toInt() == 1 + returns && status["platform_reachable"].toBool();
        };
        for (size_t entry = 0; entry < this->site.entries.size(); ++entry)
            require(waitUntil([&] { return hasRead(entry); }, 10s), "the returned store was not read");
    }
    void put(const QString& key, const QString& value)
    {
        this->site.controlStore({ { "put", QJsonObject { { "key", key }, { "value", value } } } });
    }
    void remove(const QString& key)
    {
        this->site.controlStore({ { "remove", key } });
    }
    /// Writes records that mean nothing to instances; each takes a revision.
    void takeRevisions(int count)
    {
        for (int i = 0; i < count; ++i)
            this->put("servers/none", QString::number(i));
    }

    int statusOf(const ForwardRequestSpec& spec, size_t entry = 0)
    {
        return this->site.sendAndWait(spec, entry)->status;
    }
    QJsonObject instanceStatus(size_t entry)
    {
        const auto status = get(this->site.entries[entry]->address("admin"), "/status");
        require(waitFor(status), "no status");
        return status->json();
    }
    bool isInForce(int version, size_t entry = 0)
    {
        return this->instanceStatus(entry)["config_version"].toInt() == version;
    }
    int versionInForce()
    {
        return this->instanceStatus(0)["config_version"].toInt();
    }
    int runsOf(Process& target)
    {
        return control(target.address())["runs"].toInt();
    }
};

std::string requestId(int number)
{
    return "r" + std::to_string(number);
}

}

Test(restoredStore, configurationUnderALowerRevisionComesIntoForce, .timeout = 60)
{
    RestoredSite restored(2);
    restored.save();
    restored.takeRevisions(5);
    restored.site.publish({ forwardKey });
    require(waitUntil([&] { return restored.isInForce(7) && restored.isInForce(7, 1); }, 5s), "7 is not in force");
    restored.restore();
    restored.site.publish({ forwardKey });
    for (const size_t entry : { 0, 1 })
        cr_assert(waitUntil([&] { return restored.isInForce(10, entry); }, configApplyTime), "instance %zu", entry);
}

Test(restoredStore, keyRevokedUnderAReusedRevisionIsRefused, .timeout = 60)
{
    RestoredSite restored;
    restored.save();
    restored.site.publish({ forwardKey });
    require(waitUntil([&] { return restored.isInForce(7); }, 5s), "7 is not in force");
    restored.restore();
    restored.site.publish({ "another-key" });
    runFor(revocationTime);
    cr_assert_neq(restored.statusOf({ "r1", "/read/x" }), 200);
    cr_assert_eq(restored.statusOf({ .id = "r2", .path = "/read/x", .key = "another-key" }), 200);
}

Test(restoredStore, changesUnderReusedRevisionsAreNotMissed, .timeout = 60)
{
    RestoredSite restored;
    restored.save();
    restored.takeRevisions(1);
    runFor(1s);
    // The store answers again only once its revisions have passed those that the instance knows.
    restored.site.controlStore({ { "mode", "silent" } });
    runFor(200ms);
    restored.site.controlStore({ { "restore", true } });
    restored.site.addEngine();
    restored.takeRevisions(3);
    restored.site.controlStore({ { "mode", "up" } });
    const auto knows = [&] { return restored.instanceStatus(0)["targets"].toArray().size() == 5; };
    cr_assert(waitUntil(knows, configApplyTime));
}

Test(restoredStore, newerConfigurationStaysInForceWhileTheStoreLacksIt, .timeout = 60)
{
    RestoredSite restored;
    restored.save();
    restored.site.publish({ "another-key" });
    require(waitUntil([&] { return restored.isInForce(7); }, 5s), "7 is not in force");
    restored.restore();
    for (int i = 0; i < 20; ++i, runFor(100ms)) {
        cr_assert(restored.isInForce(7));
        cr_assert_neq(restored.statusOf({ requestId(i), "/read/x" }), 200, "the key was revoked");
    }
}

Test(restoredStore, drainingTargetStaysUnusedWhenItsOlderRecordReturns, .timeout = 60)
{
    RestoredSite restored;
    auto& draining = *restored.site.services[0];
    restored.save();
    control(draining.address(), { { "draining", true } });
    runFor(1s);
    restored.restore();
    restored.waitUntilRead();
    const auto before = restored.runsOf(draining);
    for (int i = 0; i < 20; ++i)
        cr_assert_eq(restored.statusOf({ requestId(i), "/read/x" }), 200);
    cr_assert_eq(restored.runsOf(draining), before);
}

Test(restoredStore, removedTargetStaysUnusedWhenItsRecordReturns, .timeout = 60)
{
    RestoredSite restored;
    auto& gone = *restored.site.services[0];
    restored.save();
    restored.remove("servers/service-0");
    runFor(1s);
    restored.restore();
    restored.waitUntilRead();
    const auto before = restored.runsOf(gone);
    for (int i = 0; i < 20; ++i)
        cr_assert_eq(restored.statusOf({ requestId(i), "/read/x" }), 200);
    cr_assert_eq(restored.runsOf(gone), before);
    // It is in use again once it writes its record again.
    control(gone.address(), { { "draining", false } });
    const auto isUsed = [&, number = 100]() mutable {
        restored.statusOf({ requestId(++number), "/read/x" });
        return restored.runsOf(gone) > before;
    };
    cr_assert(waitUntil(isUsed, 5s));
}

Test(restoredStore, weightsAreRolledOutByALeaderWithALowerRevision, .timeout = 120)
{
    RestoredSite restored(2);
    const auto haveVersion = [&](int version) {
        return std::ranges::all_of(restored.site.engines,
            [&](const auto& engine) { return control(engine->address())["version"].toInt() == version; });
    };
    restored.save();
    restored.takeRevisions(200);
    // The first leader's lease is not in the copy; its token is far above the copy's revisions.
    restored.site.entries[0]->kill();
    restored.site.restartEntry(0);
    runFor(8s);
    restored.site.setWantedWeights(2);
    require(waitUntil([&] { return haveVersion(2); }, 20s), "version 2 was not rolled out");
    restored.restore({ "dragonfly/order-holder" });
    restored.site.setWantedWeights(3);
    cr_assert(waitUntil([&] { return haveVersion(3); }, 20s));
    for (const auto& engine : restored.site.engines) {
        int64_t highest = 0;
        for (const auto& order : control(engine->address())["orders"].toArray()) {
            const auto token = order.toObject()["fencing_token"].toInteger();
            cr_assert_geq(token, highest);
            highest = token;
        }
    }
}

Test(restoredStore, instancesRegisterAgain, .timeout = 60)
{
    RestoredSite restored;
    restored.save();
    restored.site.startEntry();
    const auto knowEachOther = [&] {
        return restored.instanceStatus(0)["known_instances"].toInt() == 1
            && restored.instanceStatus(1)["known_instances"].toInt() == 1;
    };
    require(waitUntil(knowEachOther, 10s), "the instances do not know each other");
    restored.restore();
    restored.waitUntilRead();
    cr_assert(waitUntil(knowEachOther, 5s));
}
