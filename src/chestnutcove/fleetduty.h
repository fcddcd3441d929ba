/**
 * The planner's duty of the lease holder: passes the sidecars' reports to FleetPlanner and carries out its decisions. The wanted roles are
 * stored in one row of the table before an order is sent, so that a new lease holder neither repeats nor undoes changes.
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
    /** Called when an endpoint is to be drained before it is released. */
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
    /** Sends orders to the endpoints whose role is not the wanted one. */
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
    /** The totals that each endpoint's sidecar had reported when demand was last measured. */
    std::map<std::string, ReportedWork> lastReported_;
    TimePoint nextPlanAt_;
    TimePoint demandMeasuredAt_;
    /** Wanted roles by endpoint, as stored in the row. */
    std::map<std::string, std::string> wantedRoles_;
    std::uint64_t planRowVersion_ = 0;
    /** The lease epoch for which the row was read; 0 if it has to be read again. */
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
