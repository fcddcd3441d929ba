/**
 * The limits that endpoints in need name in their answers: requests a second from all gateways together. A limit holds for one run of an
 * endpoint, until a later answer of that run names another one or none. The gateways share it like a customer's quota (see QuotaDivision):
 * each request takes a unit from a holder of the limit before it is sent.
 */
#pragma once

#include "endpointrecord.h"
#include "quotacollector.h"
#include "quotashares.h"
#include "ratelimit.h"
#include "timepoint.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Chestnutcove {

class EndpointLimits
{
public:
    /** What the head of an answer said. */
    struct Observation
    {
        /** Requests a second, or nothing if the endpoint named no limit. */
        std::optional<double> perSecond;
        /** When this or another gateway received the head. */
        TimePoint seenAt;
    };

    /** Identifies a run of an endpoint. */
    static std::string runOf(const EndpointRecord &endpoint);
    /** How gateways share these limits. */
    static QuotaShareOptions shareOptions();
    static QuotaCollectorOptions collectorOptions();
    /** How long a gateway whose request got no unit sends no other and asks for no other unit. */
    static Duration pauseAfter(const QuotaVerdict &verdict);

    /**
     * Answers are taken in the order of their heads: an observation that is older than the newest known is ignored.
     * @return whether the limit has changed.
     */
    bool observe(const std::string &run, const Observation &observation);
    /** The newest observation of the run, if there is one. */
    std::optional<Observation> newestOf(const std::string &run) const;
    /** The run's limit as the gateways share it, or null if it names none. Valid until the next observation of the run. */
    const RateLimit *find(const std::string &run) const;
    /** The newest observations of runs that name a limit, or whose limit ended not long ago. */
    std::map<std::string, Observation> recentLimits(TimePoint now) const;
    /** Number of runs that name a limit. */
    std::size_t limitedRuns() const;

    /** No unit of the limit is to be had before that time. */
    void onUsedUp(const std::string &run, TimePoint until);
    /** The time from which on the run's limit may have units. */
    TimePoint usedUpUntil(const std::string &run) const;

    void remove(const std::string &run);
    /** Forgets runs of which nothing was observed for long. */
    void removeStale(TimePoint now);

private:
    struct Entry
    {
        Observation newest;
        /** When the limit was seen to end; nothing if it hasn't, or if there never was one. */
        std::optional<TimePoint> endedAt;
        /** Valid while the run names a limit. */
        RateLimit shared;
        TimePoint usedUpUntil{};
    };

    /** By run; kept where no limit is named too, so that an older observation doesn't bring one back. */
    std::unordered_map<std::string, Entry> entries_;
    std::size_t limitedRuns_ = 0;
};

inline std::size_t EndpointLimits::limitedRuns() const
{
    return limitedRuns_;
}

}
