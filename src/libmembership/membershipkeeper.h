/**
 * Decides when this gateway proposes a change of the membership row: to join, to leave, to remove another member that is unresponsive (as
 * confirmed by a majority of its watchers or by the removal of its VM), or to drop retired processes that are known to have stopped.
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

/** Number of gateways that watch one member. A majority of them must find it unresponsive before it is removed. */
inline constexpr std::size_t MaxWatchers = 5;

struct MembershipKeeperOptions
{
    /** Time without a message after which a member is suspected. */
    Duration unresponsiveAfter = std::chrono::seconds(3);
    /** Delay before this gateway joins again after it was removed. Doubles with each removal. */
    Duration rejoinDelay = std::chrono::seconds(2);
    Duration maxRejoinDelay = std::chrono::seconds(30);
};

class MembershipKeeper
{
public:
    MembershipKeeper(GatewayMember self, MembershipKeeperOptions options, TimePoint now);

    /** @param row the committed row; one of epoch 0 without members where none is stored. */
    void setRow(const MembershipRow &row, TimePoint now);
    /** A peer reported its state, with the names of the members that it suspects. */
    void onPeerState(const GatewayIdentity &identity, const std::vector<std::string> &suspects, TimePoint now);
    /** @param vms the complete VM list. */
    void setVms(const std::map<std::string, VmState> &vms);
    /** From now on this gateway proposes its own removal and does not join again. */
    void leave();

    /** Members whose last message to this gateway is too long ago. */
    std::vector<std::string> suspects(TimePoint now) const;
    /** VMs that a previous list contained and the latest one does not. */
    const std::set<std::string> &goneVms() const;
    /** The row to commit in place of the current one, or nothing. @param stopped retired processes that are known to have stopped. */
    std::optional<MembershipRow> proposal(const std::vector<GatewayIdentity> &stopped, TimePoint now);
    bool isMember() const;
    const MembershipRow &row() const;

private:
    struct PeerState
    {
        std::uint64_t incarnation = 0;
        TimePoint receivedAt;
        std::vector<std::string> suspects;
    };

    bool isUnresponsive(const std::string &name, TimePoint now) const;
    /** Whether a majority of the member's watchers finds it unresponsive. */
    bool hasWatcherMajority(const std::string &name, TimePoint now) const;

    GatewayMember self_;
    MembershipKeeperOptions options_;
    MembershipRow row_;
    std::map<std::string, PeerState> peerStates_;
    /** When each member was first seen in the row. The time without a message counts from then at the earliest. */
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
