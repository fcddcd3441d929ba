#include "eventstream.h"

#include <algorithm>
#include <array>

namespace Chestnutcove {

namespace {

constexpr std::array<std::string_view, 3> EmptyLines{"\n\n", "\r\n\r\n", "\r\r"};

}

std::size_t wholeEventsSize(std::string_view bytes)
{
    std::size_t size = 0;
    for (const std::string_view emptyLine : EmptyLines) {
        const auto position = bytes.rfind(emptyLine);
        if (position != std::string_view::npos) {
            size = std::max(size, position + emptyLine.size());
        }
    }
    return size;
}

bool endsInsideEvent(std::string_view remainder)
{
    return remainder.find_first_not_of("\r\n") != std::string_view::npos;
}

}
