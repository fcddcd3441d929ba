/**
 * Limits retries to a ratio of the first attempts, so that they can't amplify an overload (retry storm).
 */
#pragma once

#include <algorithm>

namespace Chestnutcove {

class RetryBudget
{
public:
    /** @param ratio retries that each first attempt earns. @param burst earned retries that can be kept, and so made at once. */
    RetryBudget(double ratio, double burst)
        : ratio_(ratio)
        , burst_(burst)
        , available_(burst)
    {
    }

    void recordFirstAttempt()
    {
        available_ = std::min(available_ + ratio_, burst_);
    }

    bool mayRetry() const
    {
        return available_ >= 1;
    }

    bool tryTakeRetry()
    {
        if (!mayRetry()) {
            return false;
        }
        available_ -= 1;
        return true;
    }

private:
    double ratio_;
    double burst_;
    /** Retries that may be made now, between 0 and burst_. */
    double available_;
};

}
