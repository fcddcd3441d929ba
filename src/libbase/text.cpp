#include "text.h"

#include <algorithm>

namespace Chestnutcove {

namespace {

constexpr std::string_view WhiteSpace = " \t\r\n";

char lowerCaseOf(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(WhiteSpace);
    if (first == std::string_view::npos) {
        return {};
    }
    const auto last = text.find_last_not_of(WhiteSpace);
    return text.substr(first, last - first + 1);
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), [](char one, char other) { return lowerCaseOf(one) == lowerCaseOf(other); });
}

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), lowerCaseOf);
    return result;
}

std::vector<std::string_view> splitList(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const auto end = text.find(separator);
        const std::string_view part = trimmed(text.substr(0, end));
        if (!part.empty()) {
            parts.push_back(part);
        }
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return parts;
}

}
