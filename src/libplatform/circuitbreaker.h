/**
 * Circuit breaker: after several consecutive failures, calls fail at once until a probe succeeds, so that callers don't wait for a service
 * that is down and the service isn't loaded with calls that are bound to fail.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>

namespace Chestnutcove {

class CircuitBreaker
{
public:
    /** @param failureThreshold consecutive failures that open the breaker. @param probeInterval time between probes while open. */
    CircuitBreaker(std::uint32_t failureThreshold, Duration probeInterval);

    /** Whether a call may be sent now. While the breaker is open, true once per probe interval; the caller must then send the probe. */
    bool allowCall(TimePoint now);
    void recordSuccess();
    void recordFailure(TimePoint now);
    bool isOpen() const;

private:
    std::uint32_t failureThreshold_;
    Duration probeInterval_;
    std::uint32_t failures_ = 0;
    TimePoint nextProbe_;
};

inline bool CircuitBreaker::isOpen() const
{
    return failures_ >= failureThreshold_;
}

}
