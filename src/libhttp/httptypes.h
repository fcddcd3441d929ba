/**
 * Plain request and answer types shared by the HTTP server and the HTTP client.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Chestnutcove {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest
{
    std::string method;
    std::string path;
    std::string query;
    HttpHeaders headers;
    std::string body;
    /** Distinguishes the client's connection; see HttpServer's disconnect handler. */
    std::uint64_t connection = 0;

    /** The header's values in order; names compare without case. */
    std::vector<std::string_view> values(std::string_view name) const;
    /** The header's value, or nothing where it is absent or given more than once. */
    std::optional<std::string_view> value(std::string_view name) const;
    /** The value of a query parameter without decoding, or nothing. */
    std::optional<std::string> parameter(std::string_view name) const;
};

bool equalIgnoringCase(std::string_view left, std::string_view right);

}
