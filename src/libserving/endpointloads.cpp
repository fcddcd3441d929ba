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

void take(std::uint64_t &sum, std::uint64_t amount)
{
    sum -= std::min(sum, amount);
}

}

void EndpointLoads::callStarted(const std::string &endpoint, const PromptWork &prompt)
{
    Load &load = loads_[endpoint];
    ++load.calls;
    load.promptTokens += prompt.tokens;
    promptTokens_ += prompt.tokens;
    if (!prompt.isLate) {
        load.timelyPromptTokens += prompt.tokens;
        timelyPromptTokens_ += prompt.tokens;
    }
    if (prompt.tokens > 0) {
        (prompt.isLate ? load.lateStarts : load.timelyStarts).insert(prompt.startedAt);
    }
}

void EndpointLoads::callEnded(const std::string &endpoint, const PromptWork &prompt, AttemptOutcome outcome, TimePoint now)
{
    take(promptTokens_, prompt.tokens);
    if (!prompt.isLate) {
        take(timelyPromptTokens_, prompt.tokens);
    }
    const auto it = loads_.find(endpoint);
    if (it == loads_.end()) {
        return;
    }
    Load &load = it->second;
    load.calls -= std::min(load.calls, 1U);
    take(load.promptTokens, prompt.tokens);
    if (!prompt.isLate) {
        take(load.timelyPromptTokens, prompt.tokens);
    }
    auto &starts = prompt.isLate ? load.lateStarts : load.timelyStarts;
    if (const auto start = starts.find(prompt.startedAt); start != starts.end()) {
        starts.erase(start);
    }
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

Duration EndpointLoads::oldestTimelyPrompt(const std::string &endpoint, TimePoint now) const
{
    const Load &load = of(endpoint);
    return load.timelyStarts.empty() ? Duration::zero() : now - *load.timelyStarts.begin();
}

Duration EndpointLoads::oldestPrompt(const std::string &endpoint, TimePoint now) const
{
    const Load &load = of(endpoint);
    const Duration late = load.lateStarts.empty() ? Duration::zero() : now - *load.lateStarts.begin();
    return std::max(late, oldestTimelyPrompt(endpoint, now));
}

double EndpointLoads::timelyShare() const
{
    return promptTokens_ == 0 ? 1 : static_cast<double>(timelyPromptTokens_) / static_cast<double>(promptTokens_);
}

}
