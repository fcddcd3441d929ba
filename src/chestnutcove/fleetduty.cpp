#include "fleetduty.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr const char *PlanKey = "plan/roles";
constexpr std::size_t MaxDecisions = 200;
/** An order without a reply counts as lost after this time; the endpoint's role is then checked again. */
constexpr std::chrono::seconds OrderTimeout{30};

}

FleetDuty::FleetDuty(asio::any_io_executor executor,
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
                     DrainHandler onDrain)
    : table_(table)
    , writer_(std::move(executor), table, std::chrono::seconds(5))
    , lease_(lease)
    , endpointLinks_(links)
    , router_(router)
    , orders_(orders)
    , metrics_(metrics)
    , log_(log)
    , interval_(interval)
    , plannerOptions_(plannerOptions)
    , onDrain_(std::move(onDrain))
    , random_(incarnation + 4)
{
}

void FleetDuty::tick(TimePoint now)
{
    if (now < nextPlanAt_) {
        return;
    }
    nextPlanAt_ = now + interval_;
    // Every gateway measures demand, so that a new lease holder already has averages.
    measureDemand(now);
    if (!lease_.keeper().mayAct(now) || isTableCallPending_) {
        return;
    }
    if (planEpoch_ != lease_.keeper().epoch()) {
        readPlan();
        return;
    }
    sendRoleOrders(now);
    planModels(now);
}

void FleetDuty::readPlan()
{
    isTableCallPending_ = true;
    const std::uint64_t epoch = lease_.keeper().epoch();
    table_.get({PlanKey}, [this, epoch](const absl::StatusOr<TableRows> &rows) {
        isTableCallPending_ = false;
        if (!rows.ok()) {
            return;
        }
        wantedRoles_.clear();
        const auto it = rows->find(PlanKey);
        planRowVersion_ = it == rows->end() ? 0 : it->second.version;
        const auto json = it == rows->end() ? nlohmann::json() : nlohmann::json::parse(it->second.value, nullptr, false);
        if (json.is_object() && json.contains("roles")) {
            for (const auto &[endpoint, role] : json["roles"].items()) {
                if (role.is_string()) {
                    wantedRoles_[endpoint] = role.get<std::string>();
                }
            }
        }
        planEpoch_ = epoch;
        recordDecision("epoch " + std::to_string(epoch) + " carries on from the stored plan with " + std::to_string(wantedRoles_.size())
                       + " wanted roles");
    });
}

void FleetDuty::measureDemand(TimePoint now)
{
    const Duration period = demandMeasuredAt_ == TimePoint{} ? interval_ : now - demandMeasuredAt_;
    demandMeasuredAt_ = now;
    std::map<std::string, ReportedWork> arrivedWork;
    // The totals of a sidecar start at zero after a restart.
    const auto increase = [](double before, double total) { return total >= before ? total - before : total; };
    for (const auto &[name, endpoint] : router_.endpoints()) {
        ReportedWork &before = lastReported_[name];
        const ReportedWork total{endpoint.load.promptTokensTotal, endpoint.load.outputTokensTotal, endpoint.load.requestsTotal};
        ReportedWork &work = arrivedWork[endpoint.entry.serves];
        work.promptTokens += increase(before.promptTokens, total.promptTokens);
        work.outputTokens += increase(before.outputTokens, total.outputTokens);
        work.requests += increase(before.requests, total.requests);
        before = total;
    }
    for (const auto &[serves, work] : arrivedWork) {
        const auto it = models_.try_emplace(serves, plannerOptions_).first;
        it->second.planner.addDemand(work.promptTokens, work.outputTokens, work.requests, period);
    }
}

std::map<std::string, std::vector<EngineView>> FleetDuty::engines() const
{
    std::map<std::string, std::vector<EngineView>> result;
    for (const auto &[name, endpoint] : router_.endpoints()) {
        if (endpoint.entry.role == EndpointRole::Plain) {
            continue;
        }
        EngineView view;
        view.name = name;
        view.dataCentre = endpoint.entry.dataCentre;
        const auto link = endpointLinks_.currentLinkTo(name);
        view.role = valueOf(EndpointRoleNames, link ? endpointLinks_.reportedRole(*link) : std::string()).value_or(EndpointRole::Mixed);
        view.usable = link.has_value() && endpoint.load.healthy && !endpoint.entry.draining;
        view.backlogSeconds = endpoint.load.queuedSeconds + endpoint.load.runningSeconds;
        view.cachedBlocks = endpoint.blocks.size();
        const double tokensPerSecondOfAnswer = endpoint.load.decodeTokensPerSecond;
        view.speeds = {endpoint.load.prefillTokensPerSecond,
                       tokensPerSecondOfAnswer * static_cast<double>(endpoint.load.slots),
                       tokensPerSecondOfAnswer};
        const auto wanted = wantedRoles_.find(name);
        view.changing = wanted != wantedRoles_.end() && wanted->second != nameOf(EndpointRoleNames, view.role);
        result[endpoint.entry.serves].push_back(std::move(view));
    }
    return result;
}

void FleetDuty::planModels(TimePoint now)
{
    for (const auto &[name, views] : engines()) {
        planModel(name, views, now);
        if (isTableCallPending_) {
            return;
        }
    }
}

void FleetDuty::planModel(const std::string &name, const std::vector<EngineView> &engines, TimePoint now)
{
    ModelPlanner &model = models_.try_emplace(name, plannerOptions_).first->second;
    const PlanDecision decision = model.planner.decide(engines, now);
    model.lastReason = decision.reason;
    if (decision.endpointDelta != 0) {
        recordDecision(name + ": " + (decision.endpointDelta > 0 ? "order an endpoint in " : "give back an endpoint in ")
                       + decision.dataCentre + ": " + decision.reason);
        if (!decision.endpointToRelease.empty()) {
            onDrain_(decision.endpointToRelease);
        }
        orders_.queueOrder({name, decision.dataCentre, decision.endpointDelta, decision.endpointToRelease});
    }
    if (decision.change) {
        recordDecision(name + ": " + decision.reason);
        metrics_.counter("role_changes_total").add();
        model.planner.recordRoleChange(*decision.change, now);
        writePlan(*decision.change);
    }
}

void FleetDuty::writePlan(const RoleChange &change)
{
    isTableCallPending_ = true;
    auto wanted = wantedRoles_;
    wanted[change.endpoint] = std::string(nameOf(EndpointRoleNames, change.to));
    TableWrite write;
    write.attemptId = absl::StrFormat("%016x", random_());
    write.markerKey = PlanKey;
    write.transaction.conditions = {{PlanKey, planRowVersion_}};
    write.transaction.puts = {{PlanKey, nlohmann::json{{"roles", wanted}, {"epoch", planEpoch_}, {"attempt", write.attemptId}}.dump()}};
    writer_.write(std::move(write), [this](CommitOutcome) {
        isTableCallPending_ = false;
        // Whatever the outcome, the row is read again; orders follow from its contents.
        planEpoch_ = 0;
    });
}

void FleetDuty::sendRoleOrders(TimePoint now)
{
    std::erase_if(sentOrders_, [now](const auto &item) { return now - item.second.sentAt > OrderTimeout; });
    for (const auto &[endpoint, role] : wantedRoles_) {
        const auto link = endpointLinks_.currentLinkTo(endpoint);
        const bool isOrderPending = std::any_of(
            sentOrders_.begin(), sentOrders_.end(), [&endpoint = endpoint](const auto &item) { return item.second.endpoint == endpoint; });
        if (!link || isOrderPending || endpointLinks_.reportedRole(*link) == role || endpointLinks_.reportedRole(*link).empty()) {
            continue;
        }
        // The tick proves that the order is fresh only if it was requested while the lease was valid.
        if (!lease_.keeper().mayAct(now) || endpointLinks_.newestTickRequestedAt(*link) > lease_.keeper().validUntil()) {
            return;
        }
        const Tick tick = endpointLinks_.newestTick(*link);
        const std::uint64_t id = random_();
        wire::Envelope message;
        auto *order = message.mutable_order();
        order->set_order_id(id);
        order->set_epoch(lease_.keeper().epoch());
        order->set_sidecar_incarnation(tick.incarnation);
        order->set_tick_us(tick.microseconds);
        order->set_action("role");
        order->set_argument(role);
        if (endpointLinks_.send(*link, message)) {
            sentOrders_[id] = SentOrder{endpoint, role, now};
            recordDecision("ordered " + endpoint + " to role " + role + " with epoch " + std::to_string(lease_.keeper().epoch()));
        }
    }
}

void FleetDuty::onOrderReply(const wire::OrderReply &reply)
{
    const auto it = sentOrders_.find(reply.order_id());
    if (it == sentOrders_.end()) {
        return;
    }
    recordDecision("order to " + it->second.endpoint + " for role " + it->second.role + ": " + reply.code());
    sentOrders_.erase(it);
}

void FleetDuty::recordDecision(const std::string &text)
{
    log_.info("planner", {{"decision", text}});
    decisions_.push_back(text);
    if (decisions_.size() > MaxDecisions) {
        decisions_.pop_front();
    }
}

nlohmann::json FleetDuty::dump() const
{
    nlohmann::json models = nlohmann::json::object();
    for (const auto &[name, model] : models_) {
        models[name] = {{"prefillPerSecond", model.planner.prefillDemand()},
                        {"decodePerSecond", model.planner.decodeDemand()},
                        {"reason", model.lastReason}};
    }
    return {{"wantedRoles", wantedRoles_}, {"models", std::move(models)}, {"decisions", decisions_}};
}

}
