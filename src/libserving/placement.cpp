#include "placement.h"

#include "rendezvous.h"

#include <algorithm>
#include <limits>

namespace Chestnutcove {

namespace {

/** Weight of the newest prompt in the mean. */
constexpr double MeanWeight = 0.02;

/** The part that names the session: the last one that other requests may share. */
const std::string &sessionOf(const std::vector<PromptPart> &parts)
{
    return parts.size() > 1 ? parts[parts.size() - 2].id : parts.front().id;
}

}

PlacementPolicy::PlacementPolicy(PlacementOptions options, const EndpointLoads &loads)
    : options_(options)
    , loads_(loads)
{
}

Placement PlacementPolicy::place(const PlacementQuery &query, const std::vector<EndpointRecord> &endpoints, TimePoint now) const
{
    Placement placement;
    if (!query.parts.empty() && query.promptTokens >= options_.wholePromptTokens) {
        placement = placePrompt(query, endpoints, now);
    }
    if (placement.verdict == Placement::Verdict::NoEndpoint) {
        placement.run = placeDecode(query, endpoints, now);
        placement.verdict = placement.run ? Placement::Verdict::Placed : Placement::Verdict::NoEndpoint;
    }
    placement.isShort = isShort(query);
    if (placement.verdict == Placement::Verdict::Placed && !hasDecodeRoom(query, endpoints, now)) {
        placement.verdict = Placement::Verdict::Overloaded;
        placement.expectedWait = options_.slotWait;
    }
    return placement;
}

bool PlacementPolicy::isShort(const PlacementQuery &query) const
{
    return query.maxOutputTokens <= options_.shortAnswerTokens;
}

bool PlacementPolicy::hasDecodeRoom(const PlacementQuery &query, const std::vector<EndpointRecord> &endpoints, TimePoint now) const
{
    const auto engine = placeDecode(query, endpoints, now);
    if (!engine || !engine->stage) {
        return true;
    }
    const double requests = loads_.of(engine->id).calls + loads_.others(engine->id, now);
    return requests < engine->slots * (isShort(query) ? options_.maxUseForShort : options_.maxUseForLong);
}

template<typename Wait>
Placement PlacementPolicy::bestReader(const PlacementQuery &query, const std::vector<EndpointRecord> &engines, Wait waitOf) const
{
    std::vector<std::string> ids;
    ids.reserve(engines.size());
    for (const auto &engine : engines) {
        ids.push_back(engine.id);
    }
    const auto order = rendezvous(sessionOf(query.parts), ids, ids.size());
    Placement best;
    Duration bestTime = Duration::max();
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        const auto engine = std::find_if(engines.begin(), engines.end(), [&](const auto &each) { return each.id == order[rank]; });
        const std::uint64_t tokens = tokensToRead(query, engine->id, rank == 0);
        const Duration wait = waitOf(*engine);
        const Duration time = wait + readingTime(static_cast<double>(tokens)) + options_.rankPenalty * static_cast<int>(rank);
        if (time < bestTime) {
            bestTime = time;
            best.prefill = *engine;
            best.tokensToRead = tokens;
            best.expectedWait = wait;
        }
    }
    return best;
}

Placement PlacementPolicy::placePrompt(const PlacementQuery &query, const std::vector<EndpointRecord> &endpoints, TimePoint now) const
{
    const auto engines = candidates(query, endpoints, EngineStage::Prefill, now);
    if (engines.empty()) {
        return {};
    }
    Placement timely = bestReader(query, engines, [&](const EndpointRecord &engine) { return timelyWait(engine, now); });
    timely.verdict = Placement::Verdict::Placed;
    timely.expectedWait = std::max(timely.expectedWait, loads_.oldestTimelyPrompt(timely.prefill->id, now));
    if (toSeconds(timely.expectedWait) <= toSeconds(query.targetLatency) * options_.timelyWaitShare) {
        return timely;
    }
    Placement late = bestReader(query, engines, [&](const EndpointRecord &engine) { return expectedWait(engine, now); });
    late.isLate = true;
    late.expectedWait = std::max(late.expectedWait, loads_.oldestPrompt(late.prefill->id, now));
    const bool tooLate = toSeconds(late.expectedWait) > toSeconds(query.patience) * options_.maxWaitShare;
    late.verdict = tooLate ? Placement::Verdict::Overloaded : Placement::Verdict::Placed;
    return late;
}

std::optional<EndpointRecord>
PlacementPolicy::placeDecode(const PlacementQuery &query, const std::vector<EndpointRecord> &endpoints, TimePoint now) const
{
    auto engines = candidates(query, endpoints, EngineStage::Decode, now);
    std::optional<EndpointRecord> best;
    double bestUse = std::numeric_limits<double>::max();
    for (const auto &engine : engines) {
        const double engineUse = use(engine, query.dataCentre, now);
        if (engineUse < bestUse) {
            bestUse = engineUse;
            best = engine;
        }
    }
    return best;
}

std::vector<EndpointRecord> PlacementPolicy::candidates(const PlacementQuery &query,
                                                        const std::vector<EndpointRecord> &endpoints,
                                                        std::optional<EngineStage> stage,
                                                        TimePoint now) const
{
    std::vector<EndpointRecord> preferred;
    std::vector<EndpointRecord> avoided;
    for (const auto &endpoint : endpoints) {
        const bool fits = !endpoint.stage || endpoint.stage == stage;
        if (!fits || query.excluded.contains(endpoint.id)) {
            continue;
        }
        (loads_.isAvoided(endpoint.id, now) ? avoided : preferred).push_back(endpoint);
    }
    return preferred.empty() ? avoided : preferred;
}

std::uint64_t PlacementPolicy::tokensToRead(const PlacementQuery &query, const std::string &endpoint, bool assumeSession) const
{
    std::uint64_t kept = 0;
    std::uint64_t all = 0;
    bool prefixKept = true;
    for (std::size_t i = 0; i < query.parts.size(); ++i) {
        const bool shared = i + 1 < query.parts.size();
        // A part helps only where all parts before it are kept too.
        prefixKept = prefixKept && shared && (assumeSession || remembers(endpoint, query.parts[i].id));
        kept += prefixKept ? query.parts[i].tokens : 0;
        all += query.parts[i].tokens;
    }
    return std::max(all, query.promptTokens) - kept;
}

bool PlacementPolicy::remembers(const std::string &endpoint, const std::string &part) const
{
    const auto it = memories_.find(endpoint);
    return it != memories_.end() && it->second.places.contains(part);
}

Duration PlacementPolicy::readingTime(double tokens) const
{
    return fromSeconds(tokens / options_.prefillTokensPerMs / 1000);
}

Duration PlacementPolicy::expectedWait(const EndpointRecord &endpoint, TimePoint now) const
{
    const double own = static_cast<double>(loads_.of(endpoint.id).promptTokens);
    return readingTime(own + loads_.others(endpoint.id, now) * meanTokensToRead_);
}

Duration PlacementPolicy::timelyWait(const EndpointRecord &endpoint, TimePoint now) const
{
    const double own = static_cast<double>(loads_.of(endpoint.id).timelyPromptTokens);
    return readingTime(own + loads_.others(endpoint.id, now) * meanTokensToRead_ * loads_.timelyShare());
}

double PlacementPolicy::use(const EndpointRecord &endpoint, const std::string &dataCentre, TimePoint now) const
{
    const auto &load = loads_.of(endpoint.id);
    const double distance = endpoint.dataCentre == dataCentre ? 0 : options_.otherDataCentrePenalty;
    return (load.calls + loads_.others(endpoint.id, now)) / endpoint.slots + distance + load.failureRate;
}

void PlacementPolicy::partsRead(const std::string &endpoint, const std::vector<PromptPart> &parts, std::uint64_t tokensRead)
{
    meanTokensToRead_ += MeanWeight * (static_cast<double>(tokensRead) - meanTokensToRead_);
    Memory &memory = memories_[endpoint];
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        const auto it = memory.places.find(parts[i].id);
        if (it != memory.places.end()) {
            memory.order.splice(memory.order.end(), memory.order, it->second);
            continue;
        }
        memory.places[parts[i].id] = memory.order.insert(memory.order.end(), parts[i].id);
        if (memory.order.size() > options_.rememberedParts) {
            memory.places.erase(memory.order.front());
            memory.order.pop_front();
        }
    }
}

void PlacementPolicy::forget(const std::string &endpoint)
{
    memories_.erase(endpoint);
}

}
