#include "quotadivider.h"

#include <algorithm>

namespace Chestnutcove {

namespace {

std::vector<GatewayAddress> possibleHolders(const std::map<std::string, GatewayStatus> &gateways)
{
    std::vector<GatewayAddress> result;
    for (const auto &[vm, status] : gateways) {
        if (!status.isUnresponsive && !status.isLeaving && !status.address.empty()) {
            result.push_back({vm, status.address});
        }
    }
    return result;
}

}

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
    const auto holders = possibleHolders(gateways);
    if (holders.empty() || holders == current_.gateways) {
        return std::nullopt;
    }
    QuotaDivision wanted = current_.successor(holders);
    // Before the first division no gateway spends anything, so there is no previous share to wait for.
    wanted.settled = isFirst;
    return wanted;
}

}
