/**
 * The limits that endpoints in need name in their answers: requests a second from all gateways together. A limit holds for one run of an
 * endpoint, until a later answer of that run names another one or none.
 */
#pragma once

#include "endpointrecord.h"
#include "timepoint.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace Chestnutcove {

class EndpointLimits
{
public:
    /** Identifies a run of an endpoint. */
    static std::string runOf(const EndpointRecord &endpoint);

    /**
     * An answer of the run, whose head was received at @p seenAt by this or another gateway, named this limit or none. Answers are taken in
     * the order of their heads, so one that is older than the newest known is ignored.
     * @param perSecond requests a second.
     * @return whether the limit has changed.
     */
    bool observe(const std::string &run, std::optional<double> perSecond, TimePoint seenAt);
    /** Requests a second, or nothing if the run names no limit. */
    std::optional<double> limitOf(const std::string &run) const;
    void remove(const std::string &run);

private:
    struct Observation
    {
        std::optional<double> perSecond;
        TimePoint seenAt;
    };

    /** By run; kept where no limit is named too, so that an older answer doesn't bring one back. */
    std::unordered_map<std::string, Observation> observations_;
};

}
