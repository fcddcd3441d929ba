/**
 * Prompts cut into blocks, each hashed together with all that stands before it, so that equal hashes mean equal prefixes. Gateways,
 * sidecars and engine adapters use the same blocks.
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

/** One hash for each whole block of the text (XXH3, 64 bits). */
std::vector<std::uint64_t> promptBlocks(std::string_view text);

/** Estimated tokens of a text of that length. */
std::uint64_t estimateTokens(std::size_t bytes);

}
