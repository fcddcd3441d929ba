#include "requestdigest.h"

#include "rendezvous.h"

#include <array>
#include <charconv>

namespace Chestnutcove {

namespace {

constexpr int Hexadecimal = 16;

/** The length keeps parts apart that would be the same text when joined. */
void appendPart(std::string &text, std::string_view part)
{
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

}

std::string requestDigest(std::string_view target, std::string_view customer, std::string_view body)
{
    std::string text;
    text.reserve(target.size() + customer.size() + body.size() + 64);
    appendPart(text, target);
    appendPart(text, customer);
    appendPart(text, body);
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.begin(), digits.end(), rendezvousHash(text), Hexadecimal).ptr;
    const std::string number(digits.begin(), end);
    return std::string(digits.size() - number.size(), '0') + number;
}

}
