#include "endpointlimits.h"

#include <algorithm>
#include <chrono>

namespace Chestnutcove {

namespace {

/** An endpoint that takes fewer requests, or none, gets one as often as this, since only an answer tells that its limit has ended. */
constexpr double MinRate = 0.1;
/** The units of this time, and one more, may be taken at once. */
constexpr std::chrono::milliseconds BurstTime{500};
/** No units are promised to gateways that were refused, since their requests go to other endpoints. */
constexpr std::chrono::seconds MaxPromise{0};
/**
 * A gateway that is cut off from the store goes on with its share. Its successors in the division may spend the same share, which exceeds
 * the limit by at most one share and only where the endpoint can be reached by the gateway that is cut off.
 */
constexpr std::chrono::hours MaxDivisionAge{1};
constexpr std::chrono::milliseconds MinPause{5};
/** Pause where no holder of a limit could be asked. */
constexpr std::chrono::milliseconds UnknownHolderPause{300};
/** Time for which other gateways are told that a limit has ended. */
constexpr std::chrono::seconds EndedLimitLifetime{30};
/** Longer than any answer may take. */
constexpr std::chrono::minutes MaxObservationAge{10};

RateLimit sharedLimit(const std::string &run, double perSecond)
{
    RateLimit limit;
    limit.name = run;
    limit.rate = std::max(perSecond, MinRate);
    limit.burst = limit.rate * toSeconds(BurstTime) + 1;
    limit.maxHolders = std::clamp<std::size_t>(static_cast<std::size_t>(limit.burst) - 1, 1, MaxQuotaHolders);
    return limit;
}

}

std::string EndpointLimits::runOf(const EndpointRecord &endpoint)
{
    return endpoint.id + '/' + std::to_string(endpoint.startedAt);
}

QuotaShareOptions EndpointLimits::shareOptions()
{
    QuotaShareOptions options;
    options.maxAge = MaxDivisionAge;
    options.window = MaxPromise;
    return options;
}

QuotaCollectorOptions EndpointLimits::collectorOptions()
{
    QuotaCollectorOptions options;
    // One gateway may get all requests for the endpoint and then needs all shares.
    options.maxRefusals = MaxQuotaHolders;
    return options;
}

Duration EndpointLimits::pauseAfter(const QuotaVerdict &verdict)
{
    const bool isUsedUp = verdict.result == QuotaVerdict::Result::RateLimited;
    return isUsedUp ? std::max<Duration>(verdict.wait, MinPause) : UnknownHolderPause;
}

bool EndpointLimits::observe(const std::string &run, const Observation &observation)
{
    const auto [it, isNew] = entries_.try_emplace(run);
    Entry &entry = it->second;
    if (!isNew && observation.seenAt < entry.newest.seenAt) {
        return false;
    }
    const auto before = entry.newest.perSecond;
    entry.newest = observation;
    if (observation.perSecond == before) {
        return false;
    }
    entry.usedUpUntil = {};
    entry.endedAt.reset();
    limitedRuns_ -= before ? 1 : 0;
    if (!observation.perSecond) {
        entry.endedAt = observation.seenAt;
    } else {
        ++limitedRuns_;
        entry.shared = sharedLimit(run, *observation.perSecond);
    }
    return true;
}

std::optional<EndpointLimits::Observation> EndpointLimits::newestOf(const std::string &run) const
{
    const auto it = entries_.find(run);
    return it == entries_.end() ? std::nullopt : std::optional(it->second.newest);
}

const RateLimit *EndpointLimits::find(const std::string &run) const
{
    if (limitedRuns_ == 0) {
        return nullptr;
    }
    const auto it = entries_.find(run);
    return it == entries_.end() || !it->second.newest.perSecond ? nullptr : &it->second.shared;
}

std::map<std::string, EndpointLimits::Observation> EndpointLimits::recentLimits(TimePoint now) const
{
    std::map<std::string, Observation> result;
    for (const auto &[run, entry] : entries_) {
        const bool hasEndedRecently = entry.endedAt && now - *entry.endedAt < EndedLimitLifetime;
        if (entry.newest.perSecond || hasEndedRecently) {
            result.emplace(run, entry.newest);
        }
    }
    return result;
}

void EndpointLimits::onUsedUp(const std::string &run, TimePoint until)
{
    const auto it = entries_.find(run);
    if (it != entries_.end()) {
        it->second.usedUpUntil = std::max(it->second.usedUpUntil, until);
    }
}

TimePoint EndpointLimits::usedUpUntil(const std::string &run) const
{
    if (limitedRuns_ == 0) {
        return {};
    }
    const auto it = entries_.find(run);
    return it == entries_.end() ? TimePoint{} : it->second.usedUpUntil;
}

void EndpointLimits::remove(const std::string &run)
{
    const auto it = entries_.find(run);
    if (it == entries_.end()) {
        return;
    }
    limitedRuns_ -= it->second.newest.perSecond ? 1 : 0;
    entries_.erase(it);
}

void EndpointLimits::removeStale(TimePoint now)
{
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto current = it++;
        if (now - current->second.newest.seenAt >= MaxObservationAge) {
            limitedRuns_ -= current->second.newest.perSecond ? 1 : 0;
            entries_.erase(current);
        }
    }
}

}
