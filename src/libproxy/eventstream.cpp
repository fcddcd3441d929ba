#include "eventstream.h"

#include <algorithm>
#include <array>

namespace Chestnutcove {

namespace {

constexpr std::array<std::string_view, 3> EmptyLines{"\n\n", "\r\n\r\n", "\r\r"};
/** An empty line may have arrived except for its last byte. */
constexpr std::size_t MaxPartialEmptyLine = 3;

bool endsWithEmptyLine(std::string_view bytes)
{
    const char last = bytes.back();
    if (last != '\n' && last != '\r') {
        return false;
    }
    return std::any_of(EmptyLines.begin(), EmptyLines.end(), [bytes](std::string_view emptyLine) { return bytes.ends_with(emptyLine); });
}

}

std::size_t wholeEventsSize(std::string_view bytes, std::size_t searched)
{
    const std::size_t start = searched - std::min(searched, MaxPartialEmptyLine);
    for (std::size_t size = bytes.size(); size > start; --size) {
        if (endsWithEmptyLine(bytes.substr(start, size - start))) {
            return size;
        }
    }
    return 0;
}

bool endsInsideEvent(std::string_view remainder)
{
    return remainder.find_first_not_of("\r\n") != std::string_view::npos;
}

}
