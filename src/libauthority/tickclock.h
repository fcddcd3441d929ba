/**
 * Freshness checks for messages without synchronised clocks. The receiver issues ticks, which are timestamps of its own clock. A sender
 * puts the newest tick that it holds into each message. The receiver refuses a tick that another incarnation issued or that exceeds the
 * maximum age.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>

namespace Chestnutcove {

/** A timestamp that only the process that issued it interprets. */
struct Tick
{
    /** Incarnation of the process that issued the tick. */
    std::uint64_t incarnation = 0;
    /** Monotonic time of that process. */
    std::uint64_t microseconds = 0;

    auto operator<=>(const Tick &) const = default;
};

class TickClock
{
public:
    /**
     * @param incarnation a random number drawn at each start of the process.
     * @param maxAge the age up to which isFresh() accepts a tick.
     */
    TickClock(std::uint64_t incarnation, Duration maxAge);

    Tick issue(TimePoint now) const;
    bool isFresh(const Tick &tick, TimePoint now) const;
    /** Whether this incarnation issued the tick and its age is at most @p age. */
    bool isYoungerThan(Duration age, const Tick &tick, TimePoint now) const;
    std::uint64_t incarnation() const;
    Duration maxAge() const;

private:
    std::uint64_t incarnation_;
    Duration maxAge_;
};

inline std::uint64_t TickClock::incarnation() const
{
    return incarnation_;
}

inline Duration TickClock::maxAge() const
{
    return maxAge_;
}

}
