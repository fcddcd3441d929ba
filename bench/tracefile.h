/**
 * Traces of arrivals and events, as documented in docs/MEASUREMENTS.md. A trace file describes phases of load; the individual arrivals are
 * generated from its seed.
 */
#pragma once

#include "entry.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Chestnutcove {

struct TraceArrival
{
    /** Seconds since the start of the trace. */
    double at = 0;
    std::string customer;
    ServiceClass serviceClass = ServiceClass::Standard;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    /** Requests of the same group share the first `sharedTokens` tokens of their prompts. */
    std::uint64_t prefixGroup = 0;
    std::uint64_t sharedTokens = 0;
};

struct TraceEvent
{
    enum class Kind {
        EngineDown,
        EngineUp,
    };
    /** Seconds since the start of the trace. */
    double at = 0;
    Kind kind = Kind::EngineDown;
    std::size_t engine = 0;
};

struct TraceCustomer
{
    std::string name;
    double rate = 0;
    double burst = 0;
    double weight = 1;
};

struct Trace
{
    std::string name;
    double seconds = 0;
    std::size_t engines = 0;
    std::size_t gateways = 3;
    std::size_t slots = 16;
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 40;
    /** A request counts for goodput when its first token comes within this time. */
    double firstTokenTarget = 0;
    std::vector<TraceCustomer> customers;
    std::vector<TraceArrival> arrivals;
    std::vector<TraceEvent> events;
};

absl::StatusOr<Trace> readTrace(const std::string &path);

}
