#include "remoteclock.h"

#include <algorithm>

namespace Chestnutcove {

namespace {

/** Difference of the rates of two clocks is taken to be below 1 / this. */
constexpr int MaxDriftDivisor = 1000;
/** Remote times are whole milliseconds, so the clock may have shown up to one more. */
constexpr Milliseconds RemoteResolution{1};

}

TimePoint RemoteClock::readingTime(TimePoint sentAt, std::optional<Milliseconds> remoteTime, TimePoint receivedAt)
{
    if (!remoteTime) {
        return sentAt;
    }
    const Duration bound = sentAt.time_since_epoch() - *remoteTime - RemoteResolution;
    const Duration drift = (receivedAt - offsetAt_) / MaxDriftDivisor;
    offset_ = offset_ ? std::max(*offset_ - drift, bound) : bound;
    offsetAt_ = receivedAt;
    return std::clamp(TimePoint(*offset_ + *remoteTime), sentAt, receivedAt);
}

std::optional<Milliseconds> RemoteClock::remoteTime(TimePoint local) const
{
    return offset_ ? std::optional(std::chrono::ceil<Milliseconds>(local.time_since_epoch() - *offset_)) : std::nullopt;
}

std::optional<TimePoint> RemoteClock::localTime(Milliseconds remote) const
{
    return offset_ ? std::optional(TimePoint(*offset_ + remote)) : std::nullopt;
}

}
