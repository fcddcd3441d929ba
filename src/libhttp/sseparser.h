/**
 * Incremental parser of a server-sent event stream. The stream may be fed in pieces of any size.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Chestnutcove {

class SseParser
{
public:
    /** Parses the next piece of the stream. @return the data of each event that it completes. */
    std::vector<std::string> feed(std::string_view bytes);
    /** An event became longer than MaxEventBytes; what follows is ignored. */
    bool isEventTooLong() const;

    static constexpr std::size_t MaxEventBytes = std::size_t{1} << 20U;

private:
    void parseLine(std::string_view text, std::vector<std::string> &events);

    std::string partialLine_;
    std::string data_;
    bool hasData_ = false;
    bool isEventTooLong_ = false;
};

inline bool SseParser::isEventTooLong() const
{
    return isEventTooLong_;
}

}
