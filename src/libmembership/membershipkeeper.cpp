#include "membershipkeeper.h"

#include "rendezvous.h"

#include <algorithm>

namespace Chestnutcove {

MembershipKeeper::MembershipKeeper(GatewayMember self, MembershipKeeperOptions options, TimePoint now)
    : self_(std::move(self))
    , options_(options)
    , rejoinDelay_(options.rejoinDelay)
    , joinAfter_(now)
{
}

void MembershipKeeper::setRow(const MembershipRow &row, TimePoint now)
{
    if (hasRow_ && row.epoch <= row_.epoch) {
        return;
    }
    const bool wasMember = isMember();
    row_ = row;
    hasRow_ = true;
    if (wasMember && !isMember() && !leaving_) {
        joinAfter_ = now + rejoinDelay_;
        rejoinDelay_ = std::min(rejoinDelay_ * 2, options_.maxRejoinDelay);
    }
    std::erase_if(memberSince_, [&row](const auto &item) { return row.findMember(item.first) == nullptr; });
    for (const std::string &name : row.memberNames()) {
        memberSince_.try_emplace(name, now);
    }
}

void MembershipKeeper::onPeerState(const GatewayIdentity &identity, const std::vector<std::string> &suspects, TimePoint now)
{
    peerStates_[identity.name] = PeerState{identity.incarnation, now, suspects};
}

void MembershipKeeper::setVms(const std::map<std::string, VmState> &vms)
{
    for (const auto &[name, state] : vms_) {
        if (!vms.contains(name)) {
            goneVms_.insert(name);
        }
    }
    for (const auto &[name, state] : vms) {
        goneVms_.erase(name);
    }
    vms_ = vms;
}

void MembershipKeeper::leave()
{
    leaving_ = true;
}

bool MembershipKeeper::isMember() const
{
    return row_.contains(self_.identity);
}

bool MembershipKeeper::isUnresponsive(const std::string &name, TimePoint now) const
{
    const GatewayMember *member = row_.findMember(name);
    const auto since = memberSince_.find(name);
    if (member == nullptr || since == memberSince_.end()) {
        return false;
    }
    TimePoint last = since->second;
    const auto it = peerStates_.find(name);
    if (it != peerStates_.end() && it->second.incarnation == member->identity.incarnation) {
        last = std::max(last, it->second.receivedAt);
    }
    return now - last > options_.unresponsiveAfter;
}

std::vector<std::string> MembershipKeeper::suspects(TimePoint now) const
{
    std::vector<std::string> result;
    for (const std::string &name : row_.memberNames()) {
        if (name != self_.identity.name && isUnresponsive(name, now)) {
            result.push_back(name);
        }
    }
    return result;
}

bool MembershipKeeper::hasWatcherMajority(const std::string &name, TimePoint now) const
{
    std::vector<std::string> others = row_.memberNames();
    std::erase(others, name);
    const auto watchers = rendezvous("watchers of " + name, std::move(others), MaxWatchers);
    const auto agreeingCount = std::count_if(watchers.begin(), watchers.end(), [&](const std::string &watcher) {
        if (watcher == self_.identity.name) {
            return isUnresponsive(name, now);
        }
        const auto it = peerStates_.find(watcher);
        if (it == peerStates_.end() || now - it->second.receivedAt > options_.unresponsiveAfter) {
            return false;
        }
        const auto &suspects = it->second.suspects;
        return std::find(suspects.begin(), suspects.end(), name) != suspects.end();
    });
    return !watchers.empty() && static_cast<std::size_t>(agreeingCount) >= watchers.size() / 2 + 1;
}

std::optional<MembershipRow> MembershipKeeper::proposal(const std::vector<GatewayIdentity> &stopped, TimePoint now)
{
    if (!hasRow_) {
        return std::nullopt;
    }
    if (leaving_) {
        return isMember() ? std::optional(row_.withoutMember(self_.identity.name)) : std::nullopt;
    }
    if (!isMember()) {
        return now >= joinAfter_ ? std::optional(row_.withMember(self_)) : std::nullopt;
    }
    for (const std::string &name : row_.memberNames()) {
        if (name == self_.identity.name) {
            continue;
        }
        const bool vmGone = goneVms_.contains(name) && isUnresponsive(name, now);
        if (vmGone || (isUnresponsive(name, now) && hasWatcherMajority(name, now))) {
            return row_.withoutMember(name);
        }
    }
    MembershipRow pruned = row_;
    std::erase_if(pruned.retired, [&stopped](const RetiredMember &member) {
        return std::find(stopped.begin(), stopped.end(), member.identity) != stopped.end();
    });
    constexpr std::size_t MinRetiredToPrune = 8;
    if (row_.retired.size() >= MinRetiredToPrune && pruned.retired.size() < row_.retired.size()) {
        pruned.epoch = row_.epoch + 1;
        return pruned;
    }
    return std::nullopt;
}

}
