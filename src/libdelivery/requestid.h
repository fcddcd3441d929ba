/**
 * Request ids. They stay unique across processes and restarts, because they contain the random incarnation of the gateway process.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace Chestnutcove {

struct RequestId
{
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    auto operator<=>(const RequestId &) const = default;
    std::string toText() const;
};

inline std::string RequestId::toText() const
{
    return std::to_string(incarnation) + "-" + std::to_string(number);
}

struct RequestIdHash
{
    std::size_t operator()(const RequestId &id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.incarnation ^ (id.number * 0x9E3779B97F4A7C15ULL));
    }
};

}
