// Entries of the list of engines that name a service which the configuration doesn't have, while new weights are named
// twice.
//
// case-6 PROGRAM FOLDER RECORD: exits with 1 if the rule VERSION was broken, 0 if it held, 2 if the case couldn't run.

#include "../stand-ins-2/site.h"

using namespace review;

namespace {

constexpr int64_t versionMs = 15000; ///< of the sheet
constexpr int64_t firstNamedMs = 3000; ///< from the start of traffic
constexpr int64_t secondNamedMs = 18000;
constexpr int64_t trafficAfterMs = 30000; ///< from the second version on; more than 1.5 x version_ms
constexpr int engineCount = 9;
constexpr int strayCount = 2;

struct Counts {
    int served = 0;
    int refused = 0;
    int other = 0;
};

}

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    const std::string program = argv[1];
    const std::string folder = argv[2];
    Record record(argv[3]);
    const bool isTroubled = review::isTroubled();
    record.line(isTroubled ? "with the disruption" : "without the disruption");

    const std::vector<std::string> zones { "marmara-a", "ege-a", "ic-anadolu-a" };
    const std::string regions = "marmara-a: marmara,ege-a: ege,ic-anadolu-a: ic-anadolu";
    Store store;
    Runs runs;
    store.put("op/config", configText(7));
    std::vector<std::unique_ptr<Engine>> engines;
    std::vector<std::unique_ptr<Engine>> desks;
    for (int i = 0; i < engineCount; ++i) {
        EngineSettings settings;
        settings.id = "i-engine" + std::to_string(i);
        settings.service = "engines";
        settings.zone = zones[static_cast<size_t>(i) % zones.size()];
        settings.model = "m0";
        engines.push_back(std::make_unique<Engine>(settings, store, runs, record));
    }
    for (const auto& zone : zones) {
        EngineSettings settings;
        settings.id = "i-desk-" + zone;
        settings.service = "desk";
        settings.zone = zone;
        settings.slots = 6;
        desks.push_back(std::make_unique<Engine>(settings, store, runs, record));
    }
    // Another writer's entries: all fields are as they should be, but the service is not one of the configuration, and
    // nobody listens at the address. They are written again each heartbeat, as engines do, so that they stay.
    for (int i = 0; isTroubled && i < strayCount; ++i) {
        const auto key = "servers/i-stray" + std::to_string(i);
        const auto content = "{\"service\":\"not-in-the-configuration\",\"address\":\"" + refusingEndpoint()
            + "\",\"zone\":\"" + zones[static_cast<size_t>(i)]
            + "\",\"version\":\"v1\",\"slots\":128,\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"unified\","
              "\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],\"born\":1700000000000";
        record.line("another writer writes " + key + " each 1,200 ms with the service not-in-the-configuration");
        std::thread([&store, key, content] {
            for (int64_t sequence = 1; true; ++sequence) {
                store.beat(key, content, sequence, Ms(1200));
                sleepMs(1200);
            }
        }).detach();
    }
    std::vector<std::unique_ptr<Instance>> instances;
    for (size_t i = 0; i < zones.size(); ++i) {
        const auto region = zones[i].substr(0, zones[i].size() - 2);
        instances.push_back(std::make_unique<Instance>(
            InstanceSettings { "edge-" + zones[i] + "-1", zones[i], region, regions, 260 }, program, folder,
            store.address()));
    }
    for (const auto& instance : instances) {
        if (!instance->waitUntilReady(10000)) {
            record.line("an instance did not become ready");
            return 2;
        }
    }
    record.line("the instances are ready");
    sleepMs(6000); // as on a day, traffic and changes begin some seconds after the start

    std::mutex mutex;
    std::map<int64_t, Counts> bySecond; ///< by seconds since version 3 was named; -1: before
    std::atomic<int64_t> namedAt { -1 };
    std::atomic<int> number { 0 };
    const auto trafficFrom = nowMs();
    const auto trafficEnd = trafficFrom + secondNamedMs + trafficAfterMs;
    std::vector<std::thread> clients;
    for (size_t c = 0; c < 6; ++c) {
        clients.emplace_back([&, c] {
            while (nowMs() < trafficEnd) {
                const auto from = nowMs();
                Ask spec;
                spec.attempt = "a" + std::to_string(++number);
                spec.path = "/reply/x";
                spec.model = "m0";
                spec.body = "a question";
                spec.deadlineMs = 4000;
                const auto answer = ask(instances[c % instances.size()]->front, spec);
                const auto named = namedAt.load();
                {
                    const std::lock_guard lock(mutex);
                    auto& counts = bySecond[named < 0 || from < named ? -1 : (from - named) / 1000];
                    if (answer.status == 200 && answer.isComplete && answer.isStamped)
                        ++counts.served;
                    else if (answer.status == 503)
                        ++counts.refused;
                    else
                        ++counts.other;
                }
                record.line("request " + spec.attempt + " sent at " + std::to_string(from) + " ms: " + textOf(answer));
                sleepMs(std::max<int64_t>(0, from + 250 - nowMs()));
            }
        });
    }
    sleepMs(firstNamedMs);
    store.put("op/version/m0", "{\"model\":\"m0\",\"version\":2}");
    record.line("the operator names version 2 of m0; the store acknowledges");
    sleepMs(trafficFrom + secondNamedMs - nowMs());
    namedAt = store.put("op/version/m0", "{\"model\":\"m0\",\"version\":3}");
    record.line("the operator names version 3 of m0; the store acknowledges");
    for (auto& client : clients)
        client.join();

    for (const auto& run : runs.all())
        record.line("run of " + run.attempt + " at " + std::to_string(run.at) + " ms by " + run.engine + " in version "
            + std::to_string(run.version));
    const auto since = nowMs() - namedAt;
    int old = 0;
    for (const auto& engine : engines) {
        old += engine->version() < 3;
        record.line(engine->id() + ": version " + std::to_string(engine->version()) + ", "
            + std::to_string(engine->orders()) + " orders");
    }
    Counts before;
    Counts late; // later than version_ms after the acknowledgement
    for (const auto& [second, counts] : bySecond) {
        auto& sum = second * 1000 >= versionMs ? late : before;
        sum.served += counts.served;
        sum.refused += counts.refused;
        sum.other += counts.other;
    }
    const auto text = [](const Counts& counts) {
        return std::to_string(counts.served) + " served, " + std::to_string(counts.refused) + " refused with 503, "
            + std::to_string(counts.other) + " ended otherwise";
    };
    record.line("requests up to version_ms after the acknowledgement: " + text(before));
    record.line("requests after that: " + text(late));
    const bool isBroken = since >= versionMs * 3 / 2 && old > 1 && old * 10 > engineCount;
    record.line("when the traffic ends, " + std::to_string(since) + " ms after the acknowledgement, "
        + std::to_string(old) + " of " + std::to_string(engineCount) + " engines have the older version: VERSION "
        + (isBroken ? "broken" : "held"));
    instances.clear();
    std::fflush(nullptr);
    std::_Exit(isBroken ? 1 : 0);
}
