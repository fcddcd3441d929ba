/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): processes that know the same candidates agree on an order of them for a key without
 * exchanging a message, and a candidate's departure moves only what it had.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Chestnutcove {

std::uint64_t rendezvousHash(std::string_view text);
/** The score of two hashes, for callers that keep them. */
std::uint64_t rendezvousScore(std::uint64_t keyHash, std::uint64_t candidateHash);

/** The first @p count candidates in the order of their score for the key. */
std::vector<std::string> rendezvous(std::string_view key, std::vector<std::string> candidates, std::size_t count);

}
