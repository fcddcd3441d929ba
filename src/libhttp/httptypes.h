/**
 * Header and request types of the HTTP server and the HTTP client.
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
    /** Id of the connection that the request came from; HttpServer::DisconnectHandler is called with it. */
    std::uint64_t connection = 0;

    /** All values of the header @p name in order of appearance; the name is compared without regard to case. */
    std::vector<std::string_view> headerValues(std::string_view name) const;
    /** The value of the header @p name, or nothing when it is absent or appears more than once. */
    std::optional<std::string_view> headerValue(std::string_view name) const;
    /** The first value of the query parameter @p name, not percent-decoded, or nothing when it is absent. */
    std::optional<std::string> queryParameter(std::string_view name) const;
};

bool equalIgnoringCase(std::string_view left, std::string_view right);

}
