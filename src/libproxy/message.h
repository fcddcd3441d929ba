/**
 * Heads of HTTP/1.1 messages as they are passed through: fields keep their order, their spelling and their repetitions.
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

/** The first field of that name, compared without case, or null. */
const HeaderField *findField(const HeaderFields &fields, std::string_view name);
/** Whether the comma-separated list in a field of that name holds the token. */
bool hasToken(const HeaderFields &fields, std::string_view name, std::string_view token);
/** The fields that concern the message and not just one connection (RFC 9110, 7.6.1), without those that describe its framing. */
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

/** The usual reason phrase of a status. */
std::string_view reasonOf(int status);

/** Start line and fields, with the empty line. */
std::string serialise(const RequestHead &head);
std::string serialise(const ResponseHead &head);

}
