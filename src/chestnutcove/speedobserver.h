/**
 * Passes what the calls of this gateway show of the endpoints' speed on to EndpointSpeeds, and writes the learned speeds to the metrics.
 */
#pragma once

#include "endpointloads.h"
#include "endpointspeeds.h"
#include "metrics.h"
#include "outgoingcall.h"

#include <cstdint>
#include <string>

namespace Chestnutcove {

class SpeedObserver
{
public:
    SpeedObserver(EndpointSpeeds &speeds, const EndpointLoads &loads, Metrics &metrics);

    /** The call has succeeded and was recorded in the loads as ended. */
    void onPrefilled(const OutgoingCall &call, TimePoint now);
    /** A run has succeeded. @param route that the request came by. */
    void onRunAnswered(const OutgoingCall &call, const std::string &route, std::uint64_t maxOutputTokens, TimePoint now);

private:
    EndpointSpeeds &speeds_;
    const EndpointLoads &loads_;
};

}
