#include "reconnectpolicy.h"

#include <algorithm>

namespace Chestnutcove {

namespace {

constexpr unsigned MaxDoublings = 10;
/** The silence that is waited for is longer by up to this fraction. */
constexpr double MaxJitter = 0.5;
constexpr std::uint64_t JitterSteps = 64;

}

ReconnectPolicy::ReconnectPolicy(ReconnectOptions options, std::uint64_t seed)
    : options_(options)
    , seed_(seed)
{
}

void ReconnectPolicy::onHeard()
{
    silentSince_.reset();
    replacements_ = 0;
}

bool ReconnectPolicy::onUnanswered(TimePoint now)
{
    if (!silentSince_) {
        silentSince_ = now;
        return false;
    }
    const double jitter = 1 + MaxJitter * static_cast<double>((seed_ + replacements_) % JitterSteps) / JitterSteps;
    const Duration doubled = options_.firstSilence * (1U << std::min(replacements_, MaxDoublings));
    const Duration needed = fromSeconds(toSeconds(std::min(doubled, options_.longestSilence)) * jitter);
    if (now - *silentSince_ < needed) {
        return false;
    }
    silentSince_ = now;
    ++replacements_;
    return true;
}

}
