#include "endpointloads.h"

#include <algorithm>

namespace Chestnutcove {

namespace {

/** Weight of the latest call in the exponentially smoothed failure rate. */
constexpr double FailureRateSmoothing = 0.1;
/** Consecutive calls without a response after which an endpoint is avoided. */
constexpr unsigned UnansweredCallsBeforeBackoff = 2;
/** Time for which it is avoided then; doubles with each further call without a response. */
constexpr Milliseconds InitialUnansweredBackoff{500};
constexpr Milliseconds MaxUnansweredBackoff{4000};
/** Backoff after refusals: an endpoint that refuses a request is full, or is changing its stage. */
constexpr Milliseconds InitialRefusalBackoff{60};
constexpr Milliseconds MaxRefusalBackoff{960};
/** Time over which the weight of a load report falls linearly to zero. */
constexpr Milliseconds ReportLifetime{400};

void subtractClamped(std::uint64_t &sum, std::uint64_t amount)
{
    sum -= std::min(sum, amount);
}

}

void EndpointLoads::onCallStarted(const std::string &endpoint, const PromptWork &prompt)
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
        if (!load.timelyStarts.empty() || !load.lateStarts.empty()) {
            load.lastOverlapAt = prompt.startedAt;
        }
        (prompt.isLate ? load.lateStarts : load.timelyStarts).insert(prompt.startedAt);
    }
}

void EndpointLoads::onCallEnded(const std::string &endpoint, const PromptWork &prompt, AttemptOutcome outcome, TimePoint now)
{
    subtractClamped(promptTokens_, prompt.tokens);
    if (!prompt.isLate) {
        subtractClamped(timelyPromptTokens_, prompt.tokens);
    }
    const auto it = loads_.find(endpoint);
    if (it == loads_.end()) {
        return;
    }
    Load &load = it->second;
    load.calls -= std::min(load.calls, 1U);
    subtractClamped(load.promptTokens, prompt.tokens);
    if (!prompt.isLate) {
        subtractClamped(load.timelyPromptTokens, prompt.tokens);
    }
    auto &starts = prompt.isLate ? load.lateStarts : load.timelyStarts;
    if (const auto start = starts.find(prompt.startedAt); start != starts.end()) {
        starts.erase(start);
        if (!load.timelyStarts.empty() || !load.lateStarts.empty()) {
            load.lastOverlapAt = now;
        }
    }
    const bool unanswered = outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::NoAnswer;
    const bool failed = unanswered || outcome == AttemptOutcome::Broken || outcome == AttemptOutcome::Failed;
    load.failureRate += FailureRateSmoothing * ((failed ? 1 : 0) - load.failureRate);
    load.consecutiveUnanswered = unanswered ? load.consecutiveUnanswered + 1 : 0;
    if (load.consecutiveUnanswered >= UnansweredCallsBeforeBackoff) {
        const unsigned doublings = std::min(load.consecutiveUnanswered - UnansweredCallsBeforeBackoff, 3U);
        load.avoidUntil = now + std::min(InitialUnansweredBackoff * (1U << doublings), MaxUnansweredBackoff);
    }
    load.consecutiveRefusals = outcome == AttemptOutcome::NotRun ? load.consecutiveRefusals + 1 : 0;
    if (load.consecutiveRefusals > 0) {
        const unsigned doublings = std::min(load.consecutiveRefusals - 1, 4U);
        load.avoidUntil = std::max(load.avoidUntil, now + std::min(InitialRefusalBackoff * (1U << doublings), MaxRefusalBackoff));
    }
}

void EndpointLoads::onLoadReported(const std::string &endpoint, const ReportedLoad &load, TimePoint now)
{
    Load &entry = loads_[endpoint];
    entry.reported = load;
    entry.reportedAt = now;
    const unsigned total = load.running + load.waiting;
    entry.reportedOtherRequests = total > entry.calls ? total - entry.calls : 0;
}

void EndpointLoads::removeEndpoint(const std::string &endpoint)
{
    loads_.erase(endpoint);
}

void EndpointLoads::keepOnly(const std::set<std::string> &endpoints)
{
    std::erase_if(loads_, [&endpoints](const auto &item) { return item.second.calls == 0 && !endpoints.contains(item.first); });
}

const EndpointLoads::Load &EndpointLoads::loadOf(const std::string &endpoint) const
{
    static const Load emptyLoad;
    const auto it = loads_.find(endpoint);
    return it == loads_.end() ? emptyLoad : it->second;
}

bool EndpointLoads::isAvoided(const std::string &endpoint, TimePoint now) const
{
    return now < loadOf(endpoint).avoidUntil;
}

double EndpointLoads::otherGatewayRequests(const std::string &endpoint, TimePoint now) const
{
    const Load &load = loadOf(endpoint);
    const Duration age = now - load.reportedAt;
    if (age >= ReportLifetime) {
        return 0;
    }
    return load.reportedOtherRequests * (1 - toSeconds(age) / toSeconds(ReportLifetime));
}

Duration EndpointLoads::oldestTimelyPromptAge(const std::string &endpoint, TimePoint now) const
{
    const Load &load = loadOf(endpoint);
    return load.timelyStarts.empty() ? Duration::zero() : now - *load.timelyStarts.begin();
}

Duration EndpointLoads::oldestPromptAge(const std::string &endpoint, TimePoint now) const
{
    const Load &load = loadOf(endpoint);
    const Duration lateAge = load.lateStarts.empty() ? Duration::zero() : now - *load.lateStarts.begin();
    return std::max(lateAge, oldestTimelyPromptAge(endpoint, now));
}

bool EndpointLoads::wasAlone(const std::string &endpoint, TimePoint startedAt) const
{
    const auto &lastOverlapAt = loadOf(endpoint).lastOverlapAt;
    return !lastOverlapAt || *lastOverlapAt < startedAt;
}

double EndpointLoads::slowdown(const std::string &endpoint, TimePoint now) const
{
    const Load &load = loadOf(endpoint);
    const Duration age = now - load.reportedAt;
    if (!load.reported.slowdown || age >= ReportLifetime) {
        return 1;
    }
    return 1 + (*load.reported.slowdown - 1) * (1 - toSeconds(age) / toSeconds(ReportLifetime));
}

double EndpointLoads::meanReportedSlowdown() const
{
    double sum = 0;
    unsigned reports = 0;
    for (const auto &[id, load] : loads_) {
        sum += load.reported.slowdown.value_or(0);
        reports += load.reported.slowdown ? 1 : 0;
    }
    return reports == 0 ? 1 : sum / reports;
}

double EndpointLoads::timelyTokenFraction() const
{
    return promptTokens_ == 0 ? 1 : static_cast<double>(timelyPromptTokens_) / static_cast<double>(promptTokens_);
}

}
