#include "circuitbreaker.h"

#include <limits>

namespace Chestnutcove {

CircuitBreaker::CircuitBreaker(std::uint32_t openAfter, Duration probeInterval)
    : openAfter_(openAfter)
    , probeInterval_(probeInterval)
{
}

bool CircuitBreaker::allow(TimePoint now)
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

void CircuitBreaker::succeeded()
{
    failures_ = 0;
}

void CircuitBreaker::failed(TimePoint now)
{
    if (failures_ < std::numeric_limits<std::uint32_t>::max()) {
        ++failures_;
    }
    if (failures_ == openAfter_) {
        nextProbe_ = now + probeInterval_;
    }
}

}
