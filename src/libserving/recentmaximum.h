/**
 * The largest value of the recent past. A value is forgotten between one and two periods after it was recorded.
 */
#pragma once

#include "timepoint.h"

#include <algorithm>

namespace Chestnutcove {

class RecentMaximum
{
public:
    explicit RecentMaximum(Duration period);

    void record(double value, TimePoint now);
    /** 0 if no value was recorded recently. */
    double value(TimePoint now);

private:
    void advance(TimePoint now);

    Duration period_;
    /** Start of the current period. */
    TimePoint periodStart_{};
    double current_ = 0;
    double previous_ = 0;
};

inline RecentMaximum::RecentMaximum(Duration period)
    : period_(period)
{
}

inline void RecentMaximum::record(double value, TimePoint now)
{
    advance(now);
    current_ = std::max(current_, value);
}

inline double RecentMaximum::value(TimePoint now)
{
    advance(now);
    return std::max(current_, previous_);
}

inline void RecentMaximum::advance(TimePoint now)
{
    const Duration elapsed = now - periodStart_;
    if (elapsed < period_) {
        return;
    }
    previous_ = elapsed < 2 * period_ ? current_ : 0;
    current_ = 0;
    periodStart_ = now;
}

}
