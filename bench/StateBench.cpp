// Benchmarks of state that grows with the fleet: building and applying a configuration, by its number of objects, and
// writing a claim, by the number of claims in its document, and deciding on prompt parts, by the number of ended
// targets.

#include "claims/Claims.h"
#include "config/Publication.h"
#include "quarantine/Quarantine.h"
#include "quarantine/TargetEndRecord.h"
#include "routing/View.h"

#include <benchmark/benchmark.h>

using namespace dragonfly;

namespace {

pb::ConfigPart makeObjects(int organisations, int engines)
{
    pb::ConfigPart objects;
    auto* priority = objects.add_priorities();
    priority->set_name("normal");
    auto* centre = objects.add_data_centres();
    centre->set_name("centre");
    centre->set_region("region");
    for (int i = 0; i < 5; ++i) {
        auto* model = objects.add_models();
        model->set_name("model-" + std::to_string(i));
        model->set_weights("v1");
        auto* route = objects.add_routes();
        route->set_name("route-" + std::to_string(i));
        route->set_model(model->name());
    }
    for (int i = 0; i < organisations; ++i) {
        auto* organisation = objects.add_organisations();
        organisation->set_name("organisation-" + std::to_string(i));
        organisation->add_key_hashes(toHex(sha256(organisation->name())));
        organisation->set_priority("normal");
        organisation->set_cache_scope("organisation:" + organisation->name());
    }
    for (int i = 0; i < engines; ++i) {
        auto* target = objects.add_targets();
        target->set_name("engine-" + std::to_string(i));
        target->set_address("10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":8000");
        target->set_data_centre("centre");
        target->add_serves("model-" + std::to_string(i % 5));
    }
    return objects;
}

void buildPublication(benchmark::State& state)
{
    const auto objects = makeObjects(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
    size_t bytes = 0;
    size_t largest = 0;
    size_t manifest = 0;
    for (auto _ : state) {
        const auto publication = config::buildPublication(objects, 1, "operator");
        bytes = 0;
        largest = 0;
        manifest = publication.manifestBytes.size();
        for (const auto& [digest, part] : publication.parts) {
            bytes += part.size();
            largest = std::max(largest, part.size());
        }
    }
    state.counters["parts_bytes"] = static_cast<double>(bytes);
    state.counters["largest_part_bytes"] = static_cast<double>(largest);
    state.counters["manifest_bytes"] = static_cast<double>(manifest);
}

void applyPublication(benchmark::State& state)
{
    const auto publication = config::buildPublication(
        makeObjects(static_cast<int>(state.range(0)), static_cast<int>(state.range(1))), 1, "operator");
    routing::StateRegistry registry;
    for (auto _ : state) {
        const auto objects = config::joinParts(publication);
        benchmark::DoNotOptimize(routing::buildView(*objects, 1, "digest", { "region", "centre" }, registry));
    }
}

claims::ClaimRequest makeClaimRequest(int64_t number)
{
    return { claims::claimKey("organisation", "route", std::to_string(number)), claims::requestDigest("POST /", "body"),
        sha256(std::to_string(number)).substr(0, 16) };
}

/// Adds a claim to a document that holds @p state.range(0) finished claims: copies, adds and serializes.
void writeClaim(benchmark::State& state)
{
    pb::ClaimDocument document;
    const claims::LedgerLimits limits { std::chrono::hours(24), 64 << 20, 4096 };
    pb::StoredAnswer answer;
    answer.set_status(200);
    answer.set_content_type("application/json");
    answer.set_body(std::string(120, 'x'));
    for (int64_t i = 0; i < state.range(0); ++i) {
        const auto request = makeClaimRequest(i);
        claims::addClaim(document, request, limits);
        claims::recordClaimAnswer(document, request.key, request.attempt, answer, WallClock::now());
    }
    const auto next = makeClaimRequest(-1);
    size_t bytes = 0;
    for (auto _ : state) {
        auto copy = document;
        claims::addClaim(copy, next, limits);
        bytes = copy.SerializeAsString().size();
    }
    state.counters["document_bytes"] = static_cast<double>(bytes);
}

/// Decides on prompt parts after @p state.range(0) ends with 16 beginning requests each, in reports of 4 instances.
void decideOnPrompts(benchmark::State& state)
{
    quarantine::PromptEvidence evidence;
    uint64_t request = 0;
    size_t bytes = 0;
    for (int64_t end = 0; end < state.range(0); ++end) {
        for (int instance = 0; instance < 4; ++instance) {
            quarantine::TargetEndReport report { { "engine-" + std::to_string(end), 1 }, {}, {}, { 1 } };
            for (int i = 0; i < 4; ++i, ++request)
                report.beginning.push_back(
                    { request, { 1, 100 + request % 40, i ? 1000 + request : 2, quarantine::requestBit | request } });
            const auto record = quarantine::toRecord(report);
            bytes = record.size();
            evidence.add(std::to_string(end) + "/" + std::to_string(instance), report, 1);
        }
    }
    for (auto _ : state)
        benchmark::DoNotOptimize(evidence.update());
    state.counters["record_bytes"] = static_cast<double>(bytes);
}

/// The own part of a request with a body of @p state.range(0) KB.
void hashRequest(benchmark::State& state)
{
    const std::string body(static_cast<size_t>(state.range(0)) << 10, 'x');
    const quarantine::RequestIdentity identity { "POST", "host", "/path", "caller", "model", { "a", "b", "c" }, body };
    for (auto _ : state)
        benchmark::DoNotOptimize(quarantine::hashOfRequest(identity));
}

}

BENCHMARK(buildPublication)->Args({ 8, 12 })->Args({ 250, 130 })->Args({ 2500, 1300 })->Unit(benchmark::kMillisecond);
BENCHMARK(applyPublication)->Args({ 8, 12 })->Args({ 250, 130 })->Args({ 2500, 1300 })->Unit(benchmark::kMillisecond);
BENCHMARK(writeClaim)->Arg(0)->Arg(100)->Arg(1000)->Arg(4000)->Unit(benchmark::kMicrosecond);
BENCHMARK(decideOnPrompts)->Arg(5)->Arg(64)->Arg(256)->Unit(benchmark::kMicrosecond);
BENCHMARK(hashRequest)->Arg(1)->Arg(16)->Arg(128)->Unit(benchmark::kMicrosecond);
BENCHMARK_MAIN();
