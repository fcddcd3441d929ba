#include "quotadivider.h"

#include <algorithm>

namespace Chestnutcove {

QuotaDivider::QuotaDivider(QuotaDividerOptions options)
    : options_(options)
{
}

void QuotaDivider::observed(const QuotaDivision &division, TimePoint now)
{
    if (division.number != current_.number) {
        since_ = now;
    }
    current_ = division;
}

bool QuotaDivider::isSettled(const std::map<std::string, GatewayStatus> &gateways, TimePoint now) const
{
    if (now - since_ >= options_.settleTime) {
        return true;
    }
    // Only those that had a part before may still act on it.
    return std::all_of(current_.vmsBefore.begin(), current_.vmsBefore.end(), [&](const std::string &vm) {
        const auto it = gateways.find(vm);
        return it != gateways.end() && it->second.divisionSeen >= current_.number;
    });
}

std::optional<QuotaDivision> QuotaDivider::next(const std::map<std::string, GatewayStatus> &gateways, TimePoint now) const
{
    const bool isFirst = current_.number == 0;
    if (!isFirst && !current_.settled) {
        if (!isSettled(gateways, now)) {
            return std::nullopt;
        }
        QuotaDivision settled = current_;
        settled.settled = true;
        return settled;
    }
    std::map<std::string, CustomerDemand> demand;
    std::set<std::string> away;
    for (const auto &[vm, status] : gateways) {
        demand[vm] = status.demand;
        if (status.isAway) {
            away.insert(vm);
        }
    }
    if (demand.empty()) {
        return std::nullopt;
    }
    QuotaDivision wanted = current_.next(divideQuotas(demand, away));
    const bool gatewaysChanged = wanted.vms != current_.vms;
    const bool dwelt = now - since_ >= options_.dwell;
    if (!isOutdated(current_, wanted) || (!gatewaysChanged && !dwelt)) {
        return std::nullopt;
    }
    // Where there is no division yet, nobody spends from one.
    wanted.settled = isFirst;
    return wanted;
}

}
