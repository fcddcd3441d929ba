/**
 * One gateway's share of a customer's token bucket. Tokens accrue only here; they leave by local use or by grants to other gateways.
 *
 * Invariant: level + held + outstanding grants never exceed the cap. A grant stays outstanding until no receiver may spend it any more, so
 * that tokens which wait elsewhere are not accrued a second time. In any window of t seconds all gateways together therefore spend at most
 * cap + rate * t of a share: what is spent in it was in one of the three at its start, or accrued during it.
 */
#pragma once

#include "timepoint.h"

#include <compare>
#include <cstdint>
#include <deque>

namespace Chestnutcove {

struct GrantId
{
    /** Incarnation of the gateway that asked. */
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    auto operator<=>(const GrantId &) const = default;
};

class ShareHolder
{
public:
    /** @param grantLifetime the same at every gateway; a receiver counts it from before it asked. */
    explicit ShareHolder(Duration grantLifetime);

    /** Sets the share's part of rate and burst. It starts with nothing; a smaller cap drops what is above it. */
    void setLimits(double rate, double cap, TimePoint now);
    /** While suspended, nothing accrues and nothing is given out. */
    void setSuspended(bool suspended, TimePoint now);

    double level(TimePoint now);
    /** Takes up to @p amount for immediate use. @return what was taken. */
    double take(double amount, TimePoint now);
    /** Sets tokens aside for a running answer. @return what was set aside. */
    double hold(double amount, TimePoint now);
    void useHeld(double amount, TimePoint now);
    void releaseHeld(double amount, TimePoint now);

    /** Grants up to @p amount; a repeated id is granted nothing. */
    double grant(const GrantId &id, double amount, TimePoint now);
    /** A receiver returns what it didn't spend and will not spend. */
    void giveBack(const GrantId &id, double amount, TimePoint now);

    double rate() const;
    double cap() const;
    double outstanding() const;
    double held() const;

private:
    struct Grant
    {
        GrantId id;
        double amount = 0;
        TimePoint expires;
    };

    void advance(TimePoint now);

    Duration grantLifetime_;
    double rate_ = 0;
    double cap_ = 0;
    double level_ = 0;
    double held_ = 0;
    double outstanding_ = 0;
    std::deque<Grant> grants_;
    TimePoint updated_;
    bool started_ = false;
    bool suspended_ = false;
};

inline double ShareHolder::rate() const
{
    return rate_;
}

inline double ShareHolder::cap() const
{
    return cap_;
}

inline double ShareHolder::outstanding() const
{
    return outstanding_;
}

inline double ShareHolder::held() const
{
    return held_;
}

}
