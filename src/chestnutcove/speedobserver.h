/**
 * Passes what the calls of this gateway show of the endpoints' speed on to EndpointSpeeds, and writes the learned speeds to the metrics.
 */
#pragma once

#include "endpointloads.h"
#include "endpointspeeds.h"
#include "metrics.h"
#include "outgoingcall.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Chestnutcove {

class SpeedObserver
{
public:
    using ColdCheck = std::function<bool(const EndpointRecord &endpoint, TimePoint now)>;

    /** @param isCold whether the endpoint is cold; its calls show nothing of its usual speed then. */
    SpeedObserver(EndpointSpeeds &speeds, const EndpointLoads &loads, ColdCheck isCold, Metrics &metrics);

    /** The call has succeeded and was recorded in the loads as ended. */
    void onPrefilled(const OutgoingCall &call, TimePoint now);
    /** A run has succeeded. @param route that the request came by. */
    void onRunAnswered(const OutgoingCall &call, const std::string &route, std::uint64_t maxOutputTokens, TimePoint now);

private:
    EndpointSpeeds &speeds_;
    const EndpointLoads &loads_;
    ColdCheck isCold_;
};

}
