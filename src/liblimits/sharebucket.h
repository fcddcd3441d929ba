/**
 * One gateway's share of a customer's token bucket. Tokens accrue only in shares, and leave them by local use or by grants to other
 * gateways.
 *
 * Invariant: level + reserved tokens + outstanding grants never exceed the cap. A grant stays outstanding until no receiver may spend it
 * any more, so that tokens which wait at another gateway are not accrued a second time. In any window of t seconds all gateways together
 * therefore spend at most cap + rate * t of a share: what is spent in the window was in one of the three terms at its start, or accrued
 * during it.
 */
#pragma once

#include "timepoint.h"

#include <compare>
#include <cstdint>
#include <deque>

namespace Chestnutcove {

struct GrantId
{
    /** Incarnation of the gateway that requested the tokens. */
    std::uint64_t incarnation = 0;
    /** Number of that gateway's token request. */
    std::uint64_t number = 0;

    auto operator<=>(const GrantId &) const = default;
};

class ShareBucket
{
public:
    /** @param grantLifetime the same at every gateway. A receiver counts it from the time at which it sent its token request. */
    explicit ShareBucket(Duration grantLifetime);

    /** Sets the share's part of rate and burst. A new share is empty; a smaller cap drops the tokens above it. */
    void setLimits(double rate, double cap, TimePoint now);
    /** While suspended, the share accrues no tokens and gives none out. @p now may lie before the last call, which then counts. */
    void setSuspended(bool suspended, TimePoint now);
    /** Fills the share up to its cap. Allowed only if no process has ever spent from it. */
    void fill(TimePoint now);

    /** Tokens that can be taken, reserved or granted now. */
    double level(TimePoint now);
    /** Takes up to @p amount for immediate use. @return what was taken. */
    double take(double amount, TimePoint now);
    /** Puts back tokens that were taken and will not be used, up to the cap. */
    void putBack(double amount, TimePoint now);
    /** Reserves up to @p amount for a running answer. @return what was reserved. */
    double reserve(double amount, TimePoint now);
    /** Reserved tokens were used. */
    void spendReserved(double amount, TimePoint now);
    /** Reserved tokens are not needed and return to the level. */
    void releaseReserved(double amount, TimePoint now);

    /** Grants up to @p amount to another gateway; nothing for a repeated id. @return what was granted. */
    double grant(const GrantId &id, double amount, TimePoint now);
    /** A receiver returned tokens of a grant that it did not spend and will not spend. */
    void returnGrant(const GrantId &id, double amount, TimePoint now);

    double rate() const;
    double cap() const;
    double outstandingTokens() const;
    double reservedTokens() const;

private:
    struct Grant
    {
        GrantId id;
        double amount = 0;
        TimePoint expires;
    };

    /** Accrues tokens and removes expired grants up to the time. */
    void advance(TimePoint now);

    Duration grantLifetime_;
    double rate_ = 0;
    double cap_ = 0;
    double level_ = 0;
    double reserved_ = 0;
    double outstanding_ = 0;
    /** Grants that a receiver may still spend, in the order of expiry. */
    std::deque<Grant> grants_;
    TimePoint updated_;
    /** Whether updated_ is set. */
    bool hasUpdateTime_ = false;
    bool suspended_ = false;
};

inline double ShareBucket::rate() const
{
    return rate_;
}

inline double ShareBucket::cap() const
{
    return cap_;
}

inline double ShareBucket::outstandingTokens() const
{
    return outstanding_;
}

inline double ShareBucket::reservedTokens() const
{
    return reserved_;
}

}
