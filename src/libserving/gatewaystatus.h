/**
 * What a gateway tells the others through its row in the store: that it lives, and what it was asked for lately.
 */
#pragma once

#include "quotashares.h"
#include "stageplan.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>

namespace Chestnutcove {

struct GatewayStatus
{
    std::uint64_t incarnation = 0;
    /** Rises with each write of a run. */
    std::uint64_t beat = 0;
    CustomerDemand demand;
    /** By service. */
    std::map<std::string, EngineWork> work;
    /** The last window whose usage figures are all stored. */
    std::uint64_t usageStoredThrough = 0;
    /** It is silent: it takes no requests now. */
    bool isAway = false;
    /** The division of quotas that it acts on. */
    std::uint64_t divisionSeen = 0;

    std::string toText() const;
    static absl::StatusOr<GatewayStatus> fromText(const std::string &text);
};

/** Tells from the gateways' rows which of them live: those whose row changed within a time. */
class GatewayLiveness
{
public:
    /** @param silence time without a change after which a gateway counts as gone. @param memory time for which it may come back. */
    GatewayLiveness(Duration silence, Duration memory);

    void observed(const std::map<std::string, GatewayStatus> &statuses, TimePoint now);
    /** The statuses of gateways that live, by VM. */
    std::map<std::string, GatewayStatus> living(TimePoint now) const;
    /** The statuses of gateways that live or may come back; those that are silent were asked for nothing. */
    std::map<std::string, GatewayStatus> expected(TimePoint now) const;
    /** Whether all gateways have stored their usage of a window; those whose row did not change for @p silence don't count. */
    bool haveStoredUsage(std::uint64_t window, Duration silence, TimePoint now) const;

private:
    struct Seen
    {
        GatewayStatus status;
        TimePoint changedAt;
    };

    Duration silence_;
    Duration memory_;
    std::map<std::string, Seen> seen_;
};

}
