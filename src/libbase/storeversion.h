/**
 * Versions of the rows of a table service. A service that comes back from an older copy of its data gives out the same versions again, and
 * states an era that rises each time. The versions that this program keeps contain the era, so that they rise all the same; a version of an
 * earlier era is never equal to one of a later era.
 */
#pragma once

#include <cstdint>

namespace Chestnutcove::StoreVersion {

inline constexpr unsigned EraShift = 40;
inline constexpr std::uint64_t NumberMask = (std::uint64_t{1} << EraShift) - 1;
/** The era of a service that has never come back from a copy, or that states none. */
inline constexpr std::uint64_t FirstEra = 1;

/** @param number the service's own version; 0, for a row that doesn't exist, is the same in all eras. */
constexpr std::uint64_t of(std::uint64_t era, std::uint64_t number)
{
    return number == 0 ? 0 : (era << EraShift) | (number & NumberMask);
}

constexpr std::uint64_t eraOf(std::uint64_t version)
{
    return version >> EraShift;
}

constexpr std::uint64_t numberOf(std::uint64_t version)
{
    return version & NumberMask;
}

}
