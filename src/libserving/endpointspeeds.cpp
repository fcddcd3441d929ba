#include "endpointspeeds.h"

namespace Chestnutcove {

namespace {

/** Net durations below this are too short to be measured. */
constexpr Duration MinNetDuration = std::chrono::microseconds(500);

}

EndpointSpeeds::Estimate::Estimate(const EndpointSpeedOptions &options)
    : rates(options.maxSamples, options.sampleLifetime)
{
}

EndpointSpeeds::EndpointSpeeds(EndpointSpeedOptions options)
    : options_(options)
{
}

std::optional<double> EndpointSpeeds::rateOf(const PrefillSample &sample) const
{
    if (!sample.wasAlone || !sample.reported || !sample.reported->slowdown || sample.tokens < options_.minTokens) {
        return std::nullopt;
    }
    // The report may count the call itself.
    if (sample.reported->running + sample.reported->waiting > 1) {
        return std::nullopt;
    }
    const Duration net = sample.duration - options_.callOverhead;
    if (net < MinNetDuration) {
        return std::nullopt;
    }
    const double rate = static_cast<double>(sample.tokens) / (toSeconds(net) * 1000) * *sample.reported->slowdown;
    return rate >= options_.minRate && rate <= options_.maxRate ? std::optional(rate) : std::nullopt;
}

EndpointSpeeds::Estimate *EndpointSpeeds::estimateFor(const EndpointRecord &endpoint)
{
    const auto [it, isNew] = estimates_.try_emplace(endpoint.id, options_);
    Estimate &estimate = it->second;
    if (!isNew && endpoint.startedAt < estimate.startedAt) {
        return nullptr;
    }
    if (endpoint.startedAt > estimate.startedAt) {
        estimate = Estimate(options_);
        estimate.startedAt = endpoint.startedAt;
    }
    return &estimate;
}

void EndpointSpeeds::onPrefilled(const EndpointRecord &endpoint, const PrefillSample &sample, TimePoint now)
{
    const auto rate = rateOf(sample);
    if (!rate) {
        return;
    }
    Estimate *estimate = estimateFor(endpoint);
    if (estimate == nullptr) {
        return;
    }
    estimate->rates.add(*rate, now);
    if (estimate->rates.size() < options_.minSamples) {
        return;
    }
    estimate->tokensPerMs = estimate->rates.quantile(options_.rateQuantile);
    estimate->updatedAt = now;
}

void EndpointSpeeds::removeEndpoint(const EndpointRecord &endpoint)
{
    const auto it = estimates_.find(endpoint.id);
    if (it != estimates_.end() && it->second.startedAt <= endpoint.startedAt) {
        estimates_.erase(it);
    }
    serviceTimes_.removeEndpoint(endpoint);
}

void EndpointSpeeds::keepOnly(const std::set<std::string> &endpoints)
{
    std::erase_if(estimates_, [&endpoints](const auto &item) { return !endpoints.contains(item.first); });
    serviceTimes_.keepOnly(endpoints);
}

bool EndpointSpeeds::isValid(const Estimate &estimate, TimePoint now) const
{
    return estimate.tokensPerMs && now - estimate.updatedAt <= options_.estimateLifetime;
}

std::optional<double> EndpointSpeeds::prefillTokensPerMs(const EndpointRecord &endpoint, TimePoint now) const
{
    const auto it = estimates_.find(endpoint.id);
    if (it == estimates_.end() || it->second.startedAt != endpoint.startedAt || !isValid(it->second, now)) {
        return std::nullopt;
    }
    return it->second.tokensPerMs;
}

std::vector<double> EndpointSpeeds::prefillRates(TimePoint now) const
{
    std::vector<double> rates;
    for (const auto &[id, estimate] : estimates_) {
        if (isValid(estimate, now)) {
            rates.push_back(*estimate.tokensPerMs);
        }
    }
    return rates;
}

}
