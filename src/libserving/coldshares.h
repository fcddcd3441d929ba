/**
 * How many requests this gateway may send a cold endpoint in a second. A few gateways of the division are chosen for each run of an
 * endpoint by rendezvous hashing, and share what the endpoint tolerates equally. No messages are exchanged.
 *
 * Gateways may hold different divisions. While others may still apply the previous division, a gateway uses the smaller one of its two
 * shares, or else its part of the margin between the rate and the bound. A gateway that has not confirmed its division for long uses
 * only its part of the margin, since its successors use the whole rate. The margin is what keeps the endpoint in use where the
 * gateways chosen before and now are all different.
 */
#pragma once

#include "quotadivision.h"
#include "timepoint.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

/** What one cold endpoint may receive from all gateways together. */
struct ColdLimit
{
    /** Requests a second that the endpoint tolerates. */
    double perSecond = 0;
    /** Requests in any second that must not be exceeded; at least the rate. */
    double bound = 0;
};

class ColdShares
{
public:
    /** This gateway's shares of one run under one division. */
    struct Share
    {
        /** Of the rate. */
        std::size_t whole = 0;
        /** Of the margin, at most the whole share. */
        std::size_t margin = 0;
    };

    /** The shares of one run; they hold until generation() changes. */
    struct RunShares
    {
        Share current;
        Share previous;
    };

    /** @param vm name of this gateway. @param maxAge time after which a division that was not confirmed may have been succeeded. */
    ColdShares(std::string vm, Duration maxAge);

    /** @param readAt a time at which the division was the stored one. */
    void onDivisionRead(const QuotaDivision &division, TimePoint readAt, TimePoint now);
    /** The division that was read last was still the stored one at @p readAt. */
    void onDivisionConfirmed(TimePoint readAt);
    /** Without a division this gateway sends nothing if one is required, or else the margin of a gateway that is alone. */
    void setDivisionRequired(bool isRequired);

    /** Rises with each change of the division. */
    std::uint64_t generation() const;
    RunShares sharesOf(const std::string &run, const ColdLimit &limit) const;
    /** Requests of those shares that this gateway may send in any second. */
    std::size_t allowedOf(const RunShares &shares, TimePoint now) const;
    /** Requests that this gateway may send the run in any second. */
    std::size_t shareOf(const std::string &run, const ColdLimit &limit, TimePoint now) const;
    /** Number of gateways that are chosen for a run. */
    static std::size_t chosenCount(double perSecond, std::size_t gateways);

private:
    Share shareAmong(const std::vector<std::string> &vms, const std::string &run, const ColdLimit &limit) const;
    /** Whether other gateways may still apply the previous division, or have done so within the last second. */
    bool isInTransition(TimePoint now) const;

    std::string vm_;
    Duration maxAge_;
    bool isDivisionRequired_ = true;
    std::uint64_t generation_ = 1;
    /** 0 until a division was read. */
    std::uint64_t number_ = 0;
    bool isSettled_ = false;
    std::vector<std::string> vms_;
    std::vector<std::string> previousVms_;
    TimePoint settledReadAt_{};
    TimePoint confirmedAt_{};
};

inline std::uint64_t ColdShares::generation() const
{
    return generation_;
}

}
