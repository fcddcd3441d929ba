/**
 * Decides when a second call of a request is sent because the first one is slow (a hedge). There is one policy for each service: the delay
 * follows the distribution of the service's recent answer times, and hedges are bounded by a ratio to first attempts.
 */
#pragma once

#include "nametable.h"
#include "timepoint.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace Chestnutcove {

struct HedgePolicyOptions
{
    /** Hedges that each first attempt allows; 0 for no hedges. */
    double ratio = 0;
    /** Allowed hedges that can be kept, and so sent at once. */
    double burst = 5;
    /** Fraction of answers that arrive within the delay. */
    double quantile = 0.95;
    /** Requests are not hedged earlier, however fast the answers of the service are. */
    Duration minDelay = std::chrono::milliseconds(10);
    /** Number of samples from which on the delay is known; with fewer, a 95th percentile is one of the two slowest answers. */
    std::size_t minSamples = 40;
    /** Number of latest answers that count. */
    std::size_t maxSamples = 400;
    /** Answers that are older don't count. */
    Duration sampleLifetime = std::chrono::seconds(60);
    /** Fraction of the request's time limit that must be left. */
    double minTimeLeft = 0.25;
    /** Capacity is short for this long after a request was refused. */
    Duration refusalMemory = std::chrono::seconds(1);
};

/** Why a request is not hedged, in the order of the checks. */
enum class HedgeDenial {
    /** The service has had as many hedges as its first attempts allow. */
    RatioUsedUp,
    RetryBudgetUsedUp,
    MaxAttemptsReached,
    /** The service refused a request recently, the gateway is late, or the chosen endpoint has no free slot. */
    CapacityShort,
    /** No endpoint is usable that the request was not sent to. */
    NoOtherEndpoint,
    /** The other endpoints are cold, or limit the requests that they accept. */
    EndpointLimited,
    DeadlineNear,
    /** The request is suspected to crash endpoints. */
    Suspected,
    Stopping,
};

inline constexpr NameTable<HedgeDenial, 9> HedgeDenialNames{{
    {HedgeDenial::RatioUsedUp, "ratio"},
    {HedgeDenial::RetryBudgetUsedUp, "retry_budget"},
    {HedgeDenial::MaxAttemptsReached, "max_attempts"},
    {HedgeDenial::CapacityShort, "capacity"},
    {HedgeDenial::NoOtherEndpoint, "no_other_endpoint"},
    {HedgeDenial::EndpointLimited, "endpoint_limited"},
    {HedgeDenial::DeadlineNear, "deadline"},
    {HedgeDenial::Suspected, "suspected"},
    {HedgeDenial::Stopping, "stopping"},
}};

/** What is known of a request that may be hedged, and of the endpoint that is chosen for it. */
struct HedgeQuery
{
    bool hasRetryBudget = true;
    unsigned attempts = 1;
    unsigned maxAttempts = 1;
    bool isGatewayLate = false;
    /** An endpoint is usable that the request was not sent to. */
    bool hasOtherEndpoint = true;
    /** One of these endpoints is neither cold nor limits its requests. */
    bool hasUnlimitedEndpoint = true;
    /** Of the chosen one of them. */
    bool hasFreeSlot = true;
    /** Until the deadline, and from the arrival of the request to the deadline. */
    Duration timeLeft{};
    Duration timeLimit{};
    bool isSuspected = false;
    bool isStopping = false;
};

class HedgePolicy
{
public:
    explicit HedgePolicy(HedgePolicyOptions options);

    void onFirstAttempt();
    /** The answer took this long, or at least this long if the call was given up before its answer was complete. */
    void onAnswer(Duration time, TimePoint now);
    /** A request to the service was refused. */
    void onRefused(TimePoint now);
    void onHedged();

    /** Time from the sending of a request to its hedge; nothing while too few answers are known. */
    std::optional<Duration> delay(TimePoint now);
    /** The first reason against a hedge, or nothing. */
    std::optional<HedgeDenial> denial(const HedgeQuery &query, TimePoint now) const;

private:
    struct Sample
    {
        Duration time;
        TimePoint answeredAt;
    };

    bool isCapacityShort(const HedgeQuery &query, TimePoint now) const;
    void forgetOldSamples(TimePoint now);

    HedgePolicyOptions options_;
    /** Hedges that may be sent now, between 0 and the burst. */
    double available_ = 0;
    /** Oldest first. */
    std::deque<Sample> samples_;
    std::optional<TimePoint> lastRefusedAt_;
};

}
