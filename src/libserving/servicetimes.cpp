#include "servicetimes.h"

#include <algorithm>
#include <cmath>

namespace Chestnutcove {

namespace {

constexpr double Median = 0.5;
/** Shorter times are too short to be measured. */
constexpr Duration MinDuration = std::chrono::microseconds(100);

}

ServiceTimes::Estimate::Estimate(const ServiceTimeOptions &options)
    : deviations(options.maxSamples, options.sampleLifetime)
{
}

ServiceTimes::ServiceTimes(ServiceTimeOptions options)
    : options_(options)
{
}

std::optional<double> ServiceTimes::deviationOf(const std::string &requestClass, double logarithm)
{
    const auto it = classMeans_.find(requestClass);
    if (it == classMeans_.end()) {
        if (classMeans_.size() >= options_.maxClasses) {
            // Classes that are still in use come back with their next request.
            classMeans_.clear();
        }
        classMeans_.emplace(requestClass, logarithm);
        return std::nullopt;
    }
    const double deviation = logarithm - it->second;
    it->second += options_.meanSmoothing * deviation;
    return deviation;
}

void ServiceTimes::onAnswered(const EndpointRecord &endpoint,
                              const std::string &requestClass,
                              Duration duration,
                              const std::optional<ReportedLoad> &reported,
                              TimePoint now)
{
    // A request that waited for a slot shows the queue and not the endpoint.
    if (!reported || !reported->slowdown || reported->waiting > 0) {
        return;
    }
    const double seconds = toSeconds(std::max(duration, MinDuration)) / *reported->slowdown;
    const auto deviation = deviationOf(requestClass, std::log(seconds));
    if (!deviation) {
        return;
    }
    Estimate &estimate = estimates_.try_emplace(endpoint.id, options_).first->second;
    if (endpoint.startedAt < estimate.startedAt) {
        return;
    }
    if (endpoint.startedAt > estimate.startedAt) {
        estimate = Estimate(options_);
        estimate.startedAt = endpoint.startedAt;
    }
    estimate.deviations.add(*deviation, now);
    if (estimate.deviations.size() < options_.minSamples) {
        return;
    }
    const double relativeTime = std::exp(estimate.deviations.quantile(Median));
    estimate.relativeTime = std::clamp(relativeTime, options_.minRelativeTime, options_.maxRelativeTime);
    estimate.updatedAt = now;
}

void ServiceTimes::removeEndpoint(const EndpointRecord &endpoint)
{
    const auto it = estimates_.find(endpoint.id);
    if (it != estimates_.end() && it->second.startedAt <= endpoint.startedAt) {
        estimates_.erase(it);
    }
}

void ServiceTimes::keepOnly(const std::set<std::string> &endpoints)
{
    std::erase_if(estimates_, [&endpoints](const auto &item) { return !endpoints.contains(item.first); });
}

double ServiceTimes::relativeTime(const EndpointRecord &endpoint, TimePoint now) const
{
    const auto it = estimates_.find(endpoint.id);
    if (it == estimates_.end() || it->second.startedAt != endpoint.startedAt) {
        return 1;
    }
    const Estimate &estimate = it->second;
    const bool isValid = estimate.relativeTime && now - estimate.updatedAt <= options_.estimateLifetime;
    return isValid ? *estimate.relativeTime : 1;
}

}
