/**
 * The clock types that the decision libraries are written against. They never read a clock themselves: callers pass
 * the time of each event.
 */
#pragma once

#include <chrono>

namespace Chestnutcove {

/** Monotonic time; every validity and expiry is counted on it. */
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;

inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}
