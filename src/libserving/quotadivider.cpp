#include "quotadivider.h"

#include <algorithm>

namespace Chestnutcove {

QuotaDivider::QuotaDivider(QuotaDividerOptions options)
    : options_(options)
{
}

void QuotaDivider::onDivisionRead(const QuotaDivision &division, TimePoint now)
{
    if (division.number != current_.number) {
        firstReadAt_ = now;
    }
    current_ = division;
}

bool QuotaDivider::isSettled(const std::map<std::string, GatewayStatus> &gateways, TimePoint now) const
{
    if (now - firstReadAt_ >= options_.settleTime) {
        return true;
    }
    // Only gateways that had a share in the previous division may still apply it.
    return std::all_of(current_.previousVms.begin(), current_.previousVms.end(), [&](const std::string &vm) {
        const auto it = gateways.find(vm);
        return it != gateways.end() && it->second.divisionSeen >= current_.number;
    });
}

std::optional<QuotaDivision> QuotaDivider::nextDivision(const std::map<std::string, GatewayStatus> &gateways, TimePoint now) const
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
    std::set<std::string> unresponsive;
    for (const auto &[vm, status] : gateways) {
        demand[vm] = status.demand;
        if (status.isUnresponsive) {
            unresponsive.insert(vm);
        }
    }
    if (demand.empty()) {
        return std::nullopt;
    }
    QuotaDivision wanted = current_.successor(divideQuotas(demand, unresponsive));
    const bool gatewaysChanged = wanted.vms != current_.vms;
    const bool intervalElapsed = now - firstReadAt_ >= options_.minInterval;
    if (!isOutdated(current_, wanted) || (!gatewaysChanged && !intervalElapsed)) {
        return std::nullopt;
    }
    // Before the first division no gateway spends anything, so there is no previous share to wait for.
    wanted.settled = isFirst;
    return wanted;
}

}
