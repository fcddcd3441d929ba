/**
 * A gateway's part of each customer's rate. The lease holder divides the rates by the demand that gateways report and stores the division;
 * a gateway spends no more than its part. A part shrinks as soon as the division is seen and grows only when the division is settled: when
 * every gateway that still used the one before has seen the new one or stopped for want of a fresh read. So the parts never sum up to more
 * than the whole. The lease holder settles a division early when all have seen it; otherwise each gateway waits out the time by itself.
 */
#pragma once

#include "freshnessproof.h"
#include "routecatalogue.h"
#include "timepoint.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chestnutcove {

/** Fractions of the customers' rates by VM. Customers that aren't named are divided evenly. */
struct QuotaDivision
{
    /** Rises with each division that is stored. */
    std::uint64_t number = 0;
    /** Every gateway is known to have seen it or to have stopped spending from the one before. */
    bool settled = false;
    std::vector<std::string> vms;
    /** By customer and VM; each customer's fractions sum up to at most 1. */
    using Fractions = std::map<std::string, std::map<std::string, double>>;
    Fractions fractions;
    /** The settled division before this one, which others may still act on. Not used once this one is settled. */
    std::vector<std::string> vmsBefore;
    Fractions fractionsBefore;

    /** The part of a VM in this division alone. */
    double fractionOf(const std::string &customer, const std::string &vm) const;
    /** The part that a VM may spend for certain while the division is not settled: the smaller of this one and the one before. */
    double unsettledFractionOf(const std::string &customer, const std::string &vm) const;
    /** The division that follows this one. */
    QuotaDivision next(QuotaDivision wanted) const;
    std::string toText() const;
    static absl::StatusOr<QuotaDivision> fromText(const std::string &text);
};

/** Units a second that each VM was asked for by each customer. */
using CustomerDemand = std::map<std::string, double>;

/** A part of each rate is divided evenly, so that a VM can take sudden load, and the rest by demand. */
/** @param away VMs that serve nobody now and may soon again; they get less of what is divided evenly. */
QuotaDivision divideQuotas(const std::map<std::string, CustomerDemand> &demandOfVm, const std::set<std::string> &away = {});
/** Whether the division is far enough from what demand asks for to be replaced. */
bool isOutdated(const QuotaDivision &current, const QuotaDivision &wanted);

struct QuotaShareOptions
{
    /** A division older than this without a fresh read may not be spent from. */
    Duration maxAge = std::chrono::milliseconds(4300);
    /** Time after a division was read for the first time at which it is settled in any case; more than maxAge. */
    Duration settleTime = std::chrono::milliseconds(5500);
    /** Units beyond rate and burst that all VMs together may spend; evens out what dividing a burst costs. */
    double allowance = 0;
    /** Part of what a rate and burst give in a window that may be spent beyond it, for the same purpose. */
    double overage = 0;
    Duration window = std::chrono::seconds(8);
};

struct QuotaVerdict
{
    bool admitted = false;
    /** For a refusal: time until enough units have accrued for it, after those that were refused before it. */
    Duration wait{};
    /** What decided it: this gateway's part of the rate and the units that it could have spent. */
    double fraction = 0;
    double level = 0;
};

class QuotaShares
{
public:
    QuotaShares(std::string vm, QuotaShareOptions options);

    /** The stored division was read; the read began at @p startedAt. */
    void observed(const QuotaDivision &division, TimePoint startedAt, TimePoint now);
    /** The store was read and holds no division: nobody has spent anything yet. */
    void noDivisionYet();
    /** Some division is known and fresh. */
    bool isUsable(TimePoint now) const;

    QuotaVerdict admit(const CustomerQuota &customer, double units, TimePoint now);
    /** Gives back units of a request that was not run. */
    void refund(const std::string &customer, double units);
    /** Units a second that each customer asked for lately. */
    CustomerDemand demand(TimePoint now);
    std::uint64_t divisionNumber() const;

private:
    struct Bucket
    {
        double level = 0;
        TimePoint filledAt{};
        /** The limits that the level is filled under: units a second, and units. */
        double rate = 0;
        double capacity = 0;
        /** From then on there is room for further requests that are refused now. */
        TimePoint roomAt{};
    };

    double fractionOf(const std::string &customer, TimePoint now) const;
    /** The customer's bucket, filled up to now. */
    Bucket &filledBucket(const CustomerQuota &customer, double fraction, TimePoint now);
    static void fill(Bucket &bucket, TimePoint now);
    /** Takes the next free place among the requests that are refused. @return the time until there is room for it. */
    Duration reserveRoom(Bucket &bucket, double units, TimePoint now) const;
    void noteDemand(const std::string &customer, double units);
    bool isSettled(TimePoint now) const;
    /** From now on units accrue under another division, or under the settled one. */
    void startAccruingAnew(TimePoint now);

    std::string vm_;
    QuotaShareOptions options_;
    FreshnessProof proof_;
    QuotaDivision current_;
    /** Nobody had spent anything before the division that is in force. */
    bool isFirstDivision_ = false;
    /** The store held no division when it was last read. */
    bool noneYet_ = false;
    /** Since when nothing of a customer without a bucket was spent, and the division has been this one; nothing while none is known. */
    std::optional<TimePoint> currentSince_;
    /** When the division with this number was first read. */
    TimePoint numberSince_{};
    /** Whether currentSince_ is about the settled division. */
    bool accruesSettled_ = false;
    std::unordered_map<std::string, Bucket> buckets_;
    /** Units asked for since demand() was last called. */
    std::map<std::string, double> asked_;
    CustomerDemand smoothed_;
    TimePoint demandSince_{};
};

inline std::uint64_t QuotaShares::divisionNumber() const
{
    return current_.number;
}

}
