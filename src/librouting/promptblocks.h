/**
 * Splits prompts into blocks. The hash of a block covers the block and everything before it, so that equal hashes mean equal prefixes.
 * Gateways, sidecars and engine adapters use the same blocks.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Chestnutcove {

inline constexpr std::size_t BytesPerToken = 4;
inline constexpr std::size_t BlockBytes = 256;
inline constexpr std::size_t TokensPerBlock = BlockBytes / BytesPerToken;

/** One hash (XXH3, 64 bits) for each complete block of the text. */
std::vector<std::uint64_t> promptBlocks(std::string_view text);

/** Estimated number of tokens in a text of this many bytes. */
std::uint64_t estimateTokens(std::size_t bytes);

}
