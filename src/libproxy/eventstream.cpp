#include "eventstream.h"

#include <algorithm>
#include <array>

namespace Chestnutcove {

namespace {

constexpr std::array<std::string_view, 3> EmptyLines{"\n\n", "\r\n\r\n", "\r\r"};
/** An empty line may have arrived except for its last byte. */
constexpr std::size_t MaxPartialEmptyLine = 3;
/** Neighbouring bytes that are compared at once. A power of two, so that the compiler uses vector instructions. */
constexpr std::size_t PairsInWindow = 256;
constexpr std::size_t WindowBytes = PairsInWindow + 1;

/** Whether each of two successive bytes ends a line. Each empty line has such bytes; those of one CRLF don't count. */
constexpr unsigned char endTwoLines(char first, char second)
{
    const auto isSecondLf = static_cast<unsigned char>(second == '\n');
    const auto isSecondCr = static_cast<unsigned char>(second == '\r');
    const auto isFirstLf = static_cast<unsigned char>(first == '\n');
    const auto isFirstCr = static_cast<unsigned char>(first == '\r');
    return (isFirstLf & (isSecondLf | isSecondCr)) | (isFirstCr & isSecondCr); // NOLINT(hicpp-signed-bitwise)
}

/** False if no empty line lies in the WindowBytes bytes from here. */
bool mayHoldEmptyLine(const char *window)
{
    unsigned char found = 0;
    for (std::size_t i = 0; i < PairsInWindow; ++i) {
        found |= endTwoLines(window[i], window[i + 1]);
    }
    return found != 0;
}

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
    std::size_t size = bytes.size();
    while (size > start) {
        const std::size_t left = size - start;
        if (left >= WindowBytes && !mayHoldEmptyLine(bytes.data() + size - WindowBytes)) {
            size -= WindowBytes - MaxPartialEmptyLine;
            continue;
        }
        const std::size_t last = size - std::min(left, WindowBytes);
        for (; size > last; --size) {
            if (endsWithEmptyLine(bytes.substr(start, size - start))) {
                return size;
            }
        }
    }
    return 0;
}

bool endsInsideEvent(std::string_view remainder)
{
    return remainder.find_first_not_of("\r\n") != std::string_view::npos;
}

}
