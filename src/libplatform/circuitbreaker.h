/**
 * Circuit breaker: after several failures in a row, calls fail at once until a probe succeeds, so that a service that is down is not
 * loaded with calls which nobody waits for.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>

namespace Chestnutcove {

class CircuitBreaker
{
public:
    /** @param openAfter failures in a row. @param probeInterval time between probes while open. */
    CircuitBreaker(std::uint32_t openAfter, Duration probeInterval);

    /** Whether a call may go out now; while open, one probe per interval may. */
    bool allow(TimePoint now);
    void succeeded();
    void failed(TimePoint now);
    bool isOpen() const;

private:
    std::uint32_t openAfter_;
    Duration probeInterval_;
    std::uint32_t failures_ = 0;
    TimePoint nextProbe_;
};

inline bool CircuitBreaker::isOpen() const
{
    return failures_ >= openAfter_;
}

}
