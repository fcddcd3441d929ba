#include "message.h"

#include "text.h"

#include <algorithm>
#include <array>

namespace Chestnutcove {

namespace {

constexpr std::array<std::string_view, 11> HopByHopFields{"connection",
                                                          "keep-alive",
                                                          "proxy-connection",
                                                          "te",
                                                          "trailer",
                                                          "transfer-encoding",
                                                          "upgrade",
                                                          "content-length",
                                                          "expect",
                                                          "proxy-authenticate",
                                                          "proxy-authorization"};

void appendFields(std::string &text, const HeaderFields &fields)
{
    for (const auto &field : fields) {
        text += field.name;
        text += ": ";
        text += field.value;
        text += "\r\n";
    }
    text += "\r\n";
}

}

const HeaderField *findField(const HeaderFields &fields, std::string_view name)
{
    const auto it
        = std::find_if(fields.begin(), fields.end(), [name](const HeaderField &field) { return equalsIgnoringCase(field.name, name); });
    return it == fields.end() ? nullptr : &*it;
}

bool hasToken(const HeaderFields &fields, std::string_view name, std::string_view token)
{
    for (const auto &field : fields) {
        if (!equalsIgnoringCase(field.name, name)) {
            continue;
        }
        for (const std::string_view part : splitList(field.value, ',')) {
            if (equalsIgnoringCase(part, token)) {
                return true;
            }
        }
    }
    return false;
}

HeaderFields endToEndFields(const HeaderFields &fields)
{
    HeaderFields result;
    result.reserve(fields.size());
    for (const auto &field : fields) {
        const std::string name = lowerCase(field.name);
        const bool isHopByHop = std::find(HopByHopFields.begin(), HopByHopFields.end(), name) != HopByHopFields.end();
        if (!isHopByHop && !hasToken(fields, "connection", name)) {
            result.push_back(field);
        }
    }
    return result;
}

std::string_view RequestHead::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 100:
        return "Continue";
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

std::string serialise(const RequestHead &head)
{
    std::string text = head.method + ' ' + head.target + " HTTP/1.1\r\n";
    appendFields(text, head.fields);
    return text;
}

std::string serialise(const ResponseHead &head)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + ' ' + head.reason + "\r\n";
    appendFields(text, head.fields);
    return text;
}

}
