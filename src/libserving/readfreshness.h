/**
 * Age of the last read that confirmed this process's copy of the data in the store. A request that needs an API key is accepted only while
 * that age is below a limit, so that a revoked key is not accepted for longer than allowed.
 */
#pragma once

#include "timepoint.h"

#include <optional>

namespace Chestnutcove {

class ReadFreshness
{
public:
    /** @param maxAge measured on the suspend-aware clock. */
    explicit ReadFreshness(Duration maxAge);

    /** Records a read that began at @p startedAt, once its result is in force. */
    void recordRead(TimePoint startedAt);
    bool isFresh(TimePoint now) const;
    /** When the last read becomes too old; a default TimePoint before the first one. */
    TimePoint freshUntil() const;
    /** Time since the start of the last read; nothing before the first one. */
    std::optional<Duration> age(TimePoint now) const;

private:
    Duration maxAge_;
    std::optional<TimePoint> lastReadAt_;
};

inline ReadFreshness::ReadFreshness(Duration maxAge)
    : maxAge_(maxAge)
{
}

inline void ReadFreshness::recordRead(TimePoint startedAt)
{
    if (!lastReadAt_ || startedAt > *lastReadAt_) {
        lastReadAt_ = startedAt;
    }
}

inline bool ReadFreshness::isFresh(TimePoint now) const
{
    return lastReadAt_ && now - *lastReadAt_ < maxAge_;
}

inline TimePoint ReadFreshness::freshUntil() const
{
    return lastReadAt_ ? *lastReadAt_ + maxAge_ : TimePoint{};
}

inline std::optional<Duration> ReadFreshness::age(TimePoint now) const
{
    return lastReadAt_ ? std::optional(now - *lastReadAt_) : std::nullopt;
}

}
