/**
 * Plans the fleet of one model: which engine changes its role, and how many endpoints the model should have. Explains each decision with
 * the figures that led to it.
 *
 * A role tunes an engine for prompts or for answers; an engine of any role serves whole requests. Routing absorbs a swing of the mix first.
 * A role changes only when the work that it saves over the horizon is more than the seconds for which the change takes an engine away.
 */
#pragma once

#include "entry.h"
#include "timepoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

struct RoleSpeeds
{
    double prefillTokensPerSecond = 0;
    /** Of the whole engine, all slots together. */
    double decodeTokensPerSecond = 0;
    /** Of one answer. */
    double answerTokensPerSecond = 0;
};

struct EngineView
{
    std::string name;
    std::string dataCentre;
    EndpointRole role = EndpointRole::Mixed;
    bool usable = true;
    /** Seconds of the engine that its queued and running work takes. */
    double backlogSeconds = 0;
    std::size_t cachedBlocks = 0;
    /** A change was ordered and is not verified yet. */
    bool changing = false;
    /** As observed; zero where nothing was seen yet. */
    RoleSpeeds speeds;
};

struct FleetPlanOptions
{
    /** Speeds of a mixed engine; the other roles follow from the factors. */
    RoleSpeeds mixed{8000, 640, 40};
    /** A tuned engine does its own kind of work this much faster, the other kind slower by the second factor. */
    double tunedGain = 1.5;
    double tunedLoss = 0.5;
    Duration roleChangeTime = std::chrono::seconds(5);
    /** Savings of a change are counted over this time. */
    Duration horizon = std::chrono::seconds(60);
    /** Time that an engine keeps a role at least. */
    Duration dwell = std::chrono::seconds(60);
    /** Use above which a change is worth considering. */
    double comfortableUse = 1.0;
    /** An engine gets no role in which a usual prompt alone takes more than this part of the first token's target. */
    Duration firstTokenTarget = std::chrono::milliseconds(420);
    double promptPart = 0.5;
    /** Nor one in which a token takes longer than this. */
    Duration betweenTokensTarget = std::chrono::milliseconds(46);
    std::size_t maxConcurrentChanges = 1;
    Duration shortAverage = std::chrono::seconds(20);
    Duration longAverage = std::chrono::minutes(10);
    /** Endpoints are counted for the long average of use divided by this. */
    double targetUse = 0.7;
    /** How long the fleet must be too large before an endpoint is given back. */
    Duration giveBackAfter = std::chrono::minutes(20);
    std::size_t minEndpoints = 1;
};

struct RoleChange
{
    std::string endpoint;
    EndpointRole from = EndpointRole::Mixed;
    EndpointRole to = EndpointRole::Mixed;
};

struct PlanDecision
{
    std::optional<RoleChange> change;
    /** Endpoints to order (positive) or to give back (negative). */
    int endpointDelta = 0;
    std::string dataCentre;
    /** The endpoint to drain and give back. */
    std::string giveBack;
    std::string reason;
};

/** An average that forgets exponentially. */
class SmoothedRate
{
public:
    explicit SmoothedRate(Duration timeConstant);
    void add(double amount, Duration over);
    double perSecond() const;

private:
    Duration timeConstant_;
    double perSecond_ = 0;
    bool started_ = false;
};

class FleetPlan
{
public:
    explicit FleetPlan(FleetPlanOptions options);

    /** Tokens that were worked on for the model since the last call; cached parts of prompts take no work. */
    void addDemand(double promptTokens, double outputTokens, double requests, Duration over);
    PlanDecision decide(const std::vector<EngineView> &engines, TimePoint now);
    /** A change was ordered; starts the engine's dwell time. */
    void ordered(const RoleChange &change, TimePoint now);

    /** Use of a fleet with these roles: 1 is all that it can do. */
    double useOf(const std::map<EndpointRole, std::size_t> &roles, double prefillPerSecond, double decodePerSecond) const;
    double prefillDemand() const;
    double decodeDemand() const;

private:
    RoleSpeeds speedsOf(EndpointRole role) const;
    /** An engine of that role answers a usual request within the targets. */
    bool meetsTargets(EndpointRole role) const;
    /** An engine whose role no longer fits or is no longer needed. */
    std::optional<RoleChange> returnToMixed(const std::vector<EngineView> &engines, TimePoint now, std::string &reason) const;
    void learnSpeeds(const std::vector<EngineView> &engines);
    bool mayChange(const EngineView &engine, const std::vector<EngineView> &engines, EndpointRole to, TimePoint now) const;
    std::optional<RoleChange> bestChange(const std::vector<EngineView> &engines, TimePoint now, std::string &reason) const;
    void decideCount(const std::vector<EngineView> &engines, TimePoint now, PlanDecision &decision);

    FleetPlanOptions options_;
    SmoothedRate shortPrefill_;
    SmoothedRate shortDecode_;
    SmoothedRate shortRequests_;
    SmoothedRate longPrefill_;
    SmoothedRate longDecode_;
    std::map<std::string, TimePoint> changedAt_;
    std::optional<TimePoint> tooLargeSince_;
    std::optional<TimePoint> tooSmallSince_;
};

}
