/**
 * What one customer of a trace asked for and got, and whether its rate limit was kept and applied rightly.
 */
#pragma once

#include "tracefile.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace Chestnutcove {

/** Times are seconds since the start of the trace and don't decrease. */
class CustomerAccount
{
public:
    explicit CustomerAccount(const TraceCustomer &customer);

    /** A request that may take @p tokens in all has arrived. */
    void onArrival(double seconds, double tokens);
    /** The limiter admitted a request. */
    void onAdmitted(double seconds, double promptTokens, double tokens);
    void onRefusedByRate(double seconds, double tokens);
    void onRefusedByCapacity();
    /** @param isGood the first token came within the trace's target. */
    void onServed(double seconds, double tokens, bool isGood);
    /** Charges admitted tokens to the customer's bucket and records by how much a window exceeds burst + rate * t. */
    void charge(double seconds, double tokens);

    std::uint64_t requests() const;
    std::uint64_t goodRequests() const;
    std::uint64_t rateRefusals() const;
    /** Refusals of requests that a token bucket for the whole fleet, which charges each admitted one in full at once, would have admitted.
     */
    std::uint64_t wrongfulRefusals() const;
    std::uint64_t capacityRefusals() const;
    /** Largest number of tokens by which any window exceeded burst + rate * t. */
    double overshoot() const;
    /** Served tokens over those of the offered load that such a bucket would have admitted without queueing; 1 at most. */
    double servedShare() const;
    nlohmann::json summary() const;

private:
    void refillReference(double seconds);

    double rate_;
    double burst_;
    double servedTokens_ = 0;
    std::uint64_t requests_ = 0;
    std::uint64_t goodRequests_ = 0;
    std::uint64_t rateRefusals_ = 0;
    std::uint64_t wrongfulRefusals_ = 0;
    std::uint64_t capacityRefusals_ = 0;
    double bucket_;
    double bucketTime_ = 0;
    double overshoot_ = 0;
    double referenceBucket_;
    double referenceTime_ = 0;
    double entitledTokens_ = 0;
    double entitledBucket_;
    double entitledTime_ = 0;
};

inline std::uint64_t CustomerAccount::requests() const
{
    return requests_;
}

inline std::uint64_t CustomerAccount::goodRequests() const
{
    return goodRequests_;
}

inline std::uint64_t CustomerAccount::rateRefusals() const
{
    return rateRefusals_;
}

inline std::uint64_t CustomerAccount::wrongfulRefusals() const
{
    return wrongfulRefusals_;
}

inline std::uint64_t CustomerAccount::capacityRefusals() const
{
    return capacityRefusals_;
}

inline double CustomerAccount::overshoot() const
{
    return overshoot_;
}

}
