#include "promptblocks.h"

#include <xxhash.h>

namespace Chestnutcove {

std::vector<std::uint64_t> promptBlocks(std::string_view text)
{
    std::vector<std::uint64_t> result;
    result.reserve(text.size() / BlockBytes);
    std::uint64_t hash = 0;
    for (std::size_t start = 0; start + BlockBytes <= text.size(); start += BlockBytes) {
        hash = XXH3_64bits_withSeed(text.data() + start, BlockBytes, hash);
        result.push_back(hash);
    }
    return result;
}

std::uint64_t estimateTokens(std::size_t bytes)
{
    return (bytes + BytesPerToken - 1) / BytesPerToken;
}

}
