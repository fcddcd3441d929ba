/**
 * Tells whether two requests are repeats of each other: the same path, caller and body. What differs between attempts (id, deadline) stays
 * out.
 */
#pragma once

#include <string>
#include <string_view>

namespace Chestnutcove {

/** @param target path and query. @param customer whose key the request has; empty where the route needs none. @return 16 hex digits. */
std::string requestDigest(std::string_view target, std::string_view customer, std::string_view body);

}
