/**
 * Splits a server-sent event stream into the data of its events, however it was cut on the way.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Chestnutcove {

class SseParser
{
public:
    /** @return the data of each event that is now complete. */
    std::vector<std::string> feed(std::string_view bytes);

private:
    void line(std::string_view text, std::vector<std::string> &events);

    std::string partialLine_;
    std::string data_;
    bool hasData_ = false;
};

}
