// Benchmarks of a routing decision, by the number of targets of the route, and of the prefix hashes that it needs.

#include "routing/Routing.h"

#include <benchmark/benchmark.h>

using namespace dragonfly;
using namespace dragonfly::routing;

namespace {

constexpr size_t indexSlots = 1 << 18;

pb::ConfigPart objectsWith(int engines)
{
    pb::ConfigPart objects;
    auto* centre = objects.add_data_centres();
    centre->set_name("centre");
    centre->set_region("region");
    centre->set_limit_share_percent(100);
    auto* model = objects.add_models();
    model->set_name("model");
    model->set_weights("v1");
    auto* route = objects.add_routes();
    route->set_name("route");
    route->set_model("model");
    for (int i = 0; i < engines; ++i) {
        auto* target = objects.add_targets();
        target->set_name("engine-" + std::to_string(i));
        target->set_address("127.0.0.1:" + std::to_string(1000 + i));
        target->set_data_centre("centre");
        target->set_protocol(pb::ENGINE);
        target->add_serves("model");
    }
    return objects;
}

/// Chooses a target for a prompt whose prefixes up to three targets are recorded to hold.
void chooseAmong(benchmark::State& state)
{
    StateRegistry registry;
    const Place place { "region", "centre" };
    const auto view = buildView(objectsWith(static_cast<int>(state.range(0))), 1, "digest", place, registry);
    PrefixIndex index(indexSlots);
    const std::string prompt(16 << 10, 'x');
    const auto chain = buildPrefixChain(prompt, 1);
    const auto now = Clock::now();
    for (size_t holder = 0; holder < 3; ++holder)
        recordPrefixes(index, chain, view->targets[holder * 3 % view->targets.size()], now);
    const CandidateQuery query { *view, view->routes[0], place, &chain, &index, 12345, {}, now };
    RoutingRequest request;
    request.promptTokens = tokensOf(chain.promptBytes);
    request.sharedPrefixTokens = sharedPrefixTokens(chain);
    for (auto _ : state) {
        const auto gathered = gatherCandidates(query);
        request.knownTokens = gathered.knownTokens;
        benchmark::DoNotOptimize(chooseTarget(ExpectedFirstToken {}, gathered.candidates, request));
    }
}

void buildChain(benchmark::State& state)
{
    const std::string prompt(static_cast<size_t>(state.range(0)), 'x');
    for (auto _ : state)
        benchmark::DoNotOptimize(buildPrefixChain(prompt, 1));
}

void recordPrompt(benchmark::State& state)
{
    StateRegistry registry;
    const auto view = buildView(objectsWith(1), 1, "digest", { "region", "centre" }, registry);
    PrefixIndex index(indexSlots);
    const auto chain = buildPrefixChain(std::string(16 << 10, 'x'), 1);
    for (auto _ : state)
        recordPrefixes(index, chain, view->targets[0], Clock::now());
}

}

BENCHMARK(chooseAmong)->Arg(9)->Arg(37)->Arg(190)->Arg(1300)->Unit(benchmark::kMicrosecond);
BENCHMARK(buildChain)->Arg(1 << 10)->Arg(16 << 10)->Arg(128 << 10)->Unit(benchmark::kMicrosecond);
BENCHMARK(recordPrompt)->Unit(benchmark::kMicrosecond);
BENCHMARK_MAIN();
