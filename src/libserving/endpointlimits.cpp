#include "endpointlimits.h"

#include <utility>

namespace Chestnutcove {

std::string EndpointLimits::runOf(const EndpointRecord &endpoint)
{
    return endpoint.id + '/' + std::to_string(endpoint.startedAt);
}

bool EndpointLimits::observe(const std::string &run, std::optional<double> perSecond, TimePoint seenAt)
{
    const auto [it, isNew] = observations_.try_emplace(run, Observation{std::nullopt, seenAt});
    Observation &known = it->second;
    if (seenAt < known.seenAt) {
        return false;
    }
    known.seenAt = seenAt;
    return std::exchange(known.perSecond, perSecond) != perSecond;
}

std::optional<double> EndpointLimits::limitOf(const std::string &run) const
{
    const auto it = observations_.find(run);
    return it == observations_.end() ? std::nullopt : it->second.perSecond;
}

void EndpointLimits::remove(const std::string &run)
{
    observations_.erase(run);
}

}
