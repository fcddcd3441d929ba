#include "loadshedder.h"

#include "rendezvous.h"

#include <algorithm>

namespace Chestnutcove {

LoadShedder::LoadShedder(LoadShedderOptions options)
    : options_(options)
{
}

double LoadShedder::refusedFraction(Duration lateness) const
{
    const double range = toSeconds(options_.refuseMost - options_.acceptAll);
    const double fraction = toSeconds(lateness - options_.acceptAll) / range * options_.largestFraction;
    return std::clamp(fraction, 0.0, options_.largestFraction);
}

bool LoadShedder::mustRefuse(Duration lateness, const std::string &requestId) const
{
    if (lateness <= options_.acceptAll) {
        return false;
    }
    constexpr std::uint64_t Steps = 1 << 16;
    const double point = static_cast<double>(rendezvousHash(requestId) % Steps) / Steps;
    return point < refusedFraction(lateness);
}

}
