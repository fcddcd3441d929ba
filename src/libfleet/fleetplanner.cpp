#include "fleetplanner.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace Chestnutcove {

namespace {

constexpr std::array<EndpointRole, 3> EngineRoles{EndpointRole::Mixed, EndpointRole::Prefill, EndpointRole::Decode};
/** An overload must last this long before an endpoint is ordered. A new endpoint becomes available too late for a shorter one anyway. */
constexpr std::chrono::minutes ScaleUpDelay{2};

std::map<EndpointRole, std::size_t> countRoles(const std::vector<EngineView> &engines)
{
    std::map<EndpointRole, std::size_t> roles;
    for (const EngineView &engine : engines) {
        if (engine.usable) {
            ++roles[engine.role];
        }
    }
    return roles;
}

}

SmoothedRate::SmoothedRate(Duration timeConstant)
    : timeConstant_(timeConstant)
{
}

void SmoothedRate::add(double amount, Duration duration)
{
    const double seconds = toSeconds(duration);
    if (seconds <= 0) {
        return;
    }
    const double current = amount / seconds;
    const double keep = started_ ? std::exp(-seconds / toSeconds(timeConstant_)) : 0;
    perSecond_ = keep * perSecond_ + (1 - keep) * current;
    started_ = true;
}

double SmoothedRate::perSecond() const
{
    return perSecond_;
}

FleetPlanner::FleetPlanner(FleetPlannerOptions options)
    : options_(options)
    , shortPrefill_(options.shortAverage)
    , shortDecode_(options.shortAverage)
    , shortRequests_(options.shortAverage)
    , longPrefill_(options.longAverage)
    , longDecode_(options.longAverage)
{
}

void FleetPlanner::addDemand(double promptTokens, double outputTokens, double requests, Duration duration)
{
    shortRequests_.add(requests, duration);
    shortPrefill_.add(promptTokens, duration);
    shortDecode_.add(outputTokens, duration);
    longPrefill_.add(promptTokens, duration);
    longDecode_.add(outputTokens, duration);
}

double FleetPlanner::prefillDemand() const
{
    return shortPrefill_.perSecond();
}

double FleetPlanner::decodeDemand() const
{
    return shortDecode_.perSecond();
}

RoleSpeeds FleetPlanner::speedsOf(EndpointRole role) const
{
    RoleSpeeds speeds = options_.mixed;
    if (role == EndpointRole::Prefill) {
        speeds.prefillTokensPerSecond *= options_.tunedGain;
        speeds.decodeTokensPerSecond *= options_.tunedLoss;
        speeds.answerTokensPerSecond *= options_.tunedLoss;
    } else if (role == EndpointRole::Decode) {
        speeds.prefillTokensPerSecond *= options_.tunedLoss;
        speeds.decodeTokensPerSecond *= options_.tunedGain;
        speeds.answerTokensPerSecond *= options_.tunedGain;
    }
    return speeds;
}

void FleetPlanner::updateMixedSpeeds(const std::vector<EngineView> &engines)
{
    RoleSpeeds sum;
    double count = 0;
    for (const EngineView &engine : engines) {
        const bool isMeasured = engine.speeds.prefillTokensPerSecond > 0 && engine.speeds.decodeTokensPerSecond > 0;
        if (engine.usable && engine.role == EndpointRole::Mixed && isMeasured) {
            sum.prefillTokensPerSecond += engine.speeds.prefillTokensPerSecond;
            sum.decodeTokensPerSecond += engine.speeds.decodeTokensPerSecond;
            sum.answerTokensPerSecond += engine.speeds.answerTokensPerSecond;
            count += 1;
        }
    }
    if (count > 0) {
        options_.mixed = {sum.prefillTokensPerSecond / count, sum.decodeTokensPerSecond / count, sum.answerTokensPerSecond / count};
    }
}

double FleetPlanner::utilisationOf(const std::map<EndpointRole, std::size_t> &roles, double prefillPerSecond, double decodePerSecond) const
{
    // A request runs entirely on one engine, so the scarcer of the engine's two speeds limits how much of the mix it can process.
    constexpr double Unlimited = 1e12;
    double capacity = 0;
    for (const auto &[role, count] : roles) {
        const RoleSpeeds speeds = speedsOf(role);
        const double byPrefill = prefillPerSecond > 0 ? speeds.prefillTokensPerSecond / prefillPerSecond : Unlimited;
        const double byDecode = decodePerSecond > 0 ? speeds.decodeTokensPerSecond / decodePerSecond : Unlimited;
        capacity += static_cast<double>(count) * std::min(byPrefill, byDecode);
    }
    return capacity > 0 ? 1 / capacity : Unlimited;
}

bool FleetPlanner::meetsTargets(EndpointRole role) const
{
    const RoleSpeeds speeds = speedsOf(role);
    const double averagePromptTokens = shortPrefill_.perSecond() / std::max(shortRequests_.perSecond(), 1e-9);
    const double promptSeconds = averagePromptTokens / std::max(speeds.prefillTokensPerSecond, 1e-9);
    const double tokenSeconds = 1 / std::max(speeds.answerTokensPerSecond, 1e-9);
    return promptSeconds <= toSeconds(options_.firstTokenTarget) * options_.maxPrefillFraction
        && tokenSeconds <= toSeconds(options_.betweenTokensTarget);
}

std::optional<RoleChange> FleetPlanner::returnToMixed(const std::vector<EngineView> &engines, TimePoint now, std::string &reason) const
{
    const double prefill = shortPrefill_.perSecond();
    const double decode = shortDecode_.perSecond();
    const EngineView *best = nullptr;
    for (const EngineView &engine : engines) {
        if (engine.role == EndpointRole::Mixed || !mayChangeRole(engine, engines, EndpointRole::Mixed, now)) {
            continue;
        }
        auto after = countRoles(engines);
        --after[engine.role];
        ++after[EndpointRole::Mixed];
        const bool isNotNeeded
            = utilisationOf(after, prefill, decode) <= options_.acceptableUtilisation / 2 && utilisationOf(after, prefill, decode) > 0.05;
        const bool candidate = !meetsTargets(engine.role) || isNotNeeded;
        if (candidate && (best == nullptr || engine.backlogSeconds < best->backlogSeconds)) {
            best = &engine;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    reason += ": " + best->name + " returns to mixed, since its role misses the targets with this mix or is not needed";
    return RoleChange{best->name, best->role, EndpointRole::Mixed};
}

bool FleetPlanner::mayChangeRole(const EngineView &engine, const std::vector<EngineView> &engines, EndpointRole to, TimePoint now) const
{
    if (!engine.usable || engine.changing || engine.role == to) {
        return false;
    }
    const auto changed = changedAt_.find(engine.name);
    if (changed != changedAt_.end() && now - changed->second < options_.minInterval) {
        return false;
    }
    // The last mixed engine keeps its role, because it takes the requests for which the tuned engines are slow.
    const auto mixed = std::count_if(
        engines.begin(), engines.end(), [](const EngineView &other) { return other.usable && other.role == EndpointRole::Mixed; });
    return engine.role != EndpointRole::Mixed || mixed > 1;
}

std::optional<RoleChange> FleetPlanner::bestRoleChange(const std::vector<EngineView> &engines, TimePoint now, std::string &reason) const
{
    const double prefill = shortPrefill_.perSecond();
    const double decode = shortDecode_.perSecond();
    const auto roles = countRoles(engines);
    const double utilisation = utilisationOf(roles, prefill, decode);
    reason = absl::StrFormat("prefill %.0f/s, decode %.0f/s, use %.2f", prefill, decode, utilisation);
    const auto changing = std::count_if(engines.begin(), engines.end(), [](const EngineView &engine) { return engine.changing; });
    if (static_cast<std::size_t>(changing) >= options_.maxConcurrentChanges) {
        reason += ": another change is under way";
        return std::nullopt;
    }
    if (const auto change = returnToMixed(engines, now, reason)) {
        return change;
    }
    if (utilisation <= options_.acceptableUtilisation) {
        reason += ": routing absorbs the mix";
        return std::nullopt;
    }
    std::optional<RoleChange> best;
    double bestSaving = 0;
    const EngineView *bestEngine = nullptr;
    const double size = static_cast<double>(engines.size());
    const double cost = toSeconds(options_.roleChangeTime);
    for (const EngineView &engine : engines) {
        for (const EndpointRole to : EngineRoles) {
            if (!mayChangeRole(engine, engines, to, now) || !meetsTargets(to)) {
                continue;
            }
            auto after = roles;
            --after[engine.role];
            ++after[to];
            const double relief = std::max(utilisation, options_.acceptableUtilisation)
                - std::max(utilisationOf(after, prefill, decode), options_.acceptableUtilisation);
            const double saving = relief * size * toSeconds(options_.horizon) - cost - engine.backlogSeconds;
            const bool better = saving > bestSaving + 1e-6
                || (bestEngine != nullptr && saving > bestSaving - 1e-6 && engine.cachedBlocks < bestEngine->cachedBlocks);
            if (saving > 0 && better) {
                best = RoleChange{engine.name, engine.role, to};
                bestSaving = saving;
                bestEngine = &engine;
            }
        }
    }
    reason += best ? absl::StrFormat(": %s from %s to %s saves %.1f engine seconds beyond its cost of %.1f",
                                     best->endpoint,
                                     std::string(nameOf(EndpointRoleNames, best->from)),
                                     std::string(nameOf(EndpointRoleNames, best->to)),
                                     bestSaving,
                                     cost)
                   : std::string(": no change saves more than it costs");
    return best;
}

void FleetPlanner::decideEndpointCount(const std::vector<EngineView> &engines, TimePoint now, PlanDecision &decision)
{
    const auto roles = countRoles(engines);
    const double utilisation = utilisationOf(roles, longPrefill_.perSecond(), longDecode_.perSecond());
    const double size = static_cast<double>(engines.size());
    const auto wantedCount = std::max<std::size_t>(options_.minEndpoints,
                                                   static_cast<std::size_t>(std::ceil(utilisation * size / options_.targetUtilisation)));
    const auto since = [now](std::optional<TimePoint> &start, bool holds) {
        start = holds ? start.value_or(now) : std::optional<TimePoint>();
        return start ? now - *start : Duration::zero();
    };
    const Duration tooSmall = since(tooSmallSince_, wantedCount > engines.size());
    const Duration tooLarge = since(tooLargeSince_, wantedCount < engines.size());
    std::map<std::string, std::size_t> byDataCentre;
    for (const EngineView &engine : engines) {
        ++byDataCentre[engine.dataCentre];
    }
    const auto fewest
        = std::min_element(byDataCentre.begin(), byDataCentre.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    const auto most
        = std::max_element(byDataCentre.begin(), byDataCentre.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    if (tooSmall >= ScaleUpDelay && fewest != byDataCentre.end()) {
        decision.endpointDelta = 1;
        decision.dataCentre = fewest->first;
        tooSmallSince_.reset();
    } else if (tooLarge >= options_.scaleDownDelay && most != byDataCentre.end()) {
        const EngineView *leastLoaded = nullptr;
        for (const EngineView &engine : engines) {
            const bool candidate = engine.dataCentre == most->first && !engine.changing;
            if (candidate && (leastLoaded == nullptr || engine.backlogSeconds < leastLoaded->backlogSeconds)) {
                leastLoaded = &engine;
            }
        }
        if (leastLoaded != nullptr) {
            decision.endpointDelta = -1;
            decision.dataCentre = most->first;
            decision.endpointToRelease = leastLoaded->name;
            tooLargeSince_.reset();
        }
    }
    decision.reason += absl::StrFormat("; long use %.2f of %d endpoints, wanted %d", utilisation, engines.size(), wantedCount);
}

PlanDecision FleetPlanner::decide(const std::vector<EngineView> &engines, TimePoint now)
{
    PlanDecision decision;
    if (engines.empty()) {
        decision.reason = "no endpoints";
        return decision;
    }
    updateMixedSpeeds(engines);
    decision.change = bestRoleChange(engines, now, decision.reason);
    decideEndpointCount(engines, now, decision);
    return decision;
}

void FleetPlanner::recordRoleChange(const RoleChange &change, TimePoint now)
{
    changedAt_[change.endpoint] = now;
}

}
