/**
 * How long ago the store was known to hold nothing newer than what this process has. A request that needs a key is accepted only while the
 * proof is young enough for no withdrawal to have been missed for longer than allowed.
 */
#pragma once

#include "timepoint.h"

#include <optional>

namespace Chestnutcove {

class FreshnessProof
{
public:
    /** @param maxAge measured on the suspend-aware clock. */
    explicit FreshnessProof(Duration maxAge);

    /** A read that began at @p startedAt was answered and what it returned is in force. */
    void proved(TimePoint startedAt);
    bool isFresh(TimePoint now) const;
    /** Nothing while there was no proof. */
    std::optional<Duration> age(TimePoint now) const;

private:
    Duration maxAge_;
    std::optional<TimePoint> provedAt_;
};

inline FreshnessProof::FreshnessProof(Duration maxAge)
    : maxAge_(maxAge)
{
}

inline void FreshnessProof::proved(TimePoint startedAt)
{
    if (!provedAt_ || startedAt > *provedAt_) {
        provedAt_ = startedAt;
    }
}

inline bool FreshnessProof::isFresh(TimePoint now) const
{
    return provedAt_ && now - *provedAt_ < maxAge_;
}

inline std::optional<Duration> FreshnessProof::age(TimePoint now) const
{
    return provedAt_ ? std::optional(now - *provedAt_) : std::nullopt;
}

}
