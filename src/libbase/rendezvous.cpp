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
    struct Scored
    {
        std::uint64_t score = 0;
        std::string name;
    };
    const std::uint64_t keyHash = rendezvousHash(key);
    std::vector<Scored> scored;
    scored.reserve(candidates.size());
    for (std::string &candidate : candidates) {
        const std::uint64_t score = rendezvousScore(keyHash, rendezvousHash(candidate));
        scored.push_back({score, std::move(candidate)});
    }
    const auto first = scored.begin() + static_cast<std::ptrdiff_t>(std::min(count, scored.size()));
    std::partial_sort(scored.begin(), first, scored.end(), [](const Scored &left, const Scored &right) {
        return left.score != right.score ? left.score > right.score : left.name < right.name;
    });
    std::vector<std::string> chosen;
    for (auto it = scored.begin(); it != first; ++it) {
        chosen.push_back(std::move(it->name));
    }
    return chosen;
}

}
