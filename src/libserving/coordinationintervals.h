/**
 * Intervals of the calls to the store by which a gateway takes part in the coordination of the fleet. They grow with the number of
 * gateways, so that the calls of all gateways together grow more slowly than the fleet.
 */
#pragma once

#include "timepoint.h"

#include <cstddef>

namespace Chestnutcove {

/** Number of gateways that stand ready to take over the duties; the others would do so only if all of these were gone. */
inline constexpr std::size_t MaxDutyCandidates = 4;

struct CoordinationIntervals
{
    /** Time between two reads of the lease. */
    Milliseconds leaseRead{1000};
    /** Time between two writes of the gateway's status, its heartbeat. */
    Milliseconds status{2000};
    /** Time between two writes of usage figures of the current window. */
    Milliseconds usageWrite{1500};
    /** Time without a change of its status after which a gateway counts as unresponsive. */
    Milliseconds unresponsiveTimeout{5500};

    /**
     * @param gateways number of gateways.
     * @param isDutyCandidate whether the gateway holds the lease or stands ready to take it over.
     * @param usageWindow figures are written at least once in each.
     */
    static CoordinationIntervals of(std::size_t gateways, bool isDutyCandidate, Milliseconds usageWindow);
};

}
