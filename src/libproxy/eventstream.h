/**
 * Boundaries of server-sent events (WHATWG HTML, "Server-sent events") in a stream that is forwarded without being decoded. An event ends
 * with an empty line; lines end with LF, CRLF or CR.
 */
#pragma once

#include <cstddef>
#include <string_view>

namespace Chestnutcove {

/**
 * Number of leading bytes that consist of whole events. @param searched number of leading bytes that are known to contain no end of an
 * event, because they were searched when fewer bytes had arrived.
 */
std::size_t wholeEventsSize(std::string_view bytes, std::size_t searched = 0);
/** Whether a stream that ends with these bytes, which follow its last whole event, was broken off. Empty lines are no event. */
bool endsInsideEvent(std::string_view remainder);

}
