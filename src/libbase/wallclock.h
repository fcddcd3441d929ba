/**
 * The time of day without its jumps. It is read when the process starts and carried on by the VM's monotonic clock; a time of day that
 * differs is taken over only when it has differed for long.
 */
#pragma once

#include "timepoint.h"

#include <chrono>
#include <optional>

namespace Chestnutcove {

using WallTime = std::chrono::system_clock::time_point;

class WallClock
{
public:
    /** @param timeOfDay, @param now the two clocks at the same moment. */
    WallClock(WallTime timeOfDay, TimePoint now);

    /** To be called regularly with both clocks. */
    void observe(WallTime timeOfDay, TimePoint now);
    WallTime at(TimePoint now) const;

private:
    /** Time of day at the monotonic clock's zero. */
    WallTime origin_;
    /** Since when the time of day has differed. */
    std::optional<TimePoint> differsSince_;
};

}
