/**
 * Decides when this gateway proposes a change of the membership row: to join, to remove a member that is gone, to leave, to drop retired
 * processes that are known to have stopped.
 */
#pragma once

#include "membershiprow.h"
#include "timepoint.h"
#include "vmstate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Chestnutcove {

/** Gateways that watch one member; a majority of them must find it silent before it is removed. */
inline constexpr std::size_t MaxWatchers = 5;

struct MembershipKeeperOptions
{
    /** Silence after which a member is suspected. */
    Duration silence = std::chrono::seconds(3);
    /** Pause after this gateway was removed before it joins again; doubles with each removal. */
    Duration rejoinDelay = std::chrono::seconds(2);
    Duration maxRejoinDelay = std::chrono::seconds(30);
};

class MembershipKeeper
{
public:
    MembershipKeeper(GatewayMember self, MembershipKeeperOptions options, TimePoint now);

    /** The row that is committed; epoch 0 with no members where there is none. */
    void setRow(const MembershipRow &row, TimePoint now);
    void heard(const GatewayIdentity &identity, const std::vector<std::string> &suspects, TimePoint now);
    /** A whole VM list. */
    void setVms(const std::map<std::string, VmState> &vms);
    /** From now on this gateway wants to be out. */
    void leave();

    /** Members that this gateway has not heard from for too long. */
    std::vector<std::string> suspects(TimePoint now) const;
    /** VMs that were in the list and are no longer. */
    const std::set<std::string> &goneVms() const;
    /** The row to commit in place of the current one, or nothing. */
    std::optional<MembershipRow> proposal(const std::vector<GatewayIdentity> &stopped, TimePoint now);
    bool isMember() const;
    const MembershipRow &row() const;

private:
    struct Heard
    {
        std::uint64_t incarnation = 0;
        TimePoint at;
        std::vector<std::string> suspects;
    };

    bool isSilent(const std::string &name, TimePoint now) const;
    bool watchersAgree(const std::string &name, TimePoint now) const;

    GatewayMember self_;
    MembershipKeeperOptions options_;
    MembershipRow row_;
    std::map<std::string, Heard> heard_;
    /** When each member was first seen in the row: silence counts from then. */
    std::map<std::string, TimePoint> memberSince_;
    std::map<std::string, VmState> vms_;
    std::set<std::string> goneVms_;
    bool hasRow_ = false;
    bool leaving_ = false;
    Duration rejoinDelay_;
    TimePoint joinAfter_;
};

inline const std::set<std::string> &MembershipKeeper::goneVms() const
{
    return goneVms_;
}

inline const MembershipRow &MembershipKeeper::row() const
{
    return row_;
}

}
