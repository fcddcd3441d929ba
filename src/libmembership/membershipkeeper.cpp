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
    std::erase_if(memberSince_, [&row](const auto &item) { return row.find(item.first) == nullptr; });
    for (const std::string &name : row.names()) {
        memberSince_.try_emplace(name, now);
    }
}

void MembershipKeeper::heard(const GatewayIdentity &identity, const std::vector<std::string> &suspects, TimePoint now)
{
    heard_[identity.name] = Heard{identity.incarnation, now, suspects};
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

bool MembershipKeeper::isSilent(const std::string &name, TimePoint now) const
{
    const GatewayMember *member = row_.find(name);
    const auto since = memberSince_.find(name);
    if (member == nullptr || since == memberSince_.end()) {
        return false;
    }
    TimePoint last = since->second;
    const auto it = heard_.find(name);
    if (it != heard_.end() && it->second.incarnation == member->identity.incarnation) {
        last = std::max(last, it->second.at);
    }
    return now - last > options_.silence;
}

std::vector<std::string> MembershipKeeper::suspects(TimePoint now) const
{
    std::vector<std::string> result;
    for (const std::string &name : row_.names()) {
        if (name != self_.identity.name && isSilent(name, now)) {
            result.push_back(name);
        }
    }
    return result;
}

bool MembershipKeeper::watchersAgree(const std::string &name, TimePoint now) const
{
    std::vector<std::string> others = row_.names();
    std::erase(others, name);
    const auto watchers = rendezvous("watchers of " + name, std::move(others), MaxWatchers);
    const auto agreeing = std::count_if(watchers.begin(), watchers.end(), [&](const std::string &watcher) {
        if (watcher == self_.identity.name) {
            return isSilent(name, now);
        }
        const auto it = heard_.find(watcher);
        if (it == heard_.end() || now - it->second.at > options_.silence) {
            return false;
        }
        const auto &suspects = it->second.suspects;
        return std::find(suspects.begin(), suspects.end(), name) != suspects.end();
    });
    return !watchers.empty() && static_cast<std::size_t>(agreeing) >= watchers.size() / 2 + 1;
}

std::optional<MembershipRow> MembershipKeeper::proposal(const std::vector<GatewayIdentity> &stopped, TimePoint now)
{
    if (!hasRow_) {
        return std::nullopt;
    }
    if (leaving_) {
        return isMember() ? std::optional(row_.without(self_.identity.name)) : std::nullopt;
    }
    if (!isMember()) {
        return now >= joinAfter_ ? std::optional(row_.with(self_)) : std::nullopt;
    }
    for (const std::string &name : row_.names()) {
        if (name == self_.identity.name) {
            continue;
        }
        const bool gone = goneVms_.contains(name) && isSilent(name, now);
        if (gone || (isSilent(name, now) && watchersAgree(name, now))) {
            return row_.without(name);
        }
    }
    MembershipRow pruned = row_;
    std::erase_if(pruned.retired, [&stopped](const RetiredMember &member) {
        return std::find(stopped.begin(), stopped.end(), member.identity) != stopped.end();
    });
    constexpr std::size_t PruneAt = 8;
    if (row_.retired.size() >= PruneAt && pruned.retired.size() < row_.retired.size()) {
        pruned.epoch = row_.epoch + 1;
        return pruned;
    }
    return std::nullopt;
}

}
