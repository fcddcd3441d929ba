/**
 * A part of a prompt. Prompts with the same parts at their beginning share what an engine has computed for them.
 */
#pragma once

#include <cstdint>
#include <string>

namespace Chestnutcove {

struct PromptPart
{
    std::string id;
    std::uint64_t tokens = 0;
};

}
