/**
 * The planner, which acts on the gateway that holds the planner's lease: feeds FleetPlan with the reports of sidecars and carries out its
 * decisions. Wanted roles are stored in one row of the table before an order is sent, so that a new lease holder continues without
 * repeating or undoing changes.
 */
#pragma once

#include "dutylease.h"
#include "endpointlinks.h"
#include "endpointorders.h"
#include "fleetplan.h"
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
    /** Called when an endpoint must be drained before it is returned to the platform. */
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
              FleetPlanOptions planOptions,
              DrainHandler onDrain);

    void tick(TimePoint now);
    void onOrderReply(const wire::OrderReply &reply);
    nlohmann::json dump() const;
    const std::deque<std::string> &decisions() const;

private:
    struct ModelPlan
    {
        explicit ModelPlan(const FleetPlanOptions &options)
            : plan(options)
        {
        }

        FleetPlan plan;
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
    /** Sends orders to endpoints whose reported role is not the wanted one. */
    void sendRoleOrders(TimePoint now);
    void recordDecision(const std::string &text);

    HttpTable &table_;
    TableWriter<HttpTable> writer_;
    const DutyLease &lease_;
    EndpointLinks &links_;
    const Router &router_;
    EndpointOrders &orders_;
    Metrics &metrics_;
    const Log &log_;
    Duration interval_;
    FleetPlanOptions planOptions_;
    DrainHandler onDrain_;
    std::mt19937_64 random_;
    std::map<std::string, ModelPlan> models_;
    struct ReportedWork
    {
        double promptTokens = 0;
        double outputTokens = 0;
        double requests = 0;
    };
    /** Totals that each endpoint's sidecar had reported when demand was last measured. */
    std::map<std::string, ReportedWork> lastReported_;
    TimePoint nextPlanAt_;
    TimePoint demandMeasuredAt_;
    /** Wanted roles by endpoint, as stored in the plan's row. */
    std::map<std::string, std::string> wantedRoles_;
    std::uint64_t planRowVersion_ = 0;
    /** The lease's epoch in which the row was read; 0 if it must be read again. */
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
