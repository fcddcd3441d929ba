#include "customeraccount.h"

#include <algorithm>

namespace Chestnutcove {

CustomerAccount::CustomerAccount(const TraceCustomer &customer)
    : rate_(customer.rate)
    , burst_(customer.burst)
    , bucket_(customer.burst)
    , referenceBucket_(customer.burst)
    , entitledBucket_(customer.burst)
{
}

void CustomerAccount::onArrival(double seconds, double tokens)
{
    ++requests_;
    entitledBucket_ = std::min(burst_, entitledBucket_ + rate_ * (seconds - entitledTime_));
    entitledTime_ = seconds;
    if (entitledBucket_ >= tokens) {
        entitledBucket_ -= tokens;
        entitledTokens_ += tokens;
    }
}

void CustomerAccount::onAdmitted(double seconds, double promptTokens, double tokens)
{
    charge(seconds, promptTokens);
    refillReference(seconds);
    referenceBucket_ -= tokens;
}

void CustomerAccount::onRefusedByRate(double seconds, double tokens)
{
    ++rateRefusals_;
    refillReference(seconds);
    wrongfulRefusals_ += referenceBucket_ >= tokens ? 1 : 0;
}

void CustomerAccount::onRefusedByCapacity()
{
    ++capacityRefusals_;
}

void CustomerAccount::onServed(double seconds, double tokens, bool isGood)
{
    servedTokens_ += tokens;
    goodRequests_ += isGood ? 1 : 0;
    charge(seconds, 0);
}

void CustomerAccount::charge(double seconds, double tokens)
{
    bucket_ = std::min(burst_, bucket_ + rate_ * (seconds - bucketTime_));
    bucketTime_ = seconds;
    bucket_ -= tokens;
    overshoot_ = std::max(overshoot_, -bucket_);
}

void CustomerAccount::refillReference(double seconds)
{
    referenceBucket_ = std::min(burst_, referenceBucket_ + rate_ * (seconds - referenceTime_));
    referenceTime_ = seconds;
}

double CustomerAccount::servedShare() const
{
    return entitledTokens_ > 0 ? std::min(1.0, servedTokens_ / entitledTokens_) : 1;
}

nlohmann::json CustomerAccount::summary() const
{
    return {{"requests", requests_},
            {"good", goodRequests_},
            {"servedShare", servedShare()},
            {"refusedByRate", rateRefusals_},
            {"refusedByCapacity", capacityRefusals_},
            {"wrongful", wrongfulRefusals_}};
}

}
