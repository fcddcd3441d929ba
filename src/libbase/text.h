/**
 * Small functions on text views, for headers and settings.
 */
#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chestnutcove {

/** Without ASCII white space at both ends. */
std::string_view trimmed(std::string_view text);
/** ASCII letters compare without case. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);
std::string lowerCase(std::string_view text);
/** The parts between separators, trimmed; empty parts are left out. */
std::vector<std::string_view> splitList(std::string_view text, char separator);

/** The whole text as a number, or nothing. */
template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = error == std::errc() && end == text.data() + text.size() && !text.empty();
    return whole ? std::optional(number) : std::nullopt;
}

}
