/**
 * The lease holder's decisions about the division of quotas: when a new one is worth storing, and when the stored one is settled. A gateway
 * that stops or is silent keeps a small part for a while, so that it can serve as soon as it is back.
 */
#pragma once

#include "gatewaystatus.h"
#include "quotashares.h"
#include "timepoint.h"

#include <map>
#include <optional>
#include <string>

namespace Chestnutcove {

struct QuotaDividerOptions
{
    /** Time between two divisions because of demand; changes of the gateways don't wait. */
    Duration dwell = std::chrono::seconds(3);
    /** Time after which a division that was seen is settled, whoever has not told of it. */
    Duration settleTime = QuotaShareOptions{}.settleTime;
};

class QuotaDivider
{
public:
    explicit QuotaDivider(QuotaDividerOptions options);

    /** The stored division was read. */
    void observed(const QuotaDivision &division, TimePoint now);
    /** The division to store in the place of the one that was read, if any. */
    std::optional<QuotaDivision> next(const std::map<std::string, GatewayStatus> &gateways, TimePoint now) const;
    /** Number 0 where none is stored. */
    const QuotaDivision &current() const;

private:
    bool isSettled(const std::map<std::string, GatewayStatus> &gateways, TimePoint now) const;

    QuotaDividerOptions options_;
    QuotaDivision current_;
    /** When the division with this number was first read. */
    TimePoint since_{};
};

inline const QuotaDivision &QuotaDivider::current() const
{
    return current_;
}

}
