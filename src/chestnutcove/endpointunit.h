/**
 * The unit of an endpoint's own limit that one request takes before it is sent there.
 */
#pragma once

#include "endpointadmission.h"
#include "endpointrecord.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace Chestnutcove {

class EndpointUnit
{
public:
    /** @param admission outlives the unit. */
    explicit EndpointUnit(EndpointAdmission &admission);

    /** Calls @p onDecided once, possibly within this call, unless cancel() comes first. The handler keeps the owner of this object alive.
     */
    void take(const EndpointRecord &endpoint, std::function<void(bool isTaken)> onDecided);
    /** The request is sent with the unit. */
    void use();
    /** Returns the unit if the request was not sent with it. */
    void returnUnused();
    /** Ends an undecided take(), and returns the unit as returnUnused() does. */
    void cancel();

private:
    EndpointAdmission &admission_;
    /** Set while the unit is asked for. */
    std::optional<std::uint64_t> pending_;
    std::optional<LimitCharge> unit_;
};

}
