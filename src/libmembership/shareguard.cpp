#include "shareguard.h"

#include <algorithm>

namespace Chestnutcove {

ShareGuard::ShareGuard(GatewayIdentity self, Duration readLifetime, Duration grantLifetime)
    : self_(std::move(self))
    , readLifetime_(readLifetime)
    , grantLifetime_(grantLifetime)
{
}

void ShareGuard::setMembership(const MembershipRow &row, TimePoint now)
{
    if (row.epoch <= row_.epoch) {
        return;
    }
    // A process that was considered stopped may have joined again. From then on its acknowledgement is required again.
    for (const GatewayMember &member : row.members) {
        stopped_.erase(member.identity);
    }
    // Processes that are missing in the newer row without being listed there as retired have retired too.
    for (const GatewayMember &member : row_.members) {
        if (!row.contains(member.identity)) {
            addRetired({member.identity, row_.epoch, row_.electors()});
        }
    }
    for (const RetiredMember &member : row.retired) {
        addRetired(member);
    }
    row_ = row;
    nonePendingSince_.reset();
    recordSupersededEpochs(now);
}

void ShareGuard::addRetired(const RetiredMember &member)
{
    if (stopped_.contains(member.identity)) {
        return;
    }
    const auto [it, inserted] = retired_.try_emplace(member.identity, RetiredState{member});
    if (!inserted && member.lastEpoch > it->second.member.lastEpoch) {
        it->second = RetiredState{member};
    }
}

void ShareGuard::onEpochAcknowledged(const GatewayIdentity &identity, std::uint64_t epoch, TimePoint now)
{
    // A delayed message of a stopped process must not make its successor appear as the replaced one.
    if (stopped_.contains(identity)) {
        return;
    }
    std::uint64_t &known = acknowledged_[identity];
    known = std::max(known, epoch);
    newestIncarnations_[identity.name] = identity.incarnation;
    recordSupersededEpochs(now);
}

void ShareGuard::onVmGone(const std::string &name)
{
    goneVms_.insert(name);
}

void ShareGuard::recordSupersededEpochs(TimePoint now)
{
    for (auto &item : retired_) {
        RetiredState &retired = item.second;
        if (retired.supersededAt == TimePoint::max() && isLastEpochSuperseded(retired.member)) {
            retired.supersededAt = now;
        }
    }
}

bool ShareGuard::isLastEpochSuperseded(const RetiredMember &member) const
{
    const auto knowsNewerEpoch = [&](const std::string &name) {
        if (name == self_.name) {
            return row_.epoch > member.lastEpoch;
        }
        return std::any_of(acknowledged_.begin(), acknowledged_.end(), [&](const auto &item) {
            return item.first.name == name && item.second > member.lastEpoch;
        });
    };
    const auto newerCount = std::count_if(member.electors.begin(), member.electors.end(), knowsNewerEpoch);
    return static_cast<std::size_t>(newerCount) >= member.electors.size() / 2 + 1;
}

bool ShareGuard::isStopped(const RetiredState &retired, TimePoint now) const
{
    const GatewayIdentity &identity = retired.member.identity;
    if (identity == self_) {
        return true;
    }
    const auto acknowledged = acknowledged_.find(identity);
    if (acknowledged != acknowledged_.end() && acknowledged->second > retired.member.lastEpoch) {
        return true;
    }
    if (goneVms_.contains(identity.name)) {
        return true;
    }
    const auto running = newestIncarnations_.find(identity.name);
    const GatewayMember *successor = row_.findMember(identity.name);
    const bool replaced = (running != newestIncarnations_.end() && running->second != identity.incarnation)
        || (successor != nullptr && successor->identity.incarnation != identity.incarnation);
    if (replaced) {
        return true;
    }
    return retired.supersededAt != TimePoint::max() && now - retired.supersededAt >= readLifetime_;
}

std::vector<GatewayIdentity> ShareGuard::pendingProcesses() const
{
    std::vector<GatewayIdentity> result;
    for (const GatewayMember &member : row_.members) {
        const auto it = acknowledged_.find(member.identity);
        if (member.identity != self_ && (it == acknowledged_.end() || it->second < row_.epoch)) {
            result.push_back(member.identity);
        }
    }
    for (const auto &[identity, retired] : retired_) {
        result.push_back(identity);
    }
    return result;
}

bool ShareGuard::isSettled(TimePoint now)
{
    std::erase_if(retired_, [&](const auto &item) {
        const bool stopped = isStopped(item.second, now);
        if (stopped && !row_.contains(item.first)) {
            stopped_.insert(item.first);
        }
        return stopped;
    });
    if (row_.epoch == 0 || !pendingProcesses().empty()) {
        nonePendingSince_.reset();
        return false;
    }
    if (!nonePendingSince_) {
        nonePendingSince_ = now;
    }
    return now - *nonePendingSince_ >= grantLifetime_;
}

double ShareGuard::spendableFraction(const std::string &customer, TimePoint now)
{
    const auto holders = shareHolders(customer, row_);
    const bool holds = row_.contains(self_) && std::find(holders.begin(), holders.end(), self_.name) != holders.end();
    const double full = holds ? 1.0 / static_cast<double>(holders.size()) : 0;
    double &current = fractions_[customer];
    current = isSettled(now) ? full : std::min(current, full);
    return current;
}

std::vector<GatewayIdentity> ShareGuard::confirmedStoppedProcesses(TimePoint now) const
{
    std::vector<GatewayIdentity> result;
    for (const RetiredMember &member : row_.retired) {
        const auto it = retired_.find(member.identity);
        if (it == retired_.end() || isStopped(it->second, now)) {
            result.push_back(member.identity);
        }
    }
    return result;
}

}
