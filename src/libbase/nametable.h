/**
 * Name tables for enumerations: one constexpr array per enumeration is the single source of its texts in settings,
 * rows, logs and metrics.
 */
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Chestnutcove {

template<typename Enum, std::size_t Size>
using NameTable = std::array<std::pair<Enum, std::string_view>, Size>;

template<typename Enum, std::size_t Size>
constexpr std::string_view nameOf(const NameTable<Enum, Size> &table, Enum value)
{
    for (const auto &[entry, name] : table) {
        if (entry == value) {
            return name;
        }
    }
    return "unknown";
}

template<typename Enum, std::size_t Size>
constexpr std::optional<Enum> valueOf(const NameTable<Enum, Size> &table, std::string_view text)
{
    for (const auto &[entry, name] : table) {
        if (name == text) {
            return entry;
        }
    }
    return std::nullopt;
}

/** The names joined by ", ", for error messages that tell what is allowed. */
template<typename Enum, std::size_t Size>
std::string allNames(const NameTable<Enum, Size> &table)
{
    std::string result;
    for (const auto &entry : table) {
        result += result.empty() ? "" : ", ";
        result += entry.second;
    }
    return result;
}

}
