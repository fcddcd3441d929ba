/**
 * Decides on behalf of the lease holder when to store a new division of the quotas and when the stored division is settled. The gateways
 * that are live and not stopping hold the shares; a change among them causes a new division as soon as the stored one is settled.
 */
#pragma once

#include "gatewaystatus.h"
#include "quotadivision.h"
#include "quotashares.h"
#include "timepoint.h"

#include <map>
#include <optional>
#include <string>

namespace Chestnutcove {

struct QuotaDividerOptions
{
    /** Time after a division was first read at which it counts as settled, even if some gateways have not reported it. */
    Duration settleTime = QuotaShareOptions{}.settleTime;
};

class QuotaDivider
{
public:
    explicit QuotaDivider(QuotaDividerOptions options);

    void onDivisionRead(const QuotaDivision &division, TimePoint now);
    /** The division that should replace the stored one, if any. @param gateways those that are live or expected to return, by VM. */
    std::optional<QuotaDivision> nextDivision(const std::map<std::string, GatewayStatus> &gateways, TimePoint now) const;
    /** The division that was last read; its number is 0 if none is stored. */
    const QuotaDivision &current() const;

private:
    bool isSettled(const std::map<std::string, GatewayStatus> &gateways, TimePoint now) const;

    QuotaDividerOptions options_;
    QuotaDivision current_;
    /** When the current division was first read. */
    TimePoint firstReadAt_{};
};

inline const QuotaDivision &QuotaDivider::current() const
{
    return current_;
}

}
