/**
 * Decides which part of a customer's rate this gateway may spend after a change of the membership.
 *
 * A share may grow only when no process can still spend by the division of an earlier epoch: each has acknowledged the current epoch, or is
 * known to have stopped. A removed process has stopped when its VM is gone, when a newer process of its name runs, or when its view of the
 * store has become stale: a majority of its epoch's electors knows a newer epoch, so that they no longer confirm a store outage to it, and
 * the lifetime of a confirmed read has passed since.
 */
#pragma once

#include "membershiprow.h"
#include "timepoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Chestnutcove {

class ShareGuard
{
public:
    /**
     * @param readLifetime lifetime of a confirmed read (see StoreFreshness) plus a margin for clock drift.
     * @param grantLifetime how long tokens that were granted under an earlier division may still be spent.
     */
    ShareGuard(GatewayIdentity self, Duration readLifetime, Duration grantLifetime);

    /** Takes over a committed row that is newer than the current one; older rows are ignored. */
    void setMembership(const MembershipRow &row, TimePoint now);
    /** A process reported that it knows the epoch, so it uses the division of this epoch or of a newer one. */
    void onEpochAcknowledged(const GatewayIdentity &identity, std::uint64_t epoch, TimePoint now);
    /** The VM of that name certainly no longer exists. */
    void onVmGone(const std::string &name);

    /** Whether no division of an earlier epoch is in use any more. */
    bool isSettled(TimePoint now);
    /** The part of the customer's rate and burst that this gateway may spend. */
    double spendableFraction(const std::string &customer, TimePoint now);
    /** Retired processes that are known to have stopped, and that the row need not list any longer. */
    std::vector<GatewayIdentity> confirmedStoppedProcesses(TimePoint now) const;
    /** Processes that prevent shares from growing, for the state dump. */
    std::vector<GatewayIdentity> pendingProcesses() const;
    const MembershipRow &membership() const;

private:
    struct RetiredState
    {
        RetiredMember member;
        /** When a majority of its electors was first known to have a newer epoch. */
        TimePoint supersededAt = TimePoint::max();
    };

    void addRetired(const RetiredMember &member);
    void recordSupersededEpochs(TimePoint now);
    /** Whether a majority of the member's electors knows a newer epoch than the member's last one. */
    bool isLastEpochSuperseded(const RetiredMember &member) const;
    bool isStopped(const RetiredState &retired, TimePoint now) const;

    GatewayIdentity self_;
    Duration readLifetime_;
    Duration grantLifetime_;
    MembershipRow row_;
    /** Retired processes that are known to have stopped. */
    std::set<GatewayIdentity> stopped_;
    /** Since when no process is pending; unset while one is. */
    std::optional<TimePoint> nonePendingSince_;
    std::map<GatewayIdentity, RetiredState> retired_;
    /** Highest epoch that each process acknowledged. */
    std::map<GatewayIdentity, std::uint64_t> acknowledged_;
    /** Incarnation of the newest process seen under each name. */
    std::map<std::string, std::uint64_t> newestIncarnations_;
    std::set<std::string> goneVms_;
    /** Fraction that may be spent at present, by customer. It does not grow while a process is pending. */
    std::map<std::string, double> fractions_;
};

inline const MembershipRow &ShareGuard::membership() const
{
    return row_;
}

}
