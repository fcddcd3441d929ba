#include "router.h"

#include "promptblocks.h"
#include "rendezvous.h"

#include <algorithm>
#include <limits>

namespace Chestnutcove {

namespace {

/** Cached blocks that are kept for each endpoint; a change that exceeds this discards those known before. */
constexpr std::size_t MaxCachedBlocks = 65536;

struct Candidate
{
    const Router::Endpoint *endpoint = nullptr;
    Duration predicted{};
    std::size_t cachedBlocks = 0;
};

/** Time to read the part of the prompt that isn't cached. */
double prefillSeconds(const EndpointLoad &load, const RouteQuery &query, std::size_t cachedBlocks)
{
    const double cachedTokens = static_cast<double>(cachedBlocks * TokensPerBlock);
    return std::max(0.0, query.promptTokens - cachedTokens) / std::max(load.prefillTokensPerSecond, 1.0);
}

void addPrefill(Router::Endpoint &endpoint, const Router::Endpoint::Dispatch &dispatch)
{
    endpoint.prefillFreeAt = std::max(endpoint.prefillFreeAt, dispatch.at) + fromSeconds(dispatch.prefillSeconds);
}

std::string affinityKey(const RouteQuery &query)
{
    return query.blocks.empty() ? std::string() : query.serves + "/" + std::to_string(query.blocks.front());
}

}

Router::Router(RouterOptions options)
    : options_(std::move(options))
{
}

void Router::putEndpoint(const EndpointEntry &entry)
{
    const auto known = endpoints_.find(entry.name);
    if (known != endpoints_.end() && known->second.entry.serves != entry.serves) {
        removeEndpoint(entry.name);
    }
    const auto [it, inserted] = endpoints_.try_emplace(entry.name);
    it->second.entry = entry;
    it->second.nameHash = rendezvousHash(entry.name);
    if (inserted) {
        endpointsByServes_[entry.serves].push_back(&it->second);
    }
}

void Router::removeEndpoint(const std::string &name)
{
    const auto it = endpoints_.find(name);
    if (it == endpoints_.end()) {
        return;
    }
    std::erase(endpointsByServes_[it->second.entry.serves], &it->second);
    endpoints_.erase(it);
}

void Router::updateLoad(const std::string &name, const EndpointLoad &load, std::uint64_t dispatchesIncluded, TimePoint now)
{
    const auto it = endpoints_.find(name);
    if (it == endpoints_.end()) {
        return;
    }
    Endpoint &endpoint = it->second;
    endpoint.load = load;
    endpoint.hasReport = true;
    endpoint.reportedAt = now;
    std::erase_if(endpoint.unreportedDispatches,
                  [dispatchesIncluded](const auto &dispatch) { return dispatch.number <= dispatchesIncluded; });
    endpoint.prefillFreeAt = now + fromSeconds(load.prefillSeconds);
    for (const auto &dispatch : endpoint.unreportedDispatches) {
        addPrefill(endpoint, dispatch);
    }
}

void Router::updateCachedBlocks(const std::string &name,
                                bool reset,
                                const std::vector<std::uint64_t> &stored,
                                const std::vector<std::uint64_t> &evicted)
{
    const auto it = endpoints_.find(name);
    if (it == endpoints_.end()) {
        return;
    }
    auto &known = it->second.blocks;
    if (reset || known.size() + stored.size() > MaxCachedBlocks) {
        known.clear();
    }
    known.insert(stored.begin(), stored.end());
    for (const std::uint64_t block : evicted) {
        known.erase(block);
    }
}

void Router::onLinkLost(const std::string &name)
{
    const auto it = endpoints_.find(name);
    if (it != endpoints_.end()) {
        it->second.hasReport = false;
        it->second.unreportedDispatches.clear();
    }
}

bool Router::isCandidate(const Endpoint &endpoint, const RouteQuery &query, TimePoint now) const
{
    if (!endpoint.hasReport || now - endpoint.reportedAt > options_.reportTimeout || !endpoint.load.healthy) {
        return false;
    }
    if (endpoint.entry.draining || endpoint.load.draining || endpoint.ejectedUntil > now) {
        return false;
    }
    return std::find(query.excluded.begin(), query.excluded.end(), endpoint.entry.name) == query.excluded.end();
}

Duration Router::predictFirstTokenTime(const Endpoint &endpoint, const RouteQuery &query, std::size_t cachedBlocks, TimePoint now) const
{
    const EndpointLoad &load = endpoint.load;
    const double slots = static_cast<double>(std::max<std::uint64_t>(load.slots, 1));
    const double inFlight = static_cast<double>(load.running + load.queued + endpoint.unreportedDispatches.size());
    double seconds = 0;
    if (inFlight >= slots) {
        seconds = load.queuedSeconds + load.runningSeconds / std::max(static_cast<double>(load.running), 1.0) / 2;
        for (const auto &dispatch : endpoint.unreportedDispatches) {
            seconds += dispatch.seconds;
        }
    } else {
        // Prefers the emptier of the endpoints that have free slots, since a fuller batch answers slower.
        seconds = inFlight / slots / std::max(load.decodeTokensPerSecond, 1.0);
    }
    // While the request waits for a slot, the endpoint reads the prompts before it.
    seconds = std::max(seconds, toSeconds(endpoint.prefillFreeAt - now)) + prefillSeconds(load, query, cachedBlocks);
    Duration predicted = fromSeconds(seconds);
    if (endpoint.entry.dataCentre != options_.dataCentre) {
        predicted += options_.otherDataCentrePenalty;
    }
    return predicted;
}

std::size_t Router::cachedPrefixBlocks(const Endpoint &endpoint, const std::vector<std::uint64_t> &blocks) const
{
    // An endpoint that caches a block also caches those before it, so a binary search finds the longest cached prefix.
    std::size_t low = 0;
    std::size_t high = endpoint.blocks.empty() ? 0 : blocks.size();
    while (low < high) {
        const std::size_t middle = (low + high + 1) / 2;
        if (endpoint.blocks.contains(blocks[middle - 1])) {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    return low;
}

std::optional<RouteChoice> Router::choose(const RouteQuery &query, TimePoint now)
{
    const auto servingEndpoints = endpointsByServes_.find(query.serves);
    if (servingEndpoints == endpointsByServes_.end()) {
        return std::nullopt;
    }
    const std::string key = affinityKey(query);
    const std::uint64_t keyHash = rendezvousHash(key);
    Candidate best;
    Candidate withAffinity;
    std::uint64_t bestAffinityScore = 0;
    for (const Endpoint *endpoint : servingEndpoints->second) {
        if (!isCandidate(*endpoint, query, now)) {
            continue;
        }
        const std::size_t cached = cachedPrefixBlocks(*endpoint, query.blocks);
        const Candidate candidate{endpoint, predictFirstTokenTime(*endpoint, query, cached, now), cached};
        if (best.endpoint == nullptr || candidate.predicted < best.predicted) {
            best = candidate;
        }
        if (key.empty()) {
            continue;
        }
        const std::uint64_t score = rendezvousScore(keyHash, endpoint->nameHash);
        if (withAffinity.endpoint == nullptr || score > bestAffinityScore) {
            withAffinity = candidate;
            bestAffinityScore = score;
        }
    }
    if (best.endpoint == nullptr) {
        return std::nullopt;
    }
    const auto bound = std::chrono::duration_cast<Duration>(best.predicted * options_.affinityFactor) + options_.affinitySlack;
    const bool mayUseAffinity = best.cachedBlocks == 0 && withAffinity.endpoint != nullptr;
    if (mayUseAffinity && withAffinity.endpoint != best.endpoint && withAffinity.predicted <= bound) {
        return RouteChoice{
            withAffinity.endpoint->entry.name, withAffinity.predicted, withAffinity.cachedBlocks, "prefix affinity within the load bound"};
    }
    return RouteChoice{best.endpoint->entry.name,
                       best.predicted,
                       best.cachedBlocks,
                       best.cachedBlocks > 0 ? "shortest predicted time, prefix cached" : "shortest predicted time"};
}

std::uint64_t Router::recordDispatch(const std::string &name, const RouteQuery &query, TimePoint now)
{
    const auto it = endpoints_.find(name);
    if (it == endpoints_.end()) {
        return 0;
    }
    Endpoint &endpoint = it->second;
    const EndpointLoad &load = endpoint.load;
    const double totalDecodeTokensPerSecond = load.decodeTokensPerSecond * static_cast<double>(std::max<std::uint64_t>(load.slots, 1));
    Endpoint::Dispatch dispatch;
    dispatch.number = ++endpoint.lastDispatchNumber;
    dispatch.at = now;
    dispatch.seconds
        = query.promptTokens / std::max(load.prefillTokensPerSecond, 1.0) + query.outputTokens / std::max(totalDecodeTokensPerSecond, 1.0);
    dispatch.prefillSeconds = prefillSeconds(load, query, cachedPrefixBlocks(endpoint, query.blocks));
    addPrefill(endpoint, dispatch);
    endpoint.unreportedDispatches.push_back(dispatch);
    return endpoint.lastDispatchNumber;
}

void Router::recordSuccess(const std::string &name)
{
    const auto it = endpoints_.find(name);
    if (it != endpoints_.end()) {
        it->second.failures = 0;
    }
}

void Router::recordFailure(const std::string &name, TimePoint now)
{
    const auto it = endpoints_.find(name);
    if (it == endpoints_.end()) {
        return;
    }
    if (++it->second.failures >= options_.failuresToEject) {
        // One more failure after the ejection time ejects the endpoint again.
        it->second.failures = options_.failuresToEject - 1;
        it->second.ejectedUntil = now + options_.ejectionTime;
    }
}

std::size_t Router::candidateCount(const std::string &serves, TimePoint now) const
{
    const auto servingEndpoints = endpointsByServes_.find(serves);
    if (servingEndpoints == endpointsByServes_.end()) {
        return 0;
    }
    const RouteQuery query{serves, 0, 0, {}, {}};
    return static_cast<std::size_t>(std::count_if(servingEndpoints->second.begin(),
                                                  servingEndpoints->second.end(),
                                                  [&](const Endpoint *endpoint) { return isCandidate(*endpoint, query, now); }));
}

}
