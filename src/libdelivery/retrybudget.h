/**
 * Limits repeated work to a share of the first attempts, so that retries can't become a storm.
 */
#pragma once

#include <algorithm>

namespace Chestnutcove {

class RetryBudget
{
public:
    /** @param share retries for each first attempt. @param reserve retries that a quiet process may make at once. */
    RetryBudget(double share, double reserve)
        : share_(share)
        , reserve_(reserve)
        , available_(reserve)
    {
    }

    void firstAttempt()
    {
        available_ = std::min(available_ + share_, reserve_);
    }

    bool hasRoom() const
    {
        return available_ >= 1;
    }

    bool take()
    {
        if (!hasRoom()) {
            return false;
        }
        available_ -= 1;
        return true;
    }

private:
    double share_;
    double reserve_;
    /** Between 0 and reserve_. */
    double available_;
};

}
