#include "fleetplan.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace Chestnutcove {

namespace {

constexpr std::array<EndpointRole, 3> EngineRoles{EndpointRole::Mixed, EndpointRole::Prefill, EndpointRole::Decode};
/** An overload must last this long before an endpoint is ordered, since ordered ones come late anyway. */
constexpr std::chrono::minutes OrderAfter{2};

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

void SmoothedRate::add(double amount, Duration over)
{
    const double seconds = toSeconds(over);
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

FleetPlan::FleetPlan(FleetPlanOptions options)
    : options_(options)
    , shortPrefill_(options.shortAverage)
    , shortDecode_(options.shortAverage)
    , shortRequests_(options.shortAverage)
    , longPrefill_(options.longAverage)
    , longDecode_(options.longAverage)
{
}

void FleetPlan::addDemand(double promptTokens, double outputTokens, double requests, Duration over)
{
    shortRequests_.add(requests, over);
    shortPrefill_.add(promptTokens, over);
    shortDecode_.add(outputTokens, over);
    longPrefill_.add(promptTokens, over);
    longDecode_.add(outputTokens, over);
}

double FleetPlan::prefillDemand() const
{
    return shortPrefill_.perSecond();
}

double FleetPlan::decodeDemand() const
{
    return shortDecode_.perSecond();
}

RoleSpeeds FleetPlan::speedsOf(EndpointRole role) const
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

void FleetPlan::learnSpeeds(const std::vector<EngineView> &engines)
{
    RoleSpeeds sum;
    double count = 0;
    for (const EngineView &engine : engines) {
        const bool known = engine.speeds.prefillTokensPerSecond > 0 && engine.speeds.decodeTokensPerSecond > 0;
        if (engine.usable && engine.role == EndpointRole::Mixed && known) {
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

double FleetPlan::useOf(const std::map<EndpointRole, std::size_t> &roles, double prefillPerSecond, double decodePerSecond) const
{
    // A request runs whole on one engine, so an engine does as much of the mix as its scarcer speed allows.
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

bool FleetPlan::meetsTargets(EndpointRole role) const
{
    const RoleSpeeds speeds = speedsOf(role);
    const double usualPrompt = shortPrefill_.perSecond() / std::max(shortRequests_.perSecond(), 1e-9);
    const double promptSeconds = usualPrompt / std::max(speeds.prefillTokensPerSecond, 1e-9);
    const double tokenSeconds = 1 / std::max(speeds.answerTokensPerSecond, 1e-9);
    return promptSeconds <= toSeconds(options_.firstTokenTarget) * options_.promptPart
        && tokenSeconds <= toSeconds(options_.betweenTokensTarget);
}

std::optional<RoleChange> FleetPlan::returnToMixed(const std::vector<EngineView> &engines, TimePoint now, std::string &reason) const
{
    const double prefill = shortPrefill_.perSecond();
    const double decode = shortDecode_.perSecond();
    const EngineView *best = nullptr;
    for (const EngineView &engine : engines) {
        if (engine.role == EndpointRole::Mixed || !mayChange(engine, engines, EndpointRole::Mixed, now)) {
            continue;
        }
        auto after = countRoles(engines);
        --after[engine.role];
        ++after[EndpointRole::Mixed];
        const bool notNeeded = useOf(after, prefill, decode) <= options_.comfortableUse / 2 && useOf(after, prefill, decode) > 0.05;
        const bool candidate = !meetsTargets(engine.role) || notNeeded;
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

bool FleetPlan::mayChange(const EngineView &engine, const std::vector<EngineView> &engines, EndpointRole to, TimePoint now) const
{
    if (!engine.usable || engine.changing || engine.role == to) {
        return false;
    }
    const auto changed = changedAt_.find(engine.name);
    if (changed != changedAt_.end() && now - changed->second < options_.dwell) {
        return false;
    }
    // The last engine that is tuned for neither kind stays: it takes what the others are bad at.
    const auto mixed = std::count_if(
        engines.begin(), engines.end(), [](const EngineView &other) { return other.usable && other.role == EndpointRole::Mixed; });
    return engine.role != EndpointRole::Mixed || mixed > 1;
}

std::optional<RoleChange> FleetPlan::bestChange(const std::vector<EngineView> &engines, TimePoint now, std::string &reason) const
{
    const double prefill = shortPrefill_.perSecond();
    const double decode = shortDecode_.perSecond();
    const auto roles = countRoles(engines);
    const double use = useOf(roles, prefill, decode);
    reason = absl::StrFormat("prefill %.0f/s, decode %.0f/s, use %.2f", prefill, decode, use);
    const auto changing = std::count_if(engines.begin(), engines.end(), [](const EngineView &engine) { return engine.changing; });
    if (static_cast<std::size_t>(changing) >= options_.maxConcurrentChanges) {
        reason += ": another change is under way";
        return std::nullopt;
    }
    if (const auto change = returnToMixed(engines, now, reason)) {
        return change;
    }
    if (use <= options_.comfortableUse) {
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
            if (!mayChange(engine, engines, to, now) || !meetsTargets(to)) {
                continue;
            }
            auto after = roles;
            --after[engine.role];
            ++after[to];
            const double relief = std::max(use, options_.comfortableUse) - std::max(useOf(after, prefill, decode), options_.comfortableUse);
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

void FleetPlan::decideCount(const std::vector<EngineView> &engines, TimePoint now, PlanDecision &decision)
{
    const auto roles = countRoles(engines);
    const double use = useOf(roles, longPrefill_.perSecond(), longDecode_.perSecond());
    const double size = static_cast<double>(engines.size());
    const auto wanted = std::max<std::size_t>(options_.minEndpoints, static_cast<std::size_t>(std::ceil(use * size / options_.targetUse)));
    const auto since = [now](std::optional<TimePoint> &start, bool holds) {
        start = holds ? start.value_or(now) : std::optional<TimePoint>();
        return start ? now - *start : Duration::zero();
    };
    const Duration tooSmall = since(tooSmallSince_, wanted > engines.size());
    const Duration tooLarge = since(tooLargeSince_, wanted < engines.size());
    std::map<std::string, std::size_t> byDataCentre;
    for (const EngineView &engine : engines) {
        ++byDataCentre[engine.dataCentre];
    }
    const auto fewest
        = std::min_element(byDataCentre.begin(), byDataCentre.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    const auto most
        = std::max_element(byDataCentre.begin(), byDataCentre.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    if (tooSmall >= OrderAfter && fewest != byDataCentre.end()) {
        decision.endpointDelta = 1;
        decision.dataCentre = fewest->first;
        tooSmallSince_.reset();
    } else if (tooLarge >= options_.giveBackAfter && most != byDataCentre.end()) {
        const EngineView *least = nullptr;
        for (const EngineView &engine : engines) {
            const bool candidate = engine.dataCentre == most->first && !engine.changing;
            if (candidate && (least == nullptr || engine.backlogSeconds < least->backlogSeconds)) {
                least = &engine;
            }
        }
        if (least != nullptr) {
            decision.endpointDelta = -1;
            decision.dataCentre = most->first;
            decision.giveBack = least->name;
            tooLargeSince_.reset();
        }
    }
    decision.reason += absl::StrFormat("; long use %.2f of %d endpoints, wanted %d", use, engines.size(), wanted);
}

PlanDecision FleetPlan::decide(const std::vector<EngineView> &engines, TimePoint now)
{
    PlanDecision decision;
    if (engines.empty()) {
        decision.reason = "no endpoints";
        return decision;
    }
    learnSpeeds(engines);
    decision.change = bestChange(engines, now, decision.reason);
    decideCount(engines, now, decision);
    return decision;
}

void FleetPlan::ordered(const RoleChange &change, TimePoint now)
{
    changedAt_[change.endpoint] = now;
}

}
