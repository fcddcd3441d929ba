#include "wallclock.h"

namespace Chestnutcove {

namespace {

/** Smaller differences are the clocks' drift and are followed at once. */
constexpr Milliseconds DriftTolerance{50};
/** A difference that lasts this long is a correction and not a jump. */
constexpr std::chrono::seconds CorrectionTime{60};

WallTime originOf(WallTime timeOfDay, TimePoint now)
{
    return timeOfDay - std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch());
}

}

WallClock::WallClock(WallTime timeOfDay, TimePoint now)
    : origin_(originOf(timeOfDay, now))
{
}

void WallClock::observe(WallTime timeOfDay, TimePoint now)
{
    const WallTime seen = originOf(timeOfDay, now);
    const auto difference = std::chrono::abs(seen - origin_);
    if (difference > DriftTolerance && !differsSince_) {
        differsSince_ = now;
    }
    if (difference <= DriftTolerance || now - *differsSince_ > CorrectionTime) {
        origin_ = seen;
        differsSince_.reset();
    }
}

WallTime WallClock::at(TimePoint now) const
{
    return origin_ + std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch());
}

}
