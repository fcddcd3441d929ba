/**
 * Knows the limits that endpoints name in their answers.
 */
#pragma once

#include "endpointlimits.h"
#include "endpointrecord.h"
#include "log.h"
#include "metrics.h"
#include "outgoingcall.h"

#include <cstdint>
#include <map>
#include <string>

namespace Chestnutcove {

class EndpointAdmission
{
public:
    EndpointAdmission(Metrics &metrics, const Log &log);

    /** The head of the call's answer has arrived. */
    void onAnswer(const OutgoingCall &call);
    void removeEndpoint(const EndpointRecord &endpoint);

private:
    const Log &log_;
    EndpointLimits limits_;
    /** Answers of runs of endpoints that name a limit, since that changed last. */
    std::map<std::string, std::uint64_t> answers_;
};

}
