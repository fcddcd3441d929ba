#include "placement.h"

#include "rendezvous.h"

#include <algorithm>
#include <limits>

namespace Chestnutcove {

namespace {

/** Weight of the latest prompt in the exponentially smoothed mean. */
constexpr double MeanSmoothing = 0.02;

/** The id of the part that identifies the session: the last part that other requests may share. */
const std::string &sessionPartId(const std::vector<PromptPart> &parts)
{
    return parts.size() > 1 ? parts[parts.size() - 2].id : parts.front().id;
}

/** An endpoint without a stage may be no engine: it would run the request. */
bool mayPrefill(const EndpointRecord &endpoint)
{
    return endpoint.stage == EngineStage::Prefill;
}

bool mayRun(const EndpointRecord &endpoint)
{
    return endpoint.stage != EngineStage::Prefill;
}

}

PlacementPolicy::PlacementPolicy(PlacementOptions options, const EndpointLoads &loads, const EndpointSpeeds &speeds)
    : options_(options)
    , loads_(loads)
    , speeds_(speeds)
{
}

Placement PlacementPolicy::place(const PlacementQuery &query, const std::vector<EndpointRecord> &endpoints, TimePoint now) const
{
    Placement placement;
    const auto &generation = query.generation;
    const bool isLongPrompt = generation && !generation->promptParts.empty() && generation->promptTokens >= options_.minDisaggregatedTokens;
    // A prefilled prompt is of no use without an engine that decodes the answer.
    if (isLongPrompt && chooseRunEndpoint(query, endpoints, now)) {
        placement = placePrompt(query, *generation, endpoints, now);
    }
    if (placement.result == Placement::Result::NoEndpoint) {
        placement.runEndpoint = chooseRunEndpoint(query, endpoints, now);
        placement.result = placement.runEndpoint ? Placement::Result::Placed : Placement::Result::NoEndpoint;
    }
    placement.hasShortAnswer = hasShortAnswer(query);
    if (placement.result == Placement::Result::Placed && !hasDecodeCapacity(query, endpoints, now)) {
        placement.result = Placement::Result::Overloaded;
        placement.expectedWait = options_.slotRetryDelay;
    }
    return placement;
}

bool PlacementPolicy::hasShortAnswer(const PlacementQuery &query) const
{
    return !query.generation || query.generation->maxOutputTokens <= options_.shortAnswerTokens;
}

bool PlacementPolicy::hasDecodeCapacity(const PlacementQuery &query, const std::vector<EndpointRecord> &endpoints, TimePoint now) const
{
    const auto engine = chooseRunEndpoint(query, endpoints, now);
    if (!engine || !engine->stage) {
        return true;
    }
    const double requests = loads_.loadOf(engine->id).calls + loads_.otherGatewayRequests(engine->id, now);
    return requests < engine->slots * (hasShortAnswer(query) ? options_.maxLoadForShortAnswers : options_.maxLoadForLongAnswers);
}

template<typename Wait>
Placement PlacementPolicy::fastestPrefill(const GenerationDemand &generation,
                                          const std::vector<EndpointRecord> &engines,
                                          TimePoint now,
                                          Wait waitOf) const
{
    std::vector<std::string> ids;
    ids.reserve(engines.size());
    for (const auto &engine : engines) {
        ids.push_back(engine.id);
    }
    const auto order = rendezvous(sessionPartId(generation.promptParts), ids, ids.size());
    Placement best;
    Duration bestTime = Duration::max();
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        const auto engine = std::find_if(engines.begin(), engines.end(), [&](const auto &each) { return each.id == order[rank]; });
        const std::uint64_t tokens = countUncachedTokens(generation, engine->id, rank == 0);
        const Duration wait = waitOf(*engine);
        const Duration prefill = prefillTime(*engine, static_cast<double>(tokens), now);
        const Duration time = wait + prefill + options_.rankPenalty * static_cast<int>(rank);
        if (time < bestTime) {
            bestTime = time;
            best.prefillEngine = *engine;
            best.uncachedTokens = tokens;
            best.expectedWait = wait;
        }
    }
    return best;
}

Placement PlacementPolicy::placePrompt(const PlacementQuery &query,
                                       const GenerationDemand &generation,
                                       const std::vector<EndpointRecord> &endpoints,
                                       TimePoint now) const
{
    const auto engines = candidates(query, endpoints, mayPrefill, now);
    if (engines.empty()) {
        return {};
    }
    Placement timely = fastestPrefill(generation, engines, now, [&](const EndpointRecord &engine) { return timelyWait(engine, now); });
    timely.result = Placement::Result::Placed;
    timely.expectedWait = std::max(timely.expectedWait, loads_.oldestTimelyPromptAge(timely.prefillEngine->id, now));
    if (toSeconds(timely.expectedWait) <= toSeconds(query.targetLatency) * options_.timelyWaitFraction) {
        return timely;
    }
    Placement late = fastestPrefill(generation, engines, now, [&](const EndpointRecord &engine) { return expectedWait(engine, now); });
    late.isLate = true;
    late.expectedWait = std::max(late.expectedWait, loads_.oldestPromptAge(late.prefillEngine->id, now));
    const bool tooLate = toSeconds(late.expectedWait) > toSeconds(query.maxWait) * options_.refusalWaitFraction;
    late.result = tooLate ? Placement::Result::Overloaded : Placement::Result::Placed;
    return late;
}

std::optional<EndpointRecord>
PlacementPolicy::chooseRunEndpoint(const PlacementQuery &query, const std::vector<EndpointRecord> &endpoints, TimePoint now) const
{
    auto engines = candidates(query, endpoints, mayRun, now);
    std::optional<EndpointRecord> best;
    double bestUtilisation = std::numeric_limits<double>::max();
    for (const auto &engine : engines) {
        const double engineUtilisation = utilisation(engine, query.dataCentre, now);
        if (engineUtilisation < bestUtilisation) {
            bestUtilisation = engineUtilisation;
            best = engine;
        }
    }
    return best;
}

template<typename Fitness>
std::vector<EndpointRecord>
PlacementPolicy::candidates(const PlacementQuery &query, const std::vector<EndpointRecord> &endpoints, Fitness isFit, TimePoint now) const
{
    std::vector<EndpointRecord> preferred;
    std::vector<EndpointRecord> avoided;
    for (const auto &endpoint : endpoints) {
        if (!isFit(endpoint) || query.excluded.contains(endpoint.id)) {
            continue;
        }
        (loads_.isAvoided(endpoint.id, now) ? avoided : preferred).push_back(endpoint);
    }
    return preferred.empty() ? avoided : preferred;
}

std::uint64_t
PlacementPolicy::countUncachedTokens(const GenerationDemand &generation, const std::string &endpoint, bool assumeSessionCached) const
{
    const auto &parts = generation.promptParts;
    std::uint64_t cached = 0;
    std::uint64_t total = 0;
    bool prefixCached = true;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const bool shared = i + 1 < parts.size();
        // A cached part is usable only if all parts before it are cached too.
        prefixCached = prefixCached && shared && (assumeSessionCached || isTracked(endpoint, parts[i].id));
        cached += prefixCached ? parts[i].tokens : 0;
        total += parts[i].tokens;
    }
    return std::max(total, generation.promptTokens) - cached;
}

bool PlacementPolicy::isTracked(const std::string &endpoint, const std::string &part) const
{
    const auto it = trackedParts_.find(endpoint);
    return it != trackedParts_.end() && it->second.positions.contains(part);
}

Duration PlacementPolicy::prefillTime(const EndpointRecord &endpoint, double tokens, TimePoint now) const
{
    const double tokensPerMs = speeds_.prefillTokensPerMs(endpoint, now).value_or(options_.prefillTokensPerMs);
    return fromSeconds(tokens / tokensPerMs / 1000 * loads_.slowdown(endpoint.id, now));
}

Duration PlacementPolicy::expectedWait(const EndpointRecord &endpoint, TimePoint now) const
{
    const double own = static_cast<double>(loads_.loadOf(endpoint.id).promptTokens);
    return prefillTime(endpoint, own + loads_.otherGatewayRequests(endpoint.id, now) * meanUncachedTokens_, now);
}

Duration PlacementPolicy::timelyWait(const EndpointRecord &endpoint, TimePoint now) const
{
    const double own = static_cast<double>(loads_.loadOf(endpoint.id).timelyPromptTokens);
    const double others = loads_.otherGatewayRequests(endpoint.id, now) * meanUncachedTokens_ * loads_.timelyTokenFraction();
    return prefillTime(endpoint, own + others, now);
}

double PlacementPolicy::utilisation(const EndpointRecord &endpoint, const std::string &dataCentre, TimePoint now) const
{
    const auto &load = loads_.loadOf(endpoint.id);
    const double dataCentrePenalty = endpoint.dataCentre == dataCentre ? 0 : options_.otherDataCentrePenalty;
    const double requests = load.calls + loads_.otherGatewayRequests(endpoint.id, now);
    return requests / endpoint.slots + dataCentrePenalty + load.failureRate + slownessPenalty(endpoint, requests, now);
}

double PlacementPolicy::slownessPenalty(const EndpointRecord &endpoint, double requests, TimePoint now) const
{
    const double relativeTime = speeds_.serviceTimes().relativeTime(endpoint, now) * loads_.slowdown(endpoint.id, now);
    return (requests + 1) * (relativeTime - 1) / endpoint.slots;
}

void PlacementPolicy::recordPrefill(const std::string &endpoint, const std::vector<PromptPart> &parts, std::uint64_t uncachedTokens)
{
    meanUncachedTokens_ += MeanSmoothing * (static_cast<double>(uncachedTokens) - meanUncachedTokens_);
    TrackedParts &tracked = trackedParts_[endpoint];
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        const auto it = tracked.positions.find(parts[i].id);
        if (it != tracked.positions.end()) {
            tracked.order.splice(tracked.order.end(), tracked.order, it->second);
            continue;
        }
        tracked.positions[parts[i].id] = tracked.order.insert(tracked.order.end(), parts[i].id);
        if (tracked.order.size() > options_.maxTrackedParts) {
            tracked.positions.erase(tracked.order.front());
            tracked.order.pop_front();
        }
    }
}

void PlacementPolicy::removeEndpoint(const std::string &endpoint)
{
    trackedParts_.erase(endpoint);
}

void PlacementPolicy::keepOnly(const std::set<std::string> &endpoints)
{
    std::erase_if(trackedParts_, [&endpoints](const auto &item) { return !endpoints.contains(item.first); });
}

}
