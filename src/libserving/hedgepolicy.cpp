#include "hedgepolicy.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Chestnutcove {

namespace {

/** Tolerance for sums of ratios such as 0.1, which have no exact binary representation. */
constexpr double RoundingError = 1e-9;

}

HedgePolicy::HedgePolicy(HedgePolicyOptions options)
    : options_(options)
{
}

void HedgePolicy::onFirstAttempt()
{
    available_ = std::min(available_ + options_.ratio, options_.burst);
}

void HedgePolicy::onAnswer(Duration time, TimePoint now)
{
    samples_.push_back({time, now});
    if (samples_.size() > options_.maxSamples) {
        samples_.pop_front();
    }
}

void HedgePolicy::onRefused(TimePoint now)
{
    lastRefusedAt_ = now;
}

void HedgePolicy::onHedged()
{
    available_ = std::max(0.0, available_ - 1);
}

std::optional<Duration> HedgePolicy::delay(TimePoint now)
{
    forgetOldSamples(now);
    if (samples_.empty() || samples_.size() < options_.minSamples) {
        return std::nullopt;
    }
    std::vector<Duration> times;
    times.reserve(samples_.size());
    for (const Sample &sample : samples_) {
        times.push_back(sample.time);
    }
    const double rank = std::ceil(options_.quantile * static_cast<double>(times.size()) - RoundingError);
    const auto position = times.begin() + std::max<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(rank) - 1);
    std::nth_element(times.begin(), position, times.end());
    return std::max(*position, options_.minDelay);
}

std::optional<HedgeDenial> HedgePolicy::denial(const HedgeQuery &query, TimePoint now) const
{
    if (available_ < 1 - RoundingError) {
        return HedgeDenial::RatioUsedUp;
    }
    if (!query.hasRetryBudget) {
        return HedgeDenial::RetryBudgetUsedUp;
    }
    if (query.attempts >= query.maxAttempts) {
        return HedgeDenial::MaxAttemptsReached;
    }
    if (isCapacityShort(query, now)) {
        return HedgeDenial::CapacityShort;
    }
    if (!query.hasOtherEndpoint) {
        return HedgeDenial::NoOtherEndpoint;
    }
    if (!query.hasUnlimitedEndpoint) {
        return HedgeDenial::EndpointLimited;
    }
    if (query.timeLeft < query.timeLimit * options_.minTimeLeft) {
        return HedgeDenial::DeadlineNear;
    }
    if (query.isSuspected) {
        return HedgeDenial::Suspected;
    }
    return query.isStopping ? std::optional(HedgeDenial::Stopping) : std::nullopt;
}

bool HedgePolicy::isCapacityShort(const HedgeQuery &query, TimePoint now) const
{
    const bool wasRefused = lastRefusedAt_ && now - *lastRefusedAt_ < options_.refusalMemory;
    return wasRefused || query.isGatewayLate || !query.hasFreeSlot;
}

void HedgePolicy::forgetOldSamples(TimePoint now)
{
    while (!samples_.empty() && now - samples_.front().answeredAt > options_.sampleLifetime) {
        samples_.pop_front();
    }
}

}
