// Points 1 and 7 of docs/PROOF.md: KV caches of restarted engines, other organisations and older weights are not used,
// leaving targets get no new requests, and retries do not multiply the load.

#include "standins/Tokens.h"
#include "tests/support/Site.h"

#include <QJsonArray>
#include <criterion/criterion.h>

using namespace testing;
using namespace std::chrono_literals;

namespace {

const std::string longPrompt(16000, 'x');

int cachedTokensOf(const AnswerPointer& answer)
{
    return answer->json()["usage"].toObject()["prompt_tokens_details"].toObject()["cached_tokens"].toInt();
}

std::string textOf(const AnswerPointer& answer)
{
    return answer->json()["choices"].toArray().first().toObject()["text"].toString().toStdString();
}

AnswerPointer completeOnce(const dragonfly::Endpoint& entry, const char* key, const std::string& prompt)
{
    Caller caller(key);
    const auto answer = caller.complete(entry, "assistant", prompt, 4, "ask", false);
    cr_assert(waitFor(answer));
    return answer;
}

int requestsWhileLeaving(const Backend& engine)
{
    return control(engine.direct())["requests_while_leaving"].toInt();
}

/// Sends a request every 10 ms for @p duration, to the entry instances in turn.
std::vector<AnswerPointer> loadFor(Caller& caller, Site& site, std::chrono::milliseconds duration)
{
    std::vector<AnswerPointer> answers;
    const auto end = dragonfly::Clock::now() + duration;
    while (dragonfly::Clock::now() < end) {
        const auto number = answers.size();
        const auto entry = number % site.entries.size();
        answers.push_back(caller.complete(
            site.entry(entry), "assistant", "Question " + std::to_string(number), 3, "load-" + std::to_string(number)));
        runFor(10ms);
    }
    return answers;
}

}

Test(caches, areNotSharedAcrossOrganisations, .timeout = 60)
{
    const Application application;
    SiteOptions options;
    options.enginesPerCentre = 1;
    Site site(options);
    site.startEntry();
    completeOnce(site.entry(0), apiKey, longPrompt);
    const auto again = completeOnce(site.entry(0), apiKey, longPrompt);
    cr_assert_geq(cachedTokensOf(again), 3900, "the engine's cache was not used at all");
    const auto other = completeOnce(site.entry(0), otherApiKey, longPrompt);
    cr_assert_eq(cachedTokensOf(other), 0, "another organisation's prefix was used");
}

Test(caches, restartedEngineHasNoCachedTokens, .timeout = 60)
{
    const Application application;
    SiteOptions options;
    options.enginesPerCentre = 1;
    Site site(options);
    site.startEntry();
    completeOnce(site.entry(0), apiKey, longPrompt);
    site.engines[0]->restart(); // at the same address, between two probes
    const auto after = completeOnce(site.entry(0), apiKey, longPrompt);
    cr_assert_eq(after->status, 200);
    cr_assert_eq(cachedTokensOf(after), 0);
    cr_assert(textOf(after) == standins::answerText(longPrompt, weights, 4));
}

Test(caches, enginesWithOlderWeightsDoNotAnswer, .timeout = 90)
{
    const Application application;
    Site site;
    site.startEntry();
    completeOnce(site.entry(0), apiKey, longPrompt);
    // One engine already runs the new weights and the other the old ones when v2 is published.
    control(site.engines[0]->direct(), { { "weights", "v2" } });
    std::string file = site.objectsFolder() + "/all.yaml";
    cr_assert_eq(system(("sed -i 's/weights: v1/weights: v2/' " + file).c_str()), 0);
    const auto published = site.publish({ "--json" });
    cr_assert_eq(published.exitStatus, 0, "%s", published.errors.c_str());
    const auto revision = std::stoull(published.output.substr(published.output.find(':') + 1));
    cr_assert(site.waitForRevision(0, revision, 10s));
    for (int i = 0; i < 6; ++i) {
        const auto prompt = longPrompt + std::to_string(i);
        const auto answer = completeOnce(site.entry(0), apiKey, prompt);
        cr_assert_eq(answer->status, 200, "%s", answer->body.c_str());
        cr_assert(textOf(answer) == standins::answerText(prompt, "v2", 4), "an engine with older weights answered");
    }
}

Test(leaving, targetThatReportsLeavingGetsNoNewRequests, .timeout = 60)
{
    const Application application;
    SiteOptions options;
    options.dataCentres = 2;
    options.enginesPerCentre = 2;
    Site site(options);
    site.startEntry(0);
    site.startEntry(1);
    Caller caller(apiKey);
    const auto streamInProgress = caller.complete(site.entry(0), "assistant", "long one", 1500, "under-way");
    cr_assert(waitUntil([&] { return !streamInProgress->body.empty(); }, 10s));
    // The platform's service is down, so that the leaving state is only in the targets' own answers.
    control(site.platform->direct(), { { "mode", "down" } });
    for (size_t i = 0; i < 4; i += 2)
        control(site.engines[i]->direct(), { { "leaving", true } });
    loadFor(caller, site, 3000ms);
    const int settled = requestsWhileLeaving(*site.engines[0]) + requestsWhileLeaving(*site.engines[2]);
    const auto answers = loadFor(caller, site, 2000ms);
    const int after = requestsWhileLeaving(*site.engines[0]) + requestsWhileLeaving(*site.engines[2]);
    cr_assert_eq(after, settled, "a leaving target got %d new requests after three seconds", after - settled);
    cr_assert(waitForAll(answers, 10s));
    cr_assert(waitFor(streamInProgress));
    cr_assert(readStream(*streamInProgress, "under-way").done, "a stream in progress was interrupted");
}

Test(leaving, leavingStateReachesInstancesWithoutThePlatformsService, .timeout = 60)
{
    const Application application;
    Site site;
    site.startEntry(0, false);
    site.startEntry(0, true);
    site.platform->fault("cut");
    const auto setListedState = [&](const char* state) {
        const QJsonObject entry { { "key", "platform/targets/engine-0" },
            { "value", QString("{\"state\":\"%1\"}").arg(state) } };
        control(site.platform->direct(), { { "put", entry } });
    };
    const auto isLeaving = [&](size_t entry) {
        for (const auto& item : site.statusOf(entry)["targets"].toArray()) {
            const auto target = item.toObject();
            if (target["name"].toString() == "engine-0")
                return target["leaving"].toBool();
        }
        return false;
    };
    setListedState("leaving");
    cr_assert(waitUntil([&] { return isLeaving(0) && isLeaving(1); }, 5s));
    setListedState("live"); // the target no longer leaves
    cr_assert(waitUntil([&] { return !isLeaving(0) && !isLeaving(1); }, 5s));
    setListedState("leaving");
    cr_assert(waitUntil([&] { return isLeaving(0) && isLeaving(1); }, 5s));
    site.engines[0]->restart(); // a new process, while the list still has the old state
    cr_assert(waitUntil([&] { return !isLeaving(0) && !isLeaving(1); }, 5s));
}

Test(retries, halfTheTargetsRefusingDoesNotMultiplyTheLoad, .timeout = 90)
{
    const Application application;
    SiteOptions options;
    options.enginesPerCentre = 4;
    Site site(options);
    site.startEntry();
    for (size_t i = 0; i < 2; ++i)
        control(site.engines[i]->direct(), { { "refuse", true } });
    Caller caller(apiKey);
    const auto answers = loadFor(caller, site, 10000ms);
    cr_assert(waitForAll(answers, 20s));
    int attempts = 0;
    for (const auto& engine : site.engines)
        attempts += control(engine->direct())["requests"].toInt();
    int answered = 0;
    for (const auto& answer : answers)
        answered += answer->status == 200;
    cr_assert_leq(
        attempts, 1.2 * static_cast<double>(answers.size()), "%d attempts for %zu requests", attempts, answers.size());
    cr_assert_geq(answered, 0.95 * static_cast<double>(answers.size()), "%d of %zu answered", answered, answers.size());
}

Test(retries, allTargetsRefusingDoesNotMultiplyTheLoad, .timeout = 90)
{
    const Application application;
    Site site;
    site.startEntry();
    for (const auto& engine : site.engines)
        control(engine->direct(), { { "refuse", true } });
    Caller caller(apiKey);
    const auto answers = loadFor(caller, site, 5000ms);
    cr_assert(waitForAll(answers, 20s));
    int attempts = 0;
    for (const auto& engine : site.engines)
        attempts += control(engine->direct())["requests"].toInt();
    cr_assert_leq(
        attempts, 1.2 * static_cast<double>(answers.size()), "%d attempts for %zu requests", attempts, answers.size());
    for (const auto& answer : answers)
        cr_assert(answer->execution() == "not-run");
}
