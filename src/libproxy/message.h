/**
 * Heads of HTTP/1.1 messages. Header fields keep their order, spelling and repetitions, so that a proxy can forward them unchanged.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chestnutcove {

struct HeaderField
{
    std::string name;
    std::string value;
};

using HeaderFields = std::vector<HeaderField>;

/** The first field with the name, compared case-insensitively, or null. */
const HeaderField *findField(const HeaderFields &fields, std::string_view name);
/** Whether a field with the name has the token in its comma-separated list; both are compared case-insensitively. */
bool hasToken(const HeaderFields &fields, std::string_view name, std::string_view token);
/** The end-to-end fields: without hop-by-hop fields (RFC 9110, 7.6.1) and without those that describe the message's framing. */
HeaderFields endToEndFields(const HeaderFields &fields);

struct RequestHead
{
    std::string method;
    std::string target;
    HeaderFields fields;

    std::string_view path() const;
};

struct ResponseHead
{
    int status = 0;
    std::string reason;
    HeaderFields fields;
};

/** The standard reason phrase of a status code. */
std::string_view reasonPhrase(int status);

/** The start line and the fields, up to and including the empty line after them. */
std::string serialise(const RequestHead &head);
std::string serialise(const ResponseHead &head);

}
