// Non-idempotent calls run at most once, and answers and refusals state correctly whether the call ran. The checks
// compare them with the executions that the services counted by key.

#include "tests/support/Checks.h"
#include "tests/support/Site.h"

#include <criterion/criterion.h>

using namespace testing;
using namespace std::chrono_literals;

namespace {

AnswerPointer book(Caller& caller, const dragonfly::Endpoint& entry, const std::string& key,
    const std::string& body = "{\"visit\":1}", const std::string& deadlineMs = "3000")
{
    return caller.post(
        entry, "/book/visit", body, { { "Idempotency-Key", key }, { "Dragonfly-Deadline-Ms", deadlineMs } });
}

void checkExecutions(const Site& site, const AnswersByKey& answers)
{
    const auto fault = bookingFault(answers, executions(site));
    cr_assert(fault.empty(), "%s", fault.c_str());
}

}

Test(atMostOnce, connectionClosedByTargetRunsOnceWithUnknownOutcome, .timeout = 60)
{
    const Application application;
    Site site;
    site.startEntry();
    control(site.services[0]->direct(), { { "mode", "close" } });
    Caller caller(apiKey);
    const auto answer = book(caller, site.entry(0), "closed");
    cr_assert(waitFor(answer));
    cr_assert_eq(answer->status, 504);
    cr_assert(answer->execution() == "unknown");
    cr_assert_eq(executions(site)["closed"], 1);
    control(site.services[0]->direct(), { { "mode", "normal" } });
    const auto repeat = book(caller, site.entry(0), "closed");
    cr_assert(waitFor(repeat));
    cr_assert(repeat->execution() == "unknown");
    cr_assert_eq(executions(site)["closed"], 1);
}

Test(atMostOnce, repeatsGetTheSameAnswerFromAnyInstance, .timeout = 60)
{
    const Application application;
    SiteOptions options;
    options.dataCentres = 2;
    Site site(options);
    site.startEntry(0);
    site.startEntry(1);
    Caller caller(apiKey);
    const auto first = book(caller, site.entry(0), "visit-1");
    cr_assert(waitFor(first));
    cr_assert_eq(first->status, 200);
    for (size_t entry = 0; entry < 2; ++entry) {
        const auto repeat = book(caller, site.entry(entry), "visit-1");
        cr_assert(waitFor(repeat));
        cr_assert_eq(repeat->status, 200);
        cr_assert(repeat->body == first->body);
    }
    const auto other = book(caller, site.entry(1), "visit-1", "{\"visit\":2}");
    cr_assert(waitFor(other));
    cr_assert_eq(other->status, 422);
    cr_assert_eq(executions(site)["visit-1"], 1);
}

Test(atMostOnce, concurrentRepeatsOnAllInstancesRunOnce, .timeout = 90)
{
    const Application application;
    SiteOptions options;
    options.dataCentres = 3;
    Site site(options);
    for (int centre = 0; centre < 3; ++centre)
        site.startEntry(centre);
    for (const auto& service : site.services)
        control(service->direct(), { { "delay_ms", 50 } });
    Caller caller(apiKey);
    AnswersByKey byKey;
    std::vector<AnswerPointer> all;
    for (int key = 0; key < 30; ++key) {
        for (size_t entry = 0; entry < 3; ++entry) {
            const auto name = "race-" + std::to_string(key);
            byKey[name].push_back(book(caller, site.entry(entry), name));
            all.push_back(byKey[name].back());
        }
    }
    cr_assert(waitForAll(all, 30s));
    checkExecutions(site, byKey);
    for (const auto& [key, answers] : byKey) {
        for (const auto& answer : answers)
            cr_assert_eq(answer->status, 200, "%s: status %d %s", key.c_str(), answer->status, answer->body.c_str());
    }
}

Test(atMostOnce, lostPlatformAnswersCauseNoSecondRun, .timeout = 90)
{
    const Application application;
    SiteOptions options;
    options.dataCentres = 2;
    Site site(options);
    site.startEntry(0);
    site.startEntry(1);
    Caller caller(apiKey);
    AnswersByKey byKey;
    std::vector<AnswerPointer> all;
    control(site.platform->direct(), { { "mode", "lose-answers" } });
    for (int key = 0; key < 10; ++key) {
        const auto name = "lost-" + std::to_string(key);
        byKey[name].push_back(book(caller, site.entry(0), name));
        all.push_back(byKey[name].back());
    }
    runFor(1500ms);
    control(site.platform->direct(), { { "mode", "up" } });
    cr_assert(waitForAll(all, 20s));
    for (int key = 0; key < 10; ++key) {
        const auto name = "lost-" + std::to_string(key);
        byKey[name].push_back(book(caller, site.entry(1), name));
        all.push_back(byKey[name].back());
    }
    cr_assert(waitForAll(all, 20s));
    checkExecutions(site, byKey);
    int answered = 0;
    for (const auto& answer : all)
        answered += answer->status == 200;
    cr_assert_geq(answered, 10, "only %d of 20 calls were answered", answered);
}

Test(atMostOnce, platformDownIsRefusedAsNotRun, .timeout = 60)
{
    const Application application;
    Site site;
    site.startEntry();
    control(site.platform->direct(), { { "mode", "down" } });
    Caller caller(apiKey);
    const auto refused = book(caller, site.entry(0), "down", "{}", "1000");
    cr_assert(waitFor(refused));
    cr_assert_eq(refused->status, 503);
    cr_assert(refused->execution() == "not-run");
    cr_assert_leq(refused->took().count(), 2000);
    cr_assert_eq(executions(site).count("down"), 0);
    const auto lookup = caller.send(site.entry(0), { "GET", "/history/1", {}, {} });
    cr_assert(waitFor(lookup));
    cr_assert_eq(lookup->status, 200, "idempotent calls need no claim");
    control(site.platform->direct(), { { "mode", "up" } });
    const auto again = waitUntil(
        [&] {
            const auto answer = book(caller, site.entry(0), "down", "{}", "2000");
            waitFor(answer);
            return answer->status == 200;
        },
        15s);
    cr_assert(again, "the call was still refused after the platform came back");
    cr_assert_eq(executions(site)["down"], 1);
    const auto counted = [&] { return site.metric(0, "dragonfly_claims_unreachable") >= 1; };
    cr_assert(waitUntil(counted, 2s), "the refusal was not counted"); // the gauge is updated twice a second
}

Test(atMostOnce, holderResumedAfterRepeatElsewhereCausesNoSecondRun, .timeout = 90)
{
    const Application application;
    SiteOptions options;
    options.dataCentres = 2;
    Site site(options);
    auto& holder = site.startEntry(0);
    site.startEntry(1);
    Caller caller(apiKey);
    AnswersByKey byKey;
    std::vector<AnswerPointer> all;
    for (int round = 0; round < 8; ++round) {
        const auto name = "frozen-" + std::to_string(round);
        byKey[name].push_back(book(caller, site.entry(0), name, "{}", "2000"));
        all.push_back(byKey[name].back());
        runFor(std::chrono::milliseconds(round)); // each round freezes the holder at a later moment of the call
        holder.freeze();
        byKey[name].push_back(book(caller, site.entry(1), name, "{}", "1000"));
        all.push_back(byKey[name].back());
        cr_assert(waitFor(byKey[name].back()));
        if (round % 2)
            runFor(2500ms); // past the deadline of the frozen call
        holder.thaw();
    }
    cr_assert(waitForAll(all, 60s));
    checkExecutions(site, byKey);
}

Test(atMostOnce, claimOfKilledHolderIsNotGrantedAgain, .timeout = 90)
{
    const Application application;
    SiteOptions options;
    options.dataCentres = 2;
    Site site(options);
    auto& holder = site.startEntry(0);
    site.startEntry(1);
    for (const auto& service : site.services)
        control(service->direct(), { { "delay_ms", 500 } });
    Caller caller(apiKey);
    const auto first = book(caller, site.entry(0), "killed");
    cr_assert(waitUntil([&] { return executions(site)["killed"] == 1; }, 5s));
    holder.kill();
    cr_assert(waitFor(first));
    const auto repeat = book(caller, site.entry(1), "killed", "{\"visit\":1}", "1500");
    cr_assert(waitFor(repeat));
    cr_assert_neq(repeat->status, 200);
    cr_assert(repeat->execution() == "unknown");
    cr_assert_eq(executions(site)["killed"], 1);
}

Test(atMostOnce, refusalByTargetReleasesTheClaim, .timeout = 60)
{
    const Application application;
    Site site;
    site.startEntry();
    control(site.services[0]->direct(), { { "mode", "refuse" } });
    Caller caller(apiKey);
    const auto refused = book(caller, site.entry(0), "refused");
    cr_assert(waitFor(refused));
    cr_assert(refused->execution() == "not-run");
    control(site.services[0]->direct(), { { "mode", "normal" } });
    const auto again = book(caller, site.entry(0), "refused");
    cr_assert(waitFor(again));
    cr_assert_eq(again->status, 200);
    cr_assert_eq(executions(site)["refused"], 1);
}

Test(atMostOnce, swappedAndMissingAnswersCauseNoFalseOutcome, .timeout = 90)
{
    const Application application;
    Site site;
    site.startEntry();
    control(site.services[0]->direct(), { { "delay_ms", 100 } });
    Caller caller(apiKey);
    AnswersByKey byKey;
    std::vector<AnswerPointer> all;
    site.services[0]->fault("cross");
    for (int key = 0; key < 2; ++key) {
        const auto name = "crossed-" + std::to_string(key);
        byKey[name].push_back(book(caller, site.entry(0), name, "{\"visit\":" + std::to_string(key) + "}"));
        all.push_back(byKey[name].back());
    }
    cr_assert(waitForAll(all, 10s));
    for (const auto& [key, answers] : byKey) {
        if (answers[0]->status == 200)
            cr_assert(answers[0]->json()["key"].toString().toStdString() == key,
                "the answer to another request was passed on");
    }
    site.services[0]->fault("pass");
    const auto silent = book(caller, site.entry(0), "silent", "{}", "1500");
    byKey["silent"].push_back(silent);
    runFor(30ms);
    site.services[0]->fault("silence");
    cr_assert(waitFor(silent, 3s), "no answer by the end of the deadline");
    site.services[0]->fault("pass");
    checkExecutions(site, byKey);
}

Test(atMostOnce, missingIdempotencyKeyIsRejected, .timeout = 60)
{
    const Application application;
    Site site;
    site.startEntry();
    Caller caller(apiKey);
    const auto answer = caller.post(site.entry(0), "/book/visit", "{}");
    cr_assert(waitFor(answer));
    cr_assert_eq(answer->status, 400);
    cr_assert(answer->execution() == "not-run");
    cr_assert(executions(site).empty());
}

Test(atMostOnce, swappedPlatformAnswersCauseNoSecondRun, .timeout = 90)
{
    const Application application;
    SiteOptions options;
    options.dataCentres = 2;
    Site site(options);
    site.startEntry(0);
    site.startEntry(1);
    Caller caller(apiKey);
    AnswersByKey byKey;
    std::vector<AnswerPointer> all;
    for (int round = 0; round < 6; ++round) {
        site.platform->fault("cross");
        for (int key = 0; key < 12; ++key) {
            const auto name = "crossed-" + std::to_string(round) + "-" + std::to_string(key);
            for (size_t entry = 0; entry < 2; ++entry) {
                byKey[name].push_back(book(caller, site.entry(entry), name));
                all.push_back(byKey[name].back());
            }
        }
        runFor(700ms);
        site.platform->fault("pass");
        cr_assert(waitForAll(all, 20s));
    }
    checkExecutions(site, byKey);
}
