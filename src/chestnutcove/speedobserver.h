/**
 * Passes what the calls of this gateway show of the endpoints' speed on to EndpointSpeeds, and writes the learned speeds to the metrics.
 */
#pragma once

#include "endpointloads.h"
#include "endpointspeeds.h"
#include "metrics.h"
#include "outgoingcall.h"

namespace Chestnutcove {

class SpeedObserver
{
public:
    SpeedObserver(EndpointSpeeds &speeds, const EndpointLoads &loads, Metrics &metrics);

    /** The call has succeeded and was recorded in the loads as ended. */
    void onPrefilled(const OutgoingCall &call, TimePoint now);

private:
    EndpointSpeeds &speeds_;
    const EndpointLoads &loads_;
};

}
