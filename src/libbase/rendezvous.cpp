#include "rendezvous.h"

#include <xxhash.h>

namespace Chestnutcove {

std::uint64_t rendezvousHash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t rendezvousScore(std::uint64_t keyHash, std::uint64_t candidateHash)
{
    return XXH3_64bits_withSeed(&candidateHash, sizeof candidateHash, keyHash);
}

std::vector<std::string> rendezvous(std::string_view key, std::vector<std::string> candidates, std::size_t count)
{
    const std::uint64_t keyHash = rendezvousHash(key);
    std::sort(candidates.begin(), candidates.end(), [keyHash](const std::string &left, const std::string &right) {
        const auto leftScore = rendezvousScore(keyHash, rendezvousHash(left));
        const auto rightScore = rendezvousScore(keyHash, rendezvousHash(right));
        return leftScore != rightScore ? leftScore > rightScore : left < right;
    });
    candidates.resize(std::min(count, candidates.size()));
    return candidates;
}

}
