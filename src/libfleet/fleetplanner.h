/**
 * Plans the fleet of one model: which engine changes its role, and how many endpoints the model should have. The reason of each decision
 * contains the figures that led to it.
 *
 * A role tunes an engine for prefill or for decode; an engine of any role serves whole requests. Routing is the first to absorb a swing in
 * the mix of both. A role changes only when the work that the change saves within the horizon exceeds the time for which it makes an engine
 * unavailable.
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
    /** Total over all slots of the engine. */
    double decodeTokensPerSecond = 0;
    /** Speed of a single answer. */
    double answerTokensPerSecond = 0;
};

struct EngineView
{
    std::string name;
    std::string dataCentre;
    EndpointRole role = EndpointRole::Mixed;
    bool usable = true;
    /** Engine seconds that its queued and running requests are expected to take. */
    double backlogSeconds = 0;
    std::size_t cachedBlocks = 0;
    /** A role change was ordered and is not confirmed yet. */
    bool changing = false;
    /** Measured speeds; zero before the first measurement. */
    RoleSpeeds speeds;
};

struct FleetPlannerOptions
{
    /** Speeds of a mixed engine; those of the other roles follow from tunedGain and tunedLoss. */
    RoleSpeeds mixed{8000, 640, 40};
    /** Factors of the speeds of a tuned engine: tunedGain for the kind of work that it is tuned for, tunedLoss for the other kind. */
    double tunedGain = 1.5;
    double tunedLoss = 0.5;
    Duration roleChangeTime = std::chrono::seconds(5);
    /** The savings of a role change are counted over this time. */
    Duration horizon = std::chrono::seconds(60);
    /** Least time between two role changes of the same engine. */
    Duration minInterval = std::chrono::seconds(60);
    /** Utilisation above which a role change is considered. */
    double acceptableUtilisation = 1.0;
    /** No engine gets a role in which the prefill of an average prompt takes more than maxPrefillFraction of firstTokenTarget. */
    Duration firstTokenTarget = std::chrono::milliseconds(420);
    double maxPrefillFraction = 0.5;
    /** No engine gets a role in which the time between two tokens of an answer is longer than this. */
    Duration betweenTokensTarget = std::chrono::milliseconds(46);
    std::size_t maxConcurrentChanges = 1;
    /** Time constants of the averages of the demand, for role changes and for the number of endpoints. */
    Duration shortAverage = std::chrono::seconds(20);
    Duration longAverage = std::chrono::minutes(10);
    /** The wanted number of endpoints brings the long average of the utilisation down to this. */
    double targetUtilisation = 0.7;
    /** Time for which the fleet must be too large before an endpoint is released. */
    Duration scaleDownDelay = std::chrono::minutes(20);
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
    /** Number of endpoints to order (positive) or to release (negative). */
    int endpointDelta = 0;
    std::string dataCentre;
    /** The endpoint to drain and release. */
    std::string endpointToRelease;
    std::string reason;
};

/** An exponentially weighted moving average of a rate. */
class SmoothedRate
{
public:
    explicit SmoothedRate(Duration timeConstant);
    void add(double amount, Duration duration);
    double perSecond() const;

private:
    Duration timeConstant_;
    double perSecond_ = 0;
    bool started_ = false;
};

class FleetPlanner
{
public:
    explicit FleetPlanner(FleetPlannerOptions options);

    /** Adds the tokens processed for the model since the last call, without cached parts of prompts, which cause no work. */
    void addDemand(double promptTokens, double outputTokens, double requests, Duration duration);
    PlanDecision decide(const std::vector<EngineView> &engines, TimePoint now);
    /** Records that a change was ordered, from which the engine's minInterval counts. */
    void recordRoleChange(const RoleChange &change, TimePoint now);

    /** Utilisation of a fleet with these roles by this demand; 1 is its full capacity. */
    double utilisationOf(const std::map<EndpointRole, std::size_t> &roles, double prefillPerSecond, double decodePerSecond) const;
    double prefillDemand() const;
    double decodeDemand() const;

private:
    RoleSpeeds speedsOf(EndpointRole role) const;
    /** Whether an engine of that role answers an average request within the targets. */
    bool meetsTargets(EndpointRole role) const;
    /** A change to mixed of an engine whose role misses the targets or is no longer needed. */
    std::optional<RoleChange> returnToMixed(const std::vector<EngineView> &engines, TimePoint now, std::string &reason) const;
    void updateMixedSpeeds(const std::vector<EngineView> &engines);
    bool mayChangeRole(const EngineView &engine, const std::vector<EngineView> &engines, EndpointRole to, TimePoint now) const;
    std::optional<RoleChange> bestRoleChange(const std::vector<EngineView> &engines, TimePoint now, std::string &reason) const;
    void decideEndpointCount(const std::vector<EngineView> &engines, TimePoint now, PlanDecision &decision);

    FleetPlannerOptions options_;
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
