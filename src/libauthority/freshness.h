/**
 * Proof that a message is not an old one, without synchronised clocks. A receiver hands out ticks of its own clock; a sender returns the
 * newest it holds; the receiver refuses a tick of another incarnation or one that is older than the limit.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>

namespace Chestnutcove {

struct Tick
{
    std::uint64_t incarnation = 0;
    /** The receiver's monotonic time. */
    std::uint64_t microseconds = 0;

    auto operator<=>(const Tick &) const = default;
};

class TickClock
{
public:
    /** @param incarnation random for each start of the process. */
    TickClock(std::uint64_t incarnation, Duration maxAge);

    Tick issue(TimePoint now) const;
    bool isFresh(const Tick &tick, TimePoint now) const;
    /** Whether the tick is of this incarnation and at most that old. */
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
