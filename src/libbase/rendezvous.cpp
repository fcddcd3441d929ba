#include "rendezvous.h"

#include <xxhash.h>

namespace Chestnutcove {

std::uint64_t rendezvousScore(std::string_view key, std::string_view candidate)
{
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), XXH3_64bits(key.data(), key.size()));
}

std::vector<std::string> rendezvous(std::string_view key, std::vector<std::string> candidates, std::size_t count)
{
    std::sort(candidates.begin(), candidates.end(), [key](const std::string &left, const std::string &right) {
        const auto leftScore = rendezvousScore(key, left);
        const auto rightScore = rendezvousScore(key, right);
        return leftScore != rightScore ? leftScore > rightScore : left < right;
    });
    candidates.resize(std::min(count, candidates.size()));
    return candidates;
}

}
