#include "fleetduty.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr const char *PlanKey = "plan/roles";
constexpr std::size_t MaxDecisions = 200;
/** An order whose reply did not come counts as lost after this time; the role is then looked at again. */
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
                     FleetPlanOptions planOptions,
                     DrainHandler onDrain)
    : table_(table)
    , writer_(std::move(executor), table, std::chrono::seconds(5))
    , lease_(lease)
    , links_(links)
    , router_(router)
    , orders_(orders)
    , metrics_(metrics)
    , log_(log)
    , interval_(interval)
    , planOptions_(planOptions)
    , onDrain_(std::move(onDrain))
    , random_(incarnation + 4)
{
}

void FleetDuty::tick(TimePoint now)
{
    if (now < nextPlan_) {
        return;
    }
    nextPlan_ = now + interval_;
    // Demand is followed by every gateway, so that a new holder does not start blind.
    measureDemand(now);
    if (!lease_.keeper().mayAct(now) || busy_) {
        return;
    }
    if (planEpoch_ != lease_.keeper().epoch()) {
        readPlan();
        return;
    }
    correctRoles(now);
    plan(now);
}

void FleetDuty::readPlan()
{
    busy_ = true;
    const std::uint64_t epoch = lease_.keeper().epoch();
    table_.get({PlanKey}, [this, epoch](const absl::StatusOr<TableRows> &rows) {
        busy_ = false;
        if (!rows.ok()) {
            return;
        }
        wanted_.clear();
        const auto it = rows->find(PlanKey);
        planRowVersion_ = it == rows->end() ? 0 : it->second.version;
        const auto json = it == rows->end() ? nlohmann::json() : nlohmann::json::parse(it->second.value, nullptr, false);
        if (json.is_object() && json.contains("roles")) {
            for (const auto &[endpoint, role] : json["roles"].items()) {
                wanted_[endpoint] = role.get<std::string>();
            }
        }
        planEpoch_ = epoch;
        note("epoch " + std::to_string(epoch) + " carries on from the stored plan with " + std::to_string(wanted_.size())
             + " wanted roles");
    });
}

void FleetDuty::measureDemand(TimePoint now)
{
    const Duration over = measuredAt_ == TimePoint{} ? interval_ : now - measuredAt_;
    measuredAt_ = now;
    std::map<std::string, Work> arrived;
    // A restarted sidecar counts from zero.
    const auto since = [](double before, double total) { return total >= before ? total - before : total; };
    for (const auto &[name, endpoint] : router_.endpoints()) {
        Work &before = reported_[name];
        const Work total{endpoint.load.promptTokensTotal, endpoint.load.outputTokensTotal, endpoint.load.requestsTotal};
        Work &work = arrived[endpoint.entry.serves];
        work.promptTokens += since(before.promptTokens, total.promptTokens);
        work.outputTokens += since(before.outputTokens, total.outputTokens);
        work.requests += since(before.requests, total.requests);
        before = total;
    }
    for (const auto &[serves, work] : arrived) {
        const auto it = models_.try_emplace(serves, planOptions_).first;
        it->second.plan.addDemand(work.promptTokens, work.outputTokens, work.requests, over);
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
        const auto link = links_.linkOf(name);
        view.role = valueOf(EndpointRoleNames, link ? links_.roleOf(*link) : std::string()).value_or(EndpointRole::Mixed);
        view.usable = link.has_value() && endpoint.load.healthy && !endpoint.entry.draining;
        view.backlogSeconds = endpoint.load.queuedSeconds + endpoint.load.runningSeconds;
        view.cachedBlocks = endpoint.blocks.size();
        const double answerSpeed = endpoint.load.decodeTokensPerSecond;
        view.speeds = {endpoint.load.prefillTokensPerSecond, answerSpeed * static_cast<double>(endpoint.load.slots), answerSpeed};
        const auto wanted = wanted_.find(name);
        view.changing = wanted != wanted_.end() && wanted->second != nameOf(EndpointRoleNames, view.role);
        result[endpoint.entry.serves].push_back(std::move(view));
    }
    return result;
}

void FleetDuty::plan(TimePoint now)
{
    for (const auto &[name, views] : engines()) {
        planModel(name, views, now);
        if (busy_) {
            return;
        }
    }
}

void FleetDuty::planModel(const std::string &name, const std::vector<EngineView> &engines, TimePoint now)
{
    Model &model = models_.try_emplace(name, planOptions_).first->second;
    const PlanDecision decision = model.plan.decide(engines, now);
    model.lastReason = decision.reason;
    if (decision.endpointDelta != 0) {
        note(name + ": " + (decision.endpointDelta > 0 ? "order an endpoint in " : "give back an endpoint in ") + decision.dataCentre + ": "
             + decision.reason);
        if (!decision.giveBack.empty()) {
            onDrain_(decision.giveBack);
        }
        orders_.place({name, decision.dataCentre, decision.endpointDelta, decision.giveBack});
    }
    if (decision.change) {
        note(name + ": " + decision.reason);
        metrics_.counter("role_changes_total").add();
        model.plan.ordered(*decision.change, now);
        writePlan(*decision.change);
    }
}

void FleetDuty::writePlan(const RoleChange &change)
{
    busy_ = true;
    auto wanted = wanted_;
    wanted[change.endpoint] = std::string(nameOf(EndpointRoleNames, change.to));
    TableWrite write;
    write.attemptId = absl::StrFormat("%016x", random_());
    write.markerKey = PlanKey;
    write.transaction.conditions = {{PlanKey, planRowVersion_}};
    write.transaction.puts = {{PlanKey, nlohmann::json{{"roles", wanted}, {"epoch", planEpoch_}, {"attempt", write.attemptId}}.dump()}};
    writer_.write(std::move(write), [this](CommitOutcome) {
        busy_ = false;
        // Whatever happened, the row tells; the order follows from it.
        planEpoch_ = 0;
    });
}

void FleetDuty::correctRoles(TimePoint now)
{
    std::erase_if(given_, [now](const auto &item) { return now - item.second.at > OrderTimeout; });
    for (const auto &[endpoint, role] : wanted_) {
        const auto link = links_.linkOf(endpoint);
        const bool given = std::any_of(
            given_.begin(), given_.end(), [&endpoint = endpoint](const auto &item) { return item.second.endpoint == endpoint; });
        if (!link || given || links_.roleOf(*link) == role || links_.roleOf(*link).empty()) {
            continue;
        }
        // A tick that was asked for while the lease was valid proves the order's freshness.
        if (!lease_.keeper().mayAct(now) || links_.tickAskedAt(*link) > lease_.keeper().validUntil()) {
            return;
        }
        const Tick tick = links_.tickOf(*link);
        const std::uint64_t id = random_();
        wire::Envelope message;
        auto *order = message.mutable_order();
        order->set_order_id(id);
        order->set_epoch(lease_.keeper().epoch());
        order->set_sidecar_incarnation(tick.incarnation);
        order->set_tick_us(tick.microseconds);
        order->set_action("role");
        order->set_argument(role);
        if (links_.send(*link, message)) {
            given_[id] = GivenOrder{endpoint, role, now};
            note("ordered " + endpoint + " to role " + role + " with epoch " + std::to_string(lease_.keeper().epoch()));
        }
    }
}

void FleetDuty::onOrderReply(const wire::OrderReply &reply)
{
    const auto it = given_.find(reply.order_id());
    if (it == given_.end()) {
        return;
    }
    note("order to " + it->second.endpoint + " for role " + it->second.role + ": " + reply.code());
    given_.erase(it);
}

void FleetDuty::note(const std::string &text)
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
        models[name] = {
            {"prefillPerSecond", model.plan.prefillDemand()}, {"decodePerSecond", model.plan.decodeDemand()}, {"reason", model.lastReason}};
    }
    return {{"wantedRoles", wanted_}, {"models", std::move(models)}, {"decisions", decisions_}};
}

}
