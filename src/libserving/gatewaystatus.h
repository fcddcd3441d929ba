/**
 * The status row that each gateway writes to the store as its heartbeat, with its recent workload, and the detection of
 * unresponsive gateways from these rows.
 */
#pragma once

#include "stageplanner.h"
#include "timepoint.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>

namespace Chestnutcove {

struct GatewayStatus
{
    std::uint64_t incarnation = 0;
    /** Incremented with each write of the row by one run of the process. */
    std::uint64_t heartbeat = 0;
    /** "IP:port" at which other gateways ask this one for units of quotas; empty while it doesn't listen. */
    std::string address;
    /** The process is stopping and holds no shares of quotas any more. */
    bool isLeaving = false;
    /** By service. */
    std::map<std::string, EngineWork> work;
    /** The last usage window of which all figures are stored. */
    std::uint64_t usageStoredThrough = 0;
    /** The row has not changed for some time; the gateway is taken to handle no requests. Not stored. */
    bool isUnresponsive = false;
    /** Number of the quota division that the gateway applies. */
    std::uint64_t divisionSeen = 0;

    std::string toText() const;
    static absl::StatusOr<GatewayStatus> fromText(const std::string &text);
};

/** Detects from the status rows which gateways are live: those whose row changed within a timeout. */
class GatewayLiveness
{
public:
    /**
     * @param timeout time without a change of its row after which a gateway counts as unresponsive.
     * @param retention time without a change after which it is no longer expected to return.
     */
    GatewayLiveness(Duration timeout, Duration retention);
    /** Gateways write their rows at intervals that depend on their number. */
    void setTimeout(Duration timeout);

    /** Takes over the rows that were read. Time in which no rows were read doesn't count as time without a change. */
    void update(const std::map<std::string, GatewayStatus> &statuses, TimePoint now);
    /** The statuses of live gateways, by VM. */
    std::map<std::string, GatewayStatus> liveGateways(TimePoint now) const;
    /** The statuses of gateways that are live or may return, by VM; those of unresponsive gateways have no work. */
    std::map<std::string, GatewayStatus> expectedGateways(TimePoint now) const;
    /** Whether all gateways have stored their usage of a window, leaving out gateways whose row has not changed for @p timeout. */
    bool haveAllStoredUsage(std::uint64_t window, Duration timeout, TimePoint now) const;

private:
    struct Observation
    {
        GatewayStatus status;
        TimePoint changedAt;
    };

    Duration timeout_;
    Duration retention_;
    TimePoint updatedAt_{};
    std::map<std::string, Observation> observations_;
};

}
