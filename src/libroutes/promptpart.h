/**
 * An identified segment of a prompt. An engine reuses its KV cache for the leading segments that a prompt shares with earlier ones.
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
