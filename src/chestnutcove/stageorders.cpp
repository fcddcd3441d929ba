#include "stageorders.h"

#include "shortcall.h"
#include "suspendclock.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Chestnutcove {

namespace {

constexpr int Ok = 200;
constexpr int Accepted = 202;
/** Time after a change until the engine's entry in the store shows the new stage. */
constexpr Milliseconds EntryUpdateDelay{1500};
/** An order without an answer may still be carried out within this time. */
constexpr std::chrono::seconds LateOrderPeriod{13};
/** Time between an announcement and its order. Gateways read announcements about once a second. */
constexpr Milliseconds AnnouncementDelay{1400};
/** Time before an engine that did not accept an order gets the next one. */
constexpr Milliseconds RefusalBackoff{1000};

}

StageOrders::StageOrders(EndpointPool &pool,
                         const EndpointDirectory &directory,
                         PlatformTable &table,
                         const BasicDutyLease<PlatformTable> &lease,
                         std::string holder,
                         const EndpointSpeeds &speeds,
                         Metrics &metrics,
                         const Log &log)
    : pool_(pool)
    , directory_(directory)
    , table_(table)
    , lease_(lease)
    , holder_(std::move(holder))
    , speeds_(speeds)
    , metrics_(metrics)
    , log_(log)
{
}

void StageOrders::tick(const RoutedService &service,
                       const std::vector<EndpointRecord> &engines,
                       const std::optional<EngineWork> &work,
                       TimePoint now)
{
    std::erase_if(pendingChanges_, [now](const auto &item) { return now >= item.second.expiresAt; });
    std::vector<EndpointRecord> planned;
    unsigned changingEngines = 0;
    bool hasNewChanges = false;
    for (EndpointRecord engine : engines) {
        if (!engine.stage) {
            continue;
        }
        if (const auto it = pendingChanges_.find(engine.id); it != pendingChanges_.end()) {
            changingEngines += engine.stage == it->second.stage ? 0 : 1;
            engine.stage = it->second.stage;
        }
        planned.push_back(std::move(engine));
    }
    StagePlanner &planner = planners_.try_emplace(service.name, StagePlannerOptions{}).first->second;
    for (const auto &change : planner.plan(planned, changingEngines, *service.engine, work, now, learnedRates(planned, now))) {
        if (pendingChanges_.contains(change.engine.id)) {
            continue;
        }
        log_.info("stage planned",
                  {{"endpoint", change.engine.id},
                   {"stage", std::string(nameOf(EngineStageNames, change.stage))},
                   {"engines", std::to_string(planned.size())},
                   {"readTokensPerMs", work ? std::to_string(work->prefilledTokens) : "assumed"},
                   {"movedTokensPerMs", work ? std::to_string(work->transferredTokens) : "assumed"},
                   {"wholeTokensPerMs", work ? std::to_string(work->decodePrefilledTokens) : "assumed"},
                   {"busySlots", work ? std::to_string(work->busySlots) : "assumed"},
                   {"epoch", std::to_string(lease_.keeper().epoch())}});
        const Duration changeDuration = service.engine->stageChangeTime;
        const Duration delay = change.isUrgent ? Duration::zero() : Duration(AnnouncementDelay);
        pendingChanges_[change.engine.id]
            = {change.stage, now + delay + changeDuration + EntryUpdateDelay, now + delay, change, changeDuration};
        hasNewChanges = true;
    }
    if (hasNewChanges) {
        writeAnnouncement();
    }
    sendDueOrders(now);
}

EngineRates StageOrders::learnedRates(const std::vector<EndpointRecord> &engines, TimePoint now) const
{
    EngineRates rates;
    for (const EndpointRecord &engine : engines) {
        if (const auto rate = speeds_.prefillTokensPerMs(engine, now)) {
            rates[engine.id] = *rate;
        }
    }
    return rates;
}

void StageOrders::writeAnnouncement()
{
    nlohmann::json stages = nlohmann::json::object();
    for (const auto &[id, pending] : pendingChanges_) {
        stages[id] = nameOf(EngineStageNames, pending.stage);
    }
    TableTransaction transaction;
    transaction.puts = {{AnnouncementKey, nlohmann::json{{"stages", std::move(stages)}}.dump()}};
    table_.commit(transaction, [this](CommitOutcome outcome) {
        // The order is sent in any case: a gateway that doesn't know of the change gets refusals from the engine.
        if (outcome != CommitOutcome::Committed) {
            log_.warning("announcement of stage changes may not be stored", {});
        }
    });
}

absl::StatusOr<std::map<std::string, EngineStage>> StageOrders::parseAnnouncement(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("stages") || !json["stages"].is_object()) {
        return absl::DataLossError("the announcement has no object \"stages\"");
    }
    std::map<std::string, EngineStage> stages;
    for (const auto &[id, name] : json["stages"].items()) {
        const auto stage = name.is_string() ? valueOf(EngineStageNames, name.get<std::string>()) : std::nullopt;
        if (!stage) {
            return absl::DataLossError("the announcement names an unknown stage");
        }
        stages[id] = *stage;
    }
    return stages;
}

void StageOrders::sendDueOrders(TimePoint now)
{
    std::vector<PendingChange> dueChanges;
    for (auto &[id, pending] : pendingChanges_) {
        if (pending.orderDueAt && now >= *pending.orderDueAt) {
            pending.orderDueAt.reset();
            dueChanges.push_back(pending);
        }
    }
    for (const auto &pending : dueChanges) {
        requestReport(pending.change, pending.changeDuration);
    }
}

void StageOrders::requestReport(const StageChange &change, Duration changeDuration)
{
    callEngine(change.engine,
               {Platform::encodeReportRequest(change.engine.address), ""},
               [this, change, changeDuration](int status, const auto &body) {
                   const auto report = Platform::decodeReport(body);
                   if (status != Ok || !report.ok() || report->busy) {
                       pendingChanges_[change.engine.id].expiresAt = suspendAwareNow() + RefusalBackoff;
                       return;
                   }
                   if (report->stage != change.stage) {
                       sendOrder(change, *report, changeDuration);
                   }
               });
}

void StageOrders::sendOrder(const StageChange &change, const Platform::EngineReport &report, Duration changeDuration)
{
    if (!lease_.keeper().mayAct(suspendAwareNow())) {
        return;
    }
    Platform::StageOrder order;
    order.stage = change.stage;
    order.endpointId = change.engine.id;
    order.address = change.engine.address;
    order.holder = holder_;
    order.fencingToken = lease_.keeper().epoch();
    order.expectedAcceptedOrders = report.ordersAccepted;
    metrics_.counter("stage_orders_total").add();
    callEngine(change.engine, Platform::encodeStageOrder(order), [this, change, changeDuration](int status, const std::string &) {
        const TimePoint now = suspendAwareNow();
        const bool isAccepted = status == Ok || status == Accepted;
        PendingChange &pending = pendingChanges_[change.engine.id];
        pending.stage = change.stage;
        pending.expiresAt = now
            + (isAccepted        ? changeDuration + EntryUpdateDelay
                   : status == 0 ? Duration(LateOrderPeriod)
                                 : Duration(RefusalBackoff));
        log_.info("stage ordered",
                  {{"endpoint", change.engine.id},
                   {"stage", std::string(nameOf(EngineStageNames, change.stage))},
                   {"answer", status == 0 ? "none" : std::to_string(status)}});
    });
}

void StageOrders::callEngine(const EndpointRecord &engine,
                             Platform::EncodedCall encoded,
                             std::function<void(int status, const std::string &body)> onDone)
{
    pool_.acquire(engine, 0, [this, engine, encoded = std::move(encoded), onDone = std::move(onDone)](const auto &connection) {
        if (!connection.ok()) {
            onDone(0, "");
            return;
        }
        // The lease may have expired, or the engine been evacuated, since the change was planned, so both are checked right before the
        // call.
        if (!lease_.keeper().mayAct(suspendAwareNow()) || directory_.isEvacuated(engine)) {
            pool_.release(engine, *connection);
            onDone(0, "");
            return;
        }
        ShortCall::send(pool_, engine, *connection, encoded.head, encoded.body, onDone);
    });
}

}
