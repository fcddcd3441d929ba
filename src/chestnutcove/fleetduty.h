/**
 * The planner's duty of the lease holder: feeds FleetPlanner with what the sidecars report and carries out its decisions. Wanted roles
 * stand in one row of the table before an order is given, so that a new holder carries on without repeating or undoing.
 */
#pragma once

#include "dutylease.h"
#include "endpointlinks.h"
#include "endpointorders.h"
#include "fleetplanner.h"
#include "metrics.h"
#include "requestrunner.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <string>

namespace Chestnutcove {

class FleetDuty
{
public:
    /** Called when an endpoint is to be drained before it is given back. */
    using DrainHandler = std::function<void(const std::string &endpoint)>;

    FleetDuty(asio::any_io_executor executor,
              HttpTable &table,
              const DutyLease &lease,
              EndpointLinks &links,
              const Router &router,
              EndpointOrders &orders,
              Metrics &metrics,
              const Log &log,
              std::uint64_t incarnation,
              Duration interval,
              FleetPlannerOptions plannerOptions,
              DrainHandler onDrain);

    void tick(TimePoint now);
    void onOrderReply(const wire::OrderReply &reply);
    nlohmann::json dump() const;
    const std::deque<std::string> &decisions() const;

private:
    struct ModelPlanner
    {
        explicit ModelPlanner(const FleetPlannerOptions &options)
            : planner(options)
        {
        }

        FleetPlanner planner;
        std::string lastReason;
    };
    struct SentOrder
    {
        std::string endpoint;
        std::string role;
        TimePoint sentAt;
    };

    void readPlan();
    void planModels(TimePoint now);
    void planModel(const std::string &name, const std::vector<EngineView> &engines, TimePoint now);
    std::map<std::string, std::vector<EngineView>> engines() const;
    void measureDemand(TimePoint now);
    void writePlan(const RoleChange &change);
    /** Gives orders to endpoints whose role is not the wanted one. */
    void sendRoleOrders(TimePoint now);
    void recordDecision(const std::string &text);

    HttpTable &table_;
    TableWriter<HttpTable> writer_;
    const DutyLease &lease_;
    EndpointLinks &endpointLinks_;
    const Router &router_;
    EndpointOrders &orders_;
    Metrics &metrics_;
    const Log &log_;
    Duration interval_;
    FleetPlannerOptions plannerOptions_;
    DrainHandler onDrain_;
    std::mt19937_64 random_;
    std::map<std::string, ModelPlanner> models_;
    struct ReportedWork
    {
        double promptTokens = 0;
        double outputTokens = 0;
        double requests = 0;
    };
    /** What each endpoint's sidecar had reported at the last look. */
    std::map<std::string, ReportedWork> lastReported_;
    TimePoint nextPlanAt_;
    TimePoint demandMeasuredAt_;
    /** Wanted roles by endpoint, as in the row. */
    std::map<std::string, std::string> wantedRoles_;
    std::uint64_t planRowVersion_ = 0;
    /** The epoch for which the row was read; 0 before. */
    std::uint64_t planEpoch_ = 0;
    bool isTableCallPending_ = false;
    std::map<std::uint64_t, SentOrder> sentOrders_;
    std::deque<std::string> decisions_;
};

inline const std::deque<std::string> &FleetDuty::decisions() const
{
    return decisions_;
}

}
