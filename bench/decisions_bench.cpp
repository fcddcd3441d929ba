/**
 * Measures the processor time of single admission, routing and queueing decisions.
 */
#include "customerlimiter.h"
#include "dispatcher.h"
#include "router.h"

#include <benchmark/benchmark.h>

namespace {

using namespace Chestnutcove;
using namespace std::chrono_literals;

void admitFromLocalShare(benchmark::State &state)
{
    CustomerLimiter limiter({}, 1e12, 1e12);
    TimePoint now{1h};
    limiter.setShares({1, {}}, now);
    now += 10s;
    std::uint64_t id = 0;
    for (auto _ : state) {
        now += 1us;
        limiter.requestAdmission({++id, 100, 0, ServiceClass::Standard, now + 1s}, now);
        benchmark::DoNotOptimize(limiter.poll(now));
        limiter.onRequestFinished(id, now);
    }
}
BENCHMARK(admitFromLocalShare);

void routeAmong600(benchmark::State &state)
{
    Router router({.dataCentre = "dc-0", .reportTimeout = 24h});
    const TimePoint now{1h};
    for (int i = 0; i < 600; ++i) {
        EndpointEntry entry;
        entry.name = "endpoint-" + std::to_string(i);
        entry.dataCentre = "dc-" + std::to_string(i % 4);
        // The argument is the number of models: with 8, model-0 has 75 endpoints; with 1, all 600.
        entry.serves = "model-" + std::to_string(i % state.range(0));
        router.putEndpoint(entry);
        EndpointLoad load;
        load.slots = 16;
        load.running = static_cast<std::uint64_t>(i % 20);
        load.healthy = true;
        router.updateLoad(entry.name, load, 0, now);
        router.updateCachedBlocks(entry.name, false, {static_cast<std::uint64_t>(i), 1, 2, 3}, {});
    }
    const RouteQuery query{"model-0", 1000, 100, {1, 2, 3, 4, 5, 6, 7, 8}, {}};
    for (auto _ : state) {
        benchmark::DoNotOptimize(router.choose(query, now));
    }
}
BENCHMARK(routeAmong600)->Arg(8)->Arg(1);

void enqueueAndDequeue430Customers(benchmark::State &state)
{
    FairQueue queue;
    std::vector<std::string> names;
    for (int i = 0; i < 430; ++i) {
        names.push_back("customer-" + std::to_string(i));
    }
    std::uint64_t handle = 0;
    const auto push = [&] {
        ++handle;
        queue.push({handle, names[handle % names.size()], ServiceClass::Standard, 1, 100, 0.1, TimePoint{1h}, TimePoint{2h}});
    };
    for (int i = 0; i < 4300; ++i) {
        push();
    }
    for (auto _ : state) {
        push();
        benchmark::DoNotOptimize(queue.pop());
    }
}
BENCHMARK(enqueueAndDequeue430Customers);

}

BENCHMARK_MAIN();
