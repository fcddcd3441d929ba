#include "sharegate.h"

#include <algorithm>

namespace Chestnutcove {

ShareGate::ShareGate(GatewayIdentity self, Duration proofLifetime, Duration grantLifetime)
    : self_(std::move(self))
    , proofLifetime_(proofLifetime)
    , grantLifetime_(grantLifetime)
{
}

void ShareGate::setMembership(const MembershipRow &row, TimePoint now)
{
    if (row.epoch <= row_.epoch) {
        return;
    }
    // A process that was taken for stopped may have joined again; from then on it must be waited for anew.
    for (const GatewayMember &member : row.members) {
        stopped_.erase(member.identity);
    }
    // Processes that left between two rows that we saw, without the newer row saying so, have retired too.
    for (const GatewayMember &member : row_.members) {
        if (!row.contains(member.identity)) {
            retire({member.identity, row_.epoch, row_.electors()});
        }
    }
    for (const RetiredMember &member : row.retired) {
        retire(member);
    }
    row_ = row;
    clearSince_.reset();
    noteMovedOn(now);
}

void ShareGate::retire(const RetiredMember &member)
{
    if (stopped_.contains(member.identity)) {
        return;
    }
    const auto [it, inserted] = retired_.try_emplace(member.identity, Retired{member});
    if (!inserted && member.lastEpoch > it->second.member.lastEpoch) {
        it->second = Retired{member};
    }
}

void ShareGate::acknowledged(const GatewayIdentity &identity, std::uint64_t epoch, TimePoint now)
{
    // A late message of a process that has stopped must not make its successor look replaced.
    if (stopped_.contains(identity)) {
        return;
    }
    std::uint64_t &known = acknowledged_[identity];
    known = std::max(known, epoch);
    running_[identity.name] = identity.incarnation;
    noteMovedOn(now);
}

void ShareGate::vmGone(const std::string &name)
{
    goneVms_.insert(name);
}

void ShareGate::noteMovedOn(TimePoint now)
{
    for (auto &item : retired_) {
        Retired &retired = item.second;
        if (retired.movedOnAt == TimePoint::max() && electorsMovedOn(retired.member)) {
            retired.movedOnAt = now;
        }
    }
}

bool ShareGate::electorsMovedOn(const RetiredMember &member) const
{
    const auto knowsNewer = [&](const std::string &name) {
        if (name == self_.name) {
            return row_.epoch > member.lastEpoch;
        }
        return std::any_of(acknowledged_.begin(), acknowledged_.end(), [&](const auto &item) {
            return item.first.name == name && item.second > member.lastEpoch;
        });
    };
    const auto moved = std::count_if(member.electors.begin(), member.electors.end(), knowsNewer);
    return static_cast<std::size_t>(moved) >= member.electors.size() / 2 + 1;
}

bool ShareGate::isStopped(const Retired &retired, TimePoint now) const
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
    const auto running = running_.find(identity.name);
    const GatewayMember *successor = row_.find(identity.name);
    const bool replaced = (running != running_.end() && running->second != identity.incarnation)
        || (successor != nullptr && successor->identity.incarnation != identity.incarnation);
    if (replaced) {
        return true;
    }
    return retired.movedOnAt != TimePoint::max() && now - retired.movedOnAt >= proofLifetime_;
}

std::vector<GatewayIdentity> ShareGate::pending() const
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

bool ShareGate::isSettled(TimePoint now)
{
    std::erase_if(retired_, [&](const auto &item) {
        const bool stopped = isStopped(item.second, now);
        if (stopped && !row_.contains(item.first)) {
            stopped_.insert(item.first);
        }
        return stopped;
    });
    if (row_.epoch == 0 || !pending().empty()) {
        clearSince_.reset();
        return false;
    }
    if (!clearSince_) {
        clearSince_ = now;
    }
    return now - *clearSince_ >= grantLifetime_;
}

double ShareGate::fractionFor(const std::string &customer, TimePoint now)
{
    const auto holders = shareHolders(customer, row_);
    const bool holds = row_.contains(self_) && std::find(holders.begin(), holders.end(), self_.name) != holders.end();
    const double full = holds ? 1.0 / static_cast<double>(holders.size()) : 0;
    double &current = fractions_[customer];
    current = isSettled(now) ? full : std::min(current, full);
    return current;
}

std::vector<GatewayIdentity> ShareGate::confirmedStopped(TimePoint now) const
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
