/**
 * This gateway's shares of rate limits (see QuotaDivision). A share is spent by this gateway's own requests and by grants to
 * gateways that ask for units; either way a request gets all of its units or none, so that large requests don't lose their units to small
 * ones. A grant is spent only on the request that it was asked for, which arrived before, so it counts as spent at once: what is admitted
 * in a window, of requests that arrived in it, was granted in it.
 *
 * Invariant: units accrue in a share only while this gateway may spend it under the division that it has read, and only while that read is
 * recent enough. Together with the settling of divisions, no two gateways accrue the same part of a limit at the same time.
 */
#pragma once

#include "quotadivision.h"
#include "ratelimit.h"
#include "readfreshness.h"
#include "recentmaximum.h"
#include "sharebucket.h"
#include "timepoint.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace Chestnutcove {

struct QuotaShareOptions
{
    /** A gateway stops spending its shares if it has not confirmed its copy of the division for this long. */
    Duration maxAge = std::chrono::milliseconds(4300);
    /** Time after the first read of a division at which it is settled in any case; must exceed maxAge. */
    Duration settleTime = std::chrono::milliseconds(5500);
    /** Time within which the units of a grant that was not spent are taken back. */
    Duration grantLifetime = std::chrono::seconds(2);
    /** Units that all VMs together may spend beyond rate and burst; compensates for the loss from dividing a burst between VMs. */
    double allowance = 0;
    /** Fraction of the units that rate and burst allow in a window that may be spent in addition, for the same reason. */
    double overage = 0;
    Duration window = std::chrono::seconds(8);
};

struct ShareDecision
{
    /** Whether this gateway may spend a share of the limit at present. */
    bool isHolder = false;
    bool granted = false;
    /** For a refusal: time until the share holds enough units for this request, after the requests that were refused before it. */
    Duration wait{};
    /** The inputs of the decision: this gateway's fraction of the limit, and the units in its share. */
    double fraction = 0;
    double level = 0;
};

class QuotaShares
{
public:
    QuotaShares(std::string vm, QuotaShareOptions options);

    /** @param readAt a time at which the division was the stored one. */
    void onDivisionRead(const QuotaDivision &division, TimePoint readAt, TimePoint now);
    /** The division that was read last was still the stored one at @p readAt. */
    void onDivisionConfirmed(TimePoint readAt, TimePoint now);
    /** The store was read and holds no division, so no gateway has spent anything yet. */
    void onNoDivisionStored();
    /** Whether a division is known and was confirmed recently enough to spend from it. */
    bool isUsable(TimePoint now) const;

    /** Takes all units of one of this gateway's own requests, or none. */
    ShareDecision take(const RateLimit &limit, double units, TimePoint now);
    /** Grants all of the units to another gateway, or none. */
    ShareDecision grant(const RateLimit &limit, const GrantId &id, double units, TimePoint now);
    /** Returns the units of an own request that was not run. */
    void refund(const std::string &limit, double units, TimePoint now);
    /** Another gateway returned units of a grant that it has not spent and will not spend. */
    void onGrantReturned(const std::string &limit, const GrantId &id, double units, TimePoint now);

    /** Forgets a limit that no longer exists. */
    void remove(const std::string &limit);

    /** The most units that one holder's share of the limit can contain. */
    double shareCapacity(const RateLimit &limit) const;
    /** The division that was read last; its number is 0 if none was read. */
    const QuotaDivision &division() const;

private:
    struct Grant
    {
        GrantId id;
        double units = 0;
        TimePoint grantedAt;
    };
    struct Share
    {
        Share();

        ShareBucket bucket;
        /** Grants that may still be returned, oldest first. */
        std::deque<Grant> grants;
        double fraction = 0;
        /** Units per second and the capacity of the whole limit, as they were applied to the bucket. */
        double rate = 0;
        double capacity = 0;
        std::size_t maxHolders = MaxQuotaHolders;
        /** Time until which accruing units are reserved for requests that were refused and told to retry. */
        TimePoint reservedUntil{};
        /** The largest recent request for units. */
        RecentMaximum largestRequest;
    };

    /** The fraction that this gateway may spend under the current division if that is fresh. */
    double currentFraction(const std::string &limit, std::size_t maxHolders) const;
    double wholeCapacity(const RateLimit &limit) const;
    /** This gateway's share of the limit, with the limit's present figures applied. */
    Share &shareOf(const RateLimit &limit, TimePoint now);
    ShareDecision decide(Share &share, double units, TimePoint now);
    /** Reserves units that have yet to accrue for a refused request. @return the time until they have accrued. */
    Duration reserveUnits(Share &share, double units, TimePoint now) const;
    void dropOldGrants(Share &share, TimePoint now) const;
    void applyLimits(Share &share, TimePoint now);
    /** Units no longer accrue after the end of the freshness, if that has passed. */
    void suspendIfStale(TimePoint now);
    void resumeIfFresh(TimePoint now);
    bool isSettled(TimePoint now) const;
    /** Applies the division that is in force from now on to all shares. */
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
    bool isSuspended_ = false;
    std::unordered_map<std::string, Share> shares_;
};

inline const QuotaDivision &QuotaShares::division() const
{
    return current_;
}

}
