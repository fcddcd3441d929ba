/**
 * A limit that holds for all gateways together.
 */
#pragma once

#include <cstddef>
#include <string>

namespace Chestnutcove {

/** Number of gateways that share a limit, where there are as many. */
inline constexpr std::size_t MaxQuotaHolders = 4;

struct RateLimit
{
    std::string name;
    /** Units per second; 0 for no limit. */
    double rate = 0;
    double burst = 0;
    /** Fewer gateways share a limit whose burst would leave each less than a unit. */
    std::size_t maxHolders = MaxQuotaHolders;
};

}
