#include "tickclock.h"

namespace Chestnutcove {

namespace {

std::uint64_t toMicroseconds(TimePoint time)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count());
}

}

TickClock::TickClock(std::uint64_t incarnation, Duration maxAge)
    : incarnation_(incarnation)
    , maxAge_(maxAge)
{
}

Tick TickClock::issue(TimePoint now) const
{
    return {incarnation_, toMicroseconds(now)};
}

bool TickClock::isFresh(const Tick &tick, TimePoint now) const
{
    return isYoungerThan(maxAge_, tick, now);
}

bool TickClock::isYoungerThan(Duration age, const Tick &tick, TimePoint now) const
{
    const std::uint64_t current = toMicroseconds(now);
    if (tick.incarnation != incarnation_ || tick.microseconds > current) {
        return false;
    }
    return std::chrono::microseconds(current - tick.microseconds) <= age;
}

}
