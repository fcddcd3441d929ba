/**
 * Learns how long each endpoint takes for its requests relative to the other endpoints of its service. Requests of one class, such as those
 * of one route, are compared with each other only. Only endpoints that report their present slowdown are learned.
 */
#pragma once

#include "endpointrecord.h"
#include "samplewindow.h"
#include "timepoint.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace Chestnutcove {

struct ServiceTimeOptions
{
    /** Samples from which on there is an estimate. */
    std::size_t minSamples = 16;
    std::size_t maxSamples = 48;
    Duration sampleLifetime = std::chrono::minutes(2);
    /** Time without a new sample after which an estimate is no longer used. */
    Duration estimateLifetime = std::chrono::minutes(10);
    /** Weight of the latest request in the smoothed mean of its class. */
    double meanSmoothing = 0.02;
    /** Bounds of an estimate, so that no endpoint is left without requests from which it could be learned anew. */
    double minRelativeTime = 0.25;
    double maxRelativeTime = 4;
    /** Classes of requests that are known at a time; with a further one all are learned anew. */
    std::size_t maxClasses = 256;
};

class ServiceTimes
{
public:
    explicit ServiceTimes(ServiceTimeOptions options);

    /** @param requestClass requests of one class take similar times at one endpoint. @param reported with the answer. */
    void onAnswered(const EndpointRecord &endpoint,
                    const std::string &requestClass,
                    Duration duration,
                    const std::optional<ReportedLoad> &reported,
                    TimePoint now);
    /** The endpoint's run has ended; what is known of a newer one is kept. */
    void removeEndpoint(const EndpointRecord &endpoint);
    /** Forgets all other endpoints. */
    void keepOnly(const std::set<std::string> &endpoints);
    /** Number of endpoints of which anything is known. */
    std::size_t size() const;

    /** Factor on the usual time of the service's requests without slowdown; 1 until there are enough samples. */
    double relativeTime(const EndpointRecord &endpoint, TimePoint now) const;

private:
    struct Estimate
    {
        explicit Estimate(const ServiceTimeOptions &options);

        /** Identifies the run of the endpoint. */
        std::uint64_t startedAt = 0;
        /** Logarithms of the times relative to the mean of their class. */
        SampleWindow deviations;
        /** Set once there were enough samples. */
        std::optional<double> relativeTime;
        TimePoint updatedAt{};
    };

    /** The deviation from the class's mean before this request. */
    std::optional<double> deviationOf(const std::string &requestClass, double logarithm);

    ServiceTimeOptions options_;
    /** Smoothed mean of the logarithm of the times, by class. A logarithm, so that a few long requests don't move it. */
    std::map<std::string, double> classMeans_;
    /** By endpoint id. */
    std::unordered_map<std::string, Estimate> estimates_;
};

inline std::size_t ServiceTimes::size() const
{
    return estimates_.size();
}

}
