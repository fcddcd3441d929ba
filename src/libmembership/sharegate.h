/**
 * Decides which part of a customer's rate this gateway may spend after the membership changed.
 *
 * A share may grow only when no process of an earlier epoch can spend by the earlier division any more: each has acknowledged the current
 * epoch, or is known to have stopped. A removed process has stopped when its VM is gone, when a newer process of its name runs, or when its
 * proofs have run out: a majority of its epoch's electors know a newer epoch, so that nobody vouches for it, and the lifetime of a proof
 * has passed since.
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

class ShareGate
{
public:
    /**
     * @param proofLifetime StoreProof's lifetime with the margin for clock drift.
     * @param grantLifetime how long tokens that were granted by an earlier division may still be spent.
     */
    ShareGate(GatewayIdentity self, Duration proofLifetime, Duration grantLifetime);

    /** A newer committed row; older ones are ignored. */
    void setMembership(const MembershipRow &row, TimePoint now);
    /** A process said that it knows the epoch, and so divides by it or by a newer one. */
    void acknowledged(const GatewayIdentity &identity, std::uint64_t epoch, TimePoint now);
    /** The VM of that name is gone for certain. */
    void vmGone(const std::string &name);

    /** Every earlier division has ended. */
    bool isSettled(TimePoint now);
    /** The part of the customer's rate and burst that may be spent here. */
    double fractionFor(const std::string &customer, TimePoint now);
    /** Retired processes that are known to have stopped; the row need not keep them. */
    std::vector<GatewayIdentity> confirmedStopped(TimePoint now) const;
    /** Processes that hold up the growth of shares, for the state dump. */
    std::vector<GatewayIdentity> pending() const;
    const MembershipRow &membership() const;

private:
    struct Retired
    {
        RetiredMember member;
        /** When a majority of its electors was first known to have moved on. */
        TimePoint movedOnAt = TimePoint::max();
    };

    void retire(const RetiredMember &member);
    void noteMovedOn(TimePoint now);
    /** A majority of those who could vouch for the member knows a newer epoch than its last. */
    bool electorsMovedOn(const RetiredMember &member) const;
    bool isStopped(const Retired &retired, TimePoint now) const;

    GatewayIdentity self_;
    Duration proofLifetime_;
    Duration grantLifetime_;
    MembershipRow row_;
    /** Retired processes that were found to have stopped. */
    std::set<GatewayIdentity> stopped_;
    /** Since when nothing is pending; unset while something is. */
    std::optional<TimePoint> clearSince_;
    std::map<GatewayIdentity, Retired> retired_;
    /** Highest epoch that each process acknowledged. */
    std::map<GatewayIdentity, std::uint64_t> acknowledged_;
    /** Newest process seen of each name. */
    std::map<std::string, std::uint64_t> running_;
    std::set<std::string> goneVms_;
    /** What may be spent at present, by customer, while growth is held up. */
    std::map<std::string, double> fractions_;
};

inline const MembershipRow &ShareGate::membership() const
{
    return row_;
}

}
