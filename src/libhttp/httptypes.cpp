#include "httptypes.h"

#include <algorithm>
#include <cctype>

namespace Chestnutcove {

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

std::vector<std::string_view> HttpRequest::headerValues(std::string_view name) const
{
    std::vector<std::string_view> result;
    for (const auto &[key, value] : headers) {
        if (equalIgnoringCase(key, name)) {
            result.push_back(value);
        }
    }
    return result;
}

std::optional<std::string_view> HttpRequest::headerValue(std::string_view name) const
{
    const auto all = headerValues(name);
    if (all.size() != 1) {
        return std::nullopt;
    }
    return all.front();
}

std::optional<std::string> HttpRequest::queryParameter(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto part = rest.substr(0, end);
        const auto equals = part.find('=');
        if (part.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string() : std::string(part.substr(equals + 1));
        }
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return std::nullopt;
}

}
