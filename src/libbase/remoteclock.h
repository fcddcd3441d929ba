/**
 * Maps the steady clock of another process to the local one. Each exchange of a call and its answer bounds the difference of both clocks;
 * the mapping keeps the tightest bound, less an allowance for clocks that don't run at the same rate.
 */
#pragma once

#include "timepoint.h"

#include <optional>

namespace Chestnutcove {

class RemoteClock
{
public:
    /**
     * The local time at which the remote process read its clock, estimated early rather than late.
     * @param sentAt, @p receivedAt local times of the call and its answer; the result lies between them.
     * @param remoteTime the time that the answer states; without it the result is @p sentAt.
     */
    TimePoint readingTime(TimePoint sentAt, std::optional<Milliseconds> remoteTime, TimePoint receivedAt);
    /** What the remote clock showed at a local time, estimated late rather than early; nothing before the first exchange. */
    std::optional<Milliseconds> remoteTime(TimePoint local) const;
    /** The local time at which the remote clock showed this, estimated early rather than late; nothing before the first exchange. */
    std::optional<TimePoint> localTime(Milliseconds remote) const;

private:
    /** Lower bound of local time minus remote time, and the local time at which it was determined. */
    std::optional<Duration> offset_;
    TimePoint offsetAt_{};
};

}
