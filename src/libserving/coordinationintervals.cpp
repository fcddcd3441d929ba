#include "coordinationintervals.h"

#include <algorithm>

namespace Chestnutcove {

namespace {

/** Up to this many gateways use the shortest intervals. */
constexpr double SmallFleet = 8;
/** A process that is killed loses at most this fraction of the fleet's usage figures of a window, if all gateways are equally busy. */
constexpr double MaxLostUsageFraction = 0.04;
/** A gateway that is not a duty candidate reads the lease this much less often at most. */
constexpr Milliseconds MaxLeaseRead{10000};

Milliseconds scaled(Milliseconds interval, double factor)
{
    return Milliseconds(static_cast<Milliseconds::rep>(static_cast<double>(interval.count()) * factor));
}

}

CoordinationIntervals CoordinationIntervals::of(std::size_t gateways, bool isDutyCandidate, Milliseconds usageWindow)
{
    const double count = static_cast<double>(gateways);
    CoordinationIntervals intervals;
    // A status is written at the end of each usage window in any case.
    const double missedStatuses = toSeconds(intervals.unresponsiveTimeout) / toSeconds(intervals.status);
    const Milliseconds longestStatus = std::max(intervals.status, usageWindow);
    intervals.status = std::min(scaled(intervals.status, std::max(count / SmallFleet, 1.0)), longestStatus);
    intervals.unresponsiveTimeout = scaled(intervals.status, missedStatuses);
    const Milliseconds tolerableLoss = scaled(usageWindow, MaxLostUsageFraction * count);
    intervals.usageWrite = std::max(intervals.usageWrite, std::min(tolerableLoss, usageWindow));
    if (!isDutyCandidate) {
        const double groups = count / static_cast<double>(MaxDutyCandidates);
        intervals.leaseRead = std::min(scaled(intervals.leaseRead, std::max(groups, 1.0)), MaxLeaseRead);
    }
    return intervals;
}

}
