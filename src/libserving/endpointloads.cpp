#include "endpointloads.h"

#include <algorithm>

namespace Chestnutcove {

namespace {

/** Weight of the newest call in the smoothed failure rate. */
constexpr double FailureWeight = 0.1;
/** Calls without an answer in a row after which an endpoint is avoided. */
constexpr unsigned SilentBeforeAvoiding = 2;
constexpr Milliseconds FirstAvoidance{500};
constexpr Milliseconds LongestAvoidance{4000};
/** An endpoint that refuses work is full, or busy with an order. */
constexpr Milliseconds FirstRefusalPause{60};
constexpr Milliseconds LongestRefusalPause{960};
/** A report counts less and less, and no more after this time. */
constexpr Milliseconds ReportMemory{400};

}

void EndpointLoads::callStarted(const std::string &endpoint, std::uint64_t promptTokens)
{
    Load &load = loads_[endpoint];
    ++load.calls;
    load.promptTokens += promptTokens;
}

void EndpointLoads::callEnded(const std::string &endpoint, std::uint64_t promptTokens, AttemptOutcome outcome, TimePoint now)
{
    const auto it = loads_.find(endpoint);
    if (it == loads_.end()) {
        return;
    }
    Load &load = it->second;
    load.calls -= std::min(load.calls, 1U);
    load.promptTokens -= std::min(load.promptTokens, promptTokens);
    const bool silent = outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::NoAnswer;
    const bool failed = silent || outcome == AttemptOutcome::Broken || outcome == AttemptOutcome::Failed;
    load.failureRate += FailureWeight * ((failed ? 1 : 0) - load.failureRate);
    load.silentInARow = silent ? load.silentInARow + 1 : 0;
    if (load.silentInARow >= SilentBeforeAvoiding) {
        const unsigned doublings = std::min(load.silentInARow - SilentBeforeAvoiding, 3U);
        load.avoidUntil = now + std::min(FirstAvoidance * (1U << doublings), LongestAvoidance);
    }
    load.refusedInARow = outcome == AttemptOutcome::NotRun ? load.refusedInARow + 1 : 0;
    if (load.refusedInARow > 0) {
        const unsigned doublings = std::min(load.refusedInARow - 1, 4U);
        load.avoidUntil = std::max(load.avoidUntil, now + std::min(FirstRefusalPause * (1U << doublings), LongestRefusalPause));
    }
}

void EndpointLoads::loadReported(const std::string &endpoint, const ReportedLoad &load, TimePoint now)
{
    Load &known = loads_[endpoint];
    known.reported = load;
    known.reportedAt = now;
    const unsigned all = load.running + load.waiting;
    known.othersReported = all > known.calls ? all - known.calls : 0;
}

void EndpointLoads::forget(const std::string &endpoint)
{
    loads_.erase(endpoint);
}

const EndpointLoads::Load &EndpointLoads::of(const std::string &endpoint) const
{
    static const Load nothing;
    const auto it = loads_.find(endpoint);
    return it == loads_.end() ? nothing : it->second;
}

bool EndpointLoads::isAvoided(const std::string &endpoint, TimePoint now) const
{
    return now < of(endpoint).avoidUntil;
}

double EndpointLoads::others(const std::string &endpoint, TimePoint now) const
{
    const Load &load = of(endpoint);
    const Duration age = now - load.reportedAt;
    if (age >= ReportMemory) {
        return 0;
    }
    return load.othersReported * (1 - toSeconds(age) / toSeconds(ReportMemory));
}

}
