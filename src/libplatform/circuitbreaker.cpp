#include "circuitbreaker.h"

#include <limits>

namespace Chestnutcove {

CircuitBreaker::CircuitBreaker(std::uint32_t failureThreshold, Duration probeInterval)
    : failureThreshold_(failureThreshold)
    , probeInterval_(probeInterval)
{
}

bool CircuitBreaker::allowCall(TimePoint now)
{
    if (!isOpen()) {
        return true;
    }
    if (now < nextProbe_) {
        return false;
    }
    nextProbe_ = now + probeInterval_;
    return true;
}

void CircuitBreaker::recordSuccess()
{
    failures_ = 0;
}

void CircuitBreaker::recordFailure(TimePoint now)
{
    if (failures_ < std::numeric_limits<std::uint32_t>::max()) {
        ++failures_;
    }
    if (failures_ == failureThreshold_) {
        nextProbe_ = now + probeInterval_;
    }
}

}
