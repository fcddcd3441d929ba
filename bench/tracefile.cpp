#include "tracefile.h"

#include "documentreader.h"
#include "settingsfile.h"

#include <algorithm>
#include <random>

namespace Chestnutcove {

namespace {

constexpr double MaxSeconds = 3600;
constexpr double MaxTokens = 1e6;

/** A phase of one customer's load, as given in the trace file. Prompt and answer sizes are means. */
struct Phase
{
    std::string customer;
    ServiceClass serviceClass = ServiceClass::Standard;
    double from = 0;
    double to = 0;
    double requestsPerSecond = 0;
    double promptTokens = 0;
    double outputTokens = 0;
    double sharedTokens = 0;
    std::uint64_t prefixGroups = 1;
};

Phase readPhase(DocumentReader &reader, double seconds)
{
    Phase phase;
    phase.customer = reader.text("customer");
    phase.serviceClass = reader.choice("class", ServiceClassNames, ServiceClass::Standard);
    phase.from = reader.number("from", 0, 0, seconds);
    phase.to = reader.number("to", seconds, 0, seconds);
    phase.requestsPerSecond = reader.number("requestsPerSecond", 0, 1e5);
    phase.promptTokens = reader.number("promptTokens", 1, MaxTokens);
    phase.outputTokens = reader.number("outputTokens", 1, MaxTokens);
    phase.sharedTokens = reader.number("sharedTokens", 0, 0, MaxTokens);
    phase.prefixGroups = reader.integer("prefixGroups", 1, 1, 1'000'000);
    reader.finish();
    return phase;
}

/** Generates Poisson arrivals with prompt and answer sizes uniformly distributed between 0.5 and 1.5 times their mean. */
void addArrivals(const Phase &phase, std::mt19937_64 &random, std::vector<TraceArrival> &arrivals)
{
    std::exponential_distribution<double> interval(std::max(phase.requestsPerSecond, 1e-9));
    std::uniform_real_distribution<double> sizeFactor(0.5, 1.5);
    std::uniform_int_distribution<std::uint64_t> group(0, phase.prefixGroups - 1);
    for (double at = phase.from + interval(random); at < phase.to; at += interval(random)) {
        TraceArrival arrival;
        arrival.at = at;
        arrival.customer = phase.customer;
        arrival.serviceClass = phase.serviceClass;
        arrival.promptTokens = static_cast<std::uint64_t>(std::max(1.0, phase.promptTokens * sizeFactor(random)));
        arrival.outputTokens = static_cast<std::uint64_t>(std::max(1.0, phase.outputTokens * sizeFactor(random)));
        arrival.prefixGroup = group(random);
        arrival.sharedTokens = std::min(arrival.promptTokens, static_cast<std::uint64_t>(phase.sharedTokens));
        arrivals.push_back(std::move(arrival));
    }
}

TraceEvent readEvent(DocumentReader &reader, double seconds, std::size_t engines)
{
    constexpr NameTable<TraceEvent::Kind, 2> KindNames{
        {{TraceEvent::Kind::EngineDown, "engineDown"}, {TraceEvent::Kind::EngineUp, "engineUp"}}};
    TraceEvent event;
    event.at = reader.number("at", 0, seconds);
    event.kind = reader.choice("kind", KindNames, TraceEvent::Kind::EngineDown);
    event.engine = reader.integer("engine", 0, engines - 1);
    reader.finish();
    return event;
}

}

absl::StatusOr<Trace> readTrace(const std::string &path)
{
    const auto json = readSettingsFile(path);
    if (!json.ok()) {
        return json.status();
    }
    DocumentFaults faults(path);
    DocumentReader reader(*json, faults);
    Trace trace;
    trace.name = reader.text("name");
    std::mt19937_64 random(reader.integer("seed", 0, std::numeric_limits<std::uint32_t>::max()));
    trace.seconds = reader.number("seconds", 1, MaxSeconds);
    trace.engines = reader.integer("engines", 1, 10'000);
    trace.gateways = reader.integer("gateways", trace.gateways, 1, 1000);
    trace.slots = reader.integer("slots", trace.slots, 1, 4096);
    trace.prefillTokensPerSecond = reader.number("prefillTokensPerSecond", trace.prefillTokensPerSecond, 1, 1e7);
    trace.decodeTokensPerSecond = reader.number("decodeTokensPerSecond", trace.decodeTokensPerSecond, 0.1, 1e6);
    trace.firstTokenTarget = reader.number("firstTokenTarget", 0.01, 60);
    for (DocumentReader &item : reader.objects("customers")) {
        TraceCustomer customer;
        customer.name = item.text("name");
        customer.rate = item.number("rate", 0, 1e9);
        customer.burst = item.number("burst", 0, 1e10);
        customer.weight = item.number("weight", 1, 0.01, 100);
        item.finish();
        trace.customers.push_back(std::move(customer));
    }
    for (DocumentReader &item : reader.objects("load")) {
        addArrivals(readPhase(item, trace.seconds), random, trace.arrivals);
    }
    for (DocumentReader &item : reader.objects("events")) {
        trace.events.push_back(readEvent(item, trace.seconds, trace.engines));
    }
    reader.finish();
    if (!faults.isEmpty()) {
        return faults.status();
    }
    const auto isEarlier = [](const auto &left, const auto &right) { return left.at < right.at; };
    std::stable_sort(trace.arrivals.begin(), trace.arrivals.end(), isEarlier);
    std::stable_sort(trace.events.begin(), trace.events.end(), isEarlier);
    return trace;
}

}
