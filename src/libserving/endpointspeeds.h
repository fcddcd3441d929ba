/**
 * Learns from the answers that this gateway receives how fast each endpoint prefills prompts, and keeps their service times. Only endpoints
 * that report their present slowdown are learned, since those share machines and differ in speed; an estimate is the rate of the endpoint
 * without slowdown.
 *
 * A prompt that waits behind others makes its sample too slow, and a prompt that the engine had in its cache makes it too fast. Only
 * prompts that were alone at their engine, as far as this gateway can tell, are used, and of the latest ones a high quantile.
 */
#pragma once

#include "endpointrecord.h"
#include "samplewindow.h"
#include "servicetimes.h"
#include "timepoint.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chestnutcove {

struct EndpointSpeedOptions
{
    /** Samples from which on there is an estimate. */
    std::size_t minSamples = 8;
    std::size_t maxSamples = 48;
    Duration sampleLifetime = std::chrono::minutes(2);
    /** Time without a new sample after which an estimate is no longer used. */
    Duration estimateLifetime = std::chrono::minutes(10);
    /**
     * Of the samples' rates. It is right as long as fewer than seven in ten samples are too slow, by a queue that was not seen, and fewer
     * than three in ten are too fast.
     */
    double rateQuantile = 0.7;
    /** Part of a call's duration that doesn't depend on its prompt. */
    Duration callOverhead = std::chrono::milliseconds(2);
    /** With fewer tokens the overhead dominates the duration. */
    std::uint64_t minTokens = 1000;
    /** Rates outside of this range, in tokens per millisecond, are taken for errors. */
    double minRate = 1;
    double maxRate = 20000;
};

/** A prefill call that has succeeded. */
struct PrefillSample
{
    /** Prompt tokens that were not cached. */
    std::uint64_t tokens = 0;
    Duration duration{};
    /** This gateway had no other prompt in flight at the engine during the call. */
    bool wasAlone = false;
    /** What the answer reported; a sample without a slowdown is not used. */
    std::optional<ReportedLoad> reported;
};

class EndpointSpeeds
{
public:
    explicit EndpointSpeeds(EndpointSpeedOptions options);

    void onPrefilled(const EndpointRecord &endpoint, const PrefillSample &sample, TimePoint now);
    /** The endpoint's run has ended; what is known of a newer one is kept. */
    void removeEndpoint(const EndpointRecord &endpoint);
    /** Forgets all other endpoints. */
    void keepOnly(const std::set<std::string> &endpoints);
    /** Number of endpoints of which anything is known. */
    std::size_t size() const;

    /** The times of whole requests, for services without engines and for the runs at decode engines. */
    ServiceTimes &serviceTimes();
    const ServiceTimes &serviceTimes() const;
    /** The rate of the endpoint's run without slowdown; empty until there are enough samples. */
    std::optional<double> prefillTokensPerMs(const EndpointRecord &endpoint, TimePoint now) const;
    /** The estimates of all endpoints, for metrics. */
    std::vector<double> prefillRates(TimePoint now) const;

private:
    struct Estimate
    {
        explicit Estimate(const EndpointSpeedOptions &options);

        /** Identifies the run of the endpoint; an older run's samples don't count for a newer one. */
        std::uint64_t startedAt = 0;
        SampleWindow rates;
        /** Set once there were enough samples. */
        std::optional<double> tokensPerMs;
        TimePoint updatedAt{};
    };

    /** The rate without slowdown that the sample shows; empty if the sample says nothing about it. */
    std::optional<double> rateOf(const PrefillSample &sample) const;
    /** The estimate of that run, begun anew for a newer run; null for a run that has ended. */
    Estimate *estimateFor(const EndpointRecord &endpoint);
    bool isValid(const Estimate &estimate, TimePoint now) const;

    EndpointSpeedOptions options_;
    /** By endpoint id. */
    std::unordered_map<std::string, Estimate> estimates_;
    ServiceTimes serviceTimes_{ServiceTimeOptions{}};
};

inline std::size_t EndpointSpeeds::size() const
{
    return std::max(estimates_.size(), serviceTimes_.size());
}

inline ServiceTimes &EndpointSpeeds::serviceTimes()
{
    return serviceTimes_;
}

inline const ServiceTimes &EndpointSpeeds::serviceTimes() const
{
    return serviceTimes_;
}

}
