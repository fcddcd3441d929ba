/**
 * A gateway's share of each customer's rate limit. The lease holder divides the limits in proportion to the demand that the gateways report
 * and stores the division; a gateway spends at most its share.
 *
 * A reduced share takes effect as soon as a gateway reads the new division, an increased one only when the division is settled: when every
 * gateway that had a share in the previous division has read the new one, or has stopped spending since its last read is too old. The
 * shares in use therefore never add up to more than the limit. The lease holder marks a division as settled once all those gateways have
 * reported it; without that mark each gateway treats it as settled after settleTime.
 */
#pragma once

#include "readfreshness.h"
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

/** Each VM's fraction of the customers' limits. The limit of a customer that is not listed is divided evenly. */
struct QuotaDivision
{
    /** Incremented with each division that is stored. */
    std::uint64_t number = 0;
    /** Every gateway is known to have read this division or to have stopped spending from the previous one. */
    bool settled = false;
    std::vector<std::string> vms;
    /** By customer and VM; the fractions of a customer add up to at most 1. */
    using Fractions = std::map<std::string, std::map<std::string, double>>;
    Fractions fractions;
    /** The previous division, which was settled and which some gateways may still apply. Unused once this division is settled. */
    std::vector<std::string> previousVms;
    Fractions previousFractions;

    /** A VM's fraction in this division, ignoring the previous one. */
    double fractionOf(const std::string &customer, const std::string &vm) const;
    /** The fraction that a VM may spend while the division is not settled: the smaller one of this and the previous division. */
    double unsettledFractionOf(const std::string &customer, const std::string &vm) const;
    /** @p wanted as the successor of this division: numbered, not settled, and with this division as the previous one. */
    QuotaDivision successor(QuotaDivision wanted) const;
    std::string toText() const;
    static absl::StatusOr<QuotaDivision> fromText(const std::string &text);
};

/** Units per second that a VM's callers requested, by customer. */
using CustomerDemand = std::map<std::string, double>;

/**
 * Divides a part of each limit evenly, so that every VM can absorb a sudden load, and the rest in proportion to demand.
 * @param unresponsive VMs that handle no requests at present but may return; they receive a reduced weight in the even part.
 */
QuotaDivision divideQuotas(const std::map<std::string, CustomerDemand> &demandOfVm, const std::set<std::string> &unresponsive = {});
/** Whether the current division differs enough from the wanted one to be replaced. */
bool isOutdated(const QuotaDivision &current, const QuotaDivision &wanted);

struct QuotaShareOptions
{
    /** A gateway stops spending from its division if it has not read it again for this long. */
    Duration maxAge = std::chrono::milliseconds(4300);
    /** Time after the first read of a division at which it is settled in any case; must exceed maxAge. */
    Duration settleTime = std::chrono::milliseconds(5500);
    /** Units that all VMs together may spend beyond rate and burst; compensates for the loss from dividing a burst between VMs. */
    double allowance = 0;
    /** Fraction of the units that rate and burst allow in a window that may be spent in addition, for the same reason. */
    double overage = 0;
    Duration window = std::chrono::seconds(8);
};

struct QuotaDecision
{
    bool admitted = false;
    /** For a refusal: time until the bucket holds enough units for this request, after the requests that were refused before it. */
    Duration wait{};
    /** The inputs of the decision: this gateway's fraction of the limit, and the units in the bucket. */
    double fraction = 0;
    double level = 0;
};

class QuotaShares
{
public:
    QuotaShares(std::string vm, QuotaShareOptions options);

    /** @param startedAt when the read of the stored division began. */
    void onDivisionRead(const QuotaDivision &division, TimePoint startedAt, TimePoint now);
    /** The store was read and holds no division, so no gateway has spent anything yet. */
    void onNoDivisionStored();
    /** Whether a division is known and its last read is recent enough. */
    bool isUsable(TimePoint now) const;

    QuotaDecision admit(const CustomerQuota &customer, double units, TimePoint now);
    /** Returns the units of a request that was not run. */
    void refund(const std::string &customer, double units);
    /** Updates and returns the smoothed demand: units per second that each customer requested. */
    CustomerDemand updateDemand(TimePoint now);
    std::uint64_t divisionNumber() const;

private:
    /** A token bucket. */
    struct Bucket
    {
        double level = 0;
        TimePoint filledAt{};
        /** Units per second, and the maximum level, by which the bucket is refilled. */
        double rate = 0;
        double capacity = 0;
        /** Time until which accruing units are reserved for requests that were refused and told to retry. */
        TimePoint reservedUntil{};
    };

    double fractionOf(const std::string &customer, TimePoint now) const;
    /** The customer's bucket, refilled up to @p now. */
    Bucket &refilledBucket(const CustomerQuota &customer, double fraction, TimePoint now);
    static void refill(Bucket &bucket, TimePoint now);
    /** Reserves units that have yet to accrue for a refused request. @return the time until they have accrued. */
    Duration reserveUnits(Bucket &bucket, double units, TimePoint now) const;
    void recordDemand(const std::string &customer, double units);
    bool isSettled(TimePoint now) const;
    /** Refills all buckets at their former rate; from now on units accrue under another division, or under the same one now settled. */
    void restartAccrual(TimePoint now);

    std::string vm_;
    QuotaShareOptions options_;
    ReadFreshness freshness_;
    QuotaDivision current_;
    /** The current division is the first that was ever stored, so nothing had been spent before it. */
    bool isFirstDivision_ = false;
    /** The store held no division when it was last read. */
    bool storeHadNoDivision_ = false;
    /**
     * Start of accrual under the current division, and so for a customer without a bucket the time since which it has spent nothing. Empty
     * until a division is known.
     */
    std::optional<TimePoint> accruingSince_;
    /** When the current division was first read. */
    TimePoint firstReadAt_{};
    /** Whether the division was settled at accruingSince_. */
    bool accruesSettled_ = false;
    std::unordered_map<std::string, Bucket> buckets_;
    /** Units requested since the last call of updateDemand(), by customer. */
    std::map<std::string, double> requestedUnits_;
    CustomerDemand smoothedDemand_;
    TimePoint demandSince_{};
};

inline std::uint64_t QuotaShares::divisionNumber() const
{
    return current_.number;
}

}
