#include "fleetcoordinator.h"

#include "suspendclock.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr const char *DivisionKey = "quota/division";
constexpr const char *StatusPrefix = "gateway/";
constexpr const char *Duty = "duties";
constexpr Milliseconds PollInterval{1000};
constexpr Milliseconds StatusInterval{2000};
constexpr Milliseconds LeadInterval{1000};
/** A gateway whose row stays unchanged for this long counts as gone. */
constexpr Milliseconds GatewaySilence{5500};
/** A gateway that counts as gone may come back within this time and then finds its even part of the quotas. */
constexpr std::chrono::seconds GatewayMemory{60};
/** An engine that was to change its stage gets work again after this time even if it did not. */
constexpr Milliseconds AnnouncementLifetime{7000};
constexpr Milliseconds FirstAnnouncementLifetime{2000};
constexpr Milliseconds OperationsTimeout{800};
constexpr Milliseconds UsageFlushInterval{1500};
/** Clocks of VMs differ; a window is not sealed sooner after its end. */
constexpr Milliseconds EarliestSeal{500};
/** Time before a report is due by which its window is sealed, whoever's figures are missing. */
constexpr Milliseconds ReportMargin{2000};
/** Time between two status rows at least. */
constexpr Milliseconds ShortestStatusInterval{500};

LeaseOptions leaseOptions()
{
    LeaseOptions options;
    options.duration = std::chrono::milliseconds(4500);
    options.margin = std::chrono::milliseconds(500);
    options.renewEvery = std::chrono::milliseconds(1200);
    options.settle = std::chrono::milliseconds(1000);
    return options;
}

UsageOptions usageOptions(const Platform::PlatformSettings &settings)
{
    UsageOptions options;
    options.vmName = settings.vmName;
    options.window = settings.usageWindow;
    options.flushInterval = UsageFlushInterval;
    options.seal.earliest = std::min(EarliestSeal, settings.usageReportDeadline / 2);
    options.seal.latest = std::max(settings.usageReportDeadline - ReportMargin, settings.usageReportDeadline / 2);
    // A report that holds figures of another window is wrong for both.
    options.lateFigures = LateFigures::GiveUp;
    options.writeTimeout = settings.lease;
    options.reportTimeout = OperationsTimeout;
    return options;
}

}

FleetCoordinator::FleetCoordinator(const Platform::PlatformSettings &settings,
                                   asio::io_context &context,
                                   PlatformTable &table,
                                   HttpClient &client,
                                   EndpointPool &pool,
                                   EndpointDirectory &directory,
                                   QuotaShares &quotas,
                                   CatalogueReader catalogue,
                                   std::uint64_t incarnation,
                                   Metrics &metrics,
                                   const Log &log)
    : settings_(settings)
    , table_(table)
    , directory_(directory)
    , quotas_(quotas)
    , catalogue_(std::move(catalogue))
    , incarnation_(incarnation)
    , metrics_(metrics)
    , log_(log)
    , lease_(context.get_executor(), table, log, Duty, settings.vmName, incarnation, leaseOptions())
    , operations_(client, settings.operationsApi ? "http://" + settings.operationsApi->text() : "")
    , usage_(context.get_executor(),
             table,
             operations_,
             lease_,
             usageOptions(settings),
             incarnation,
             metrics,
             log,
             [this](WindowNumber window) { return isUsageStored(window); })
    , stages_(pool, table, lease_, settings.vmName, metrics, log)
    , liveness_(GatewaySilence, GatewayMemory)
    , divider_(QuotaDividerOptions{})
{
    status_.incarnation = incarnation;
}

void FleetCoordinator::requestRan(const std::string &customer)
{
    if (settings_.reportsUsage && !customer.empty()) {
        usage_.add(customer, {1, 0, 0});
    }
}

void FleetCoordinator::workDone(const std::string &service, const EngineWork &work)
{
    work_[service] += work;
}

void FleetCoordinator::tick(TimePoint now)
{
    if (now >= nextPoll_) {
        nextPoll_ = now + PollInterval;
        poll(now);
    }
    if (isStatusDue(now) && !leaving_) {
        nextStatus_ = now + StatusInterval;
        writeStatus(now);
    }
    lease_.tick(now);
    usage_.tick(now);
    sayFarewell();
    if (!lease_.keeper().mayAct(now)) {
        statusesKnown_ = false;
        return;
    }
    stages_.orderDue(now);
    if (now >= nextLead_) {
        nextLead_ = now + LeadInterval;
        readStatuses();
        if (statusesKnown_) {
            lead(now);
        }
    }
}

bool FleetCoordinator::isStatusDue(TimePoint now) const
{
    // The lease holder waits for these.
    const bool isNews = usage_.storedThrough() > status_.usageStoredThrough || divider_.current().number > status_.divisionSeen;
    return now >= nextStatus_ || (isNews && now - statusAt_ >= ShortestStatusInterval);
}

void FleetCoordinator::poll(TimePoint now)
{
    if (std::exchange(polling_, true)) {
        return;
    }
    table_.get({lease_.rowKey(), DivisionKey}, [this, startedAt = now](const absl::StatusOr<TableRows> &rows) {
        polling_ = false;
        if (rows.ok()) {
            onHeads(*rows, startedAt);
        }
    });
}

void FleetCoordinator::onHeads(const TableRows &rows, TimePoint startedAt)
{
    const TimePoint now = suspendAwareNow();
    lease_.observed(rows, now);
    headsKnown_ = true;
    if (const auto it = rows.find(DivisionKey); it != rows.end()) {
        onDivision(it->second, startedAt, now);
    } else {
        quotas_.noDivisionYet();
    }
    if (const auto it = rows.find(StageOrders::AnnouncementKey); it != rows.end()) {
        onAnnouncement(it->second, now);
    }
}

void FleetCoordinator::onAnnouncement(const TableRow &row, TimePoint now)
{
    if (row.version <= announcementVersion_) {
        return;
    }
    const bool first = announcementVersion_ == 0;
    announcementVersion_ = row.version;
    const auto stages = StageOrders::announcedStages(row.value);
    if (!stages.ok()) {
        log_.error("announcement of stages unreadable", {{"reason", std::string(stages.status().message())}});
        return;
    }
    for (const auto &[id, stage] : *stages) {
        log_.info("stage change announced", {{"endpoint", id}, {"stage", std::string(nameOf(EngineStageNames, stage))}});
        // A process that has just started can't tell how old the announcement is.
        directory_.stageChangeAnnounced(id, stage, now + (first ? FirstAnnouncementLifetime : AnnouncementLifetime));
    }
}

void FleetCoordinator::onDivision(const TableRow &row, TimePoint startedAt, TimePoint now)
{
    const auto division = QuotaDivision::fromText(row.value);
    if (!division.ok()) {
        log_.error("division of quotas unreadable", {{"reason", std::string(division.status().message())}});
        return;
    }
    if (row.version > divisionVersion_) {
        const bool isNew = division->number != divider_.current().number;
        divisionVersion_ = row.version;
        divider_.observed(*division, now);
        if (isNew) {
            log_.info("division of quotas seen",
                      {{"number", std::to_string(division->number)},
                       {"vms", std::to_string(division->vms.size())},
                       {"settled", division->settled ? "yes" : "no"}});
        }
    }
    quotas_.observed(*division, startedAt, now);
}

void FleetCoordinator::writeStatus(TimePoint now)
{
    const double ms = toSeconds(now - std::exchange(statusAt_, now)) * 1000;
    ++status_.beat;
    status_.demand = quotas_.demand(now);
    status_.usageStoredThrough = usage_.storedThrough();
    status_.divisionSeen = divider_.current().number;
    status_.work.clear();
    for (const auto &[service, work] : std::exchange(work_, {})) {
        status_.work[service] = work.scaled(1 / ms);
    }
    TableTransaction transaction;
    transaction.puts = {{StatusPrefix + settings_.vmName, status_.toText()}};
    table_.commit(transaction, [this](CommitOutcome outcome) {
        if (outcome != CommitOutcome::Committed) {
            metrics_.counter("status_writes_failed_total").add();
        }
    });
}

void FleetCoordinator::readStatuses()
{
    table_.list(StatusPrefix, [this](const absl::StatusOr<TableRows> &rows) {
        if (!rows.ok()) {
            return;
        }
        std::map<std::string, GatewayStatus> statuses;
        for (const auto &[key, row] : *rows) {
            const auto status = GatewayStatus::fromText(row.value);
            if (status.ok()) {
                statuses[key.substr(std::string(StatusPrefix).size())] = *status;
            } else {
                log_.error("status of a gateway unreadable", {{"row", key}});
            }
        }
        liveness_.observed(statuses, suspendAwareNow());
        statusesKnown_ = true;
    });
}

bool FleetCoordinator::isUsageStored(WindowNumber window) const
{
    // A gateway that is silent for longer has nothing more for a window that is still to be sealed.
    const Duration silence = settings_.usageReportDeadline + settings_.usageWindow;
    return statusesKnown_ && liveness_.haveStoredUsage(window, silence, suspendAwareNow());
}

void FleetCoordinator::lead(TimePoint now)
{
    const auto catalogue = catalogue_();
    if (!catalogue) {
        return;
    }
    divide(now);
    for (const auto &service : catalogue->services()) {
        if (service.engine) {
            stages_.tick(service, directory_.staying(service.name), workOf(service.name, now), now);
        }
    }
}

std::optional<EngineWork> FleetCoordinator::workOf(const std::string &service, TimePoint now) const
{
    EngineWork total;
    for (const auto &[vm, status] : liveness_.living(now)) {
        if (const auto it = status.work.find(service); it != status.work.end()) {
            total += it->second;
        }
    }
    const bool idle = total.readTokens + total.movedTokens + total.wholeTokens <= 0;
    return idle ? std::nullopt : std::optional(total);
}

void FleetCoordinator::divide(TimePoint now)
{
    if (dividing_ || !headsKnown_) {
        return;
    }
    if (auto division = divider_.next(liveness_.expected(now), now)) {
        store(std::move(*division));
    }
}

void FleetCoordinator::store(QuotaDivision division)
{
    dividing_ = true;
    TableTransaction transaction;
    transaction.conditions = {{DivisionKey, divisionVersion_}};
    transaction.puts = {{DivisionKey, division.toText()}};
    table_.commit(transaction, [this, number = division.number, settled = division.settled](CommitOutcome outcome) {
        // Whatever the outcome, the next poll shows what is stored.
        dividing_ = false;
        log_.info("division of quotas written",
                  {{"number", std::to_string(number)},
                   {"settled", settled ? "yes" : "no"},
                   {"committed", outcome == CommitOutcome::Committed ? "yes" : "not for certain"}});
    });
}

void FleetCoordinator::beginLeaving()
{
    lease_.release();
}

void FleetCoordinator::finishLeaving()
{
    if (std::exchange(leaving_, true)) {
        return;
    }
    usage_.flushNow();
}

void FleetCoordinator::sayFarewell()
{
    if (!leaving_ || !usage_.isFlushed() || std::exchange(saidFarewell_, true)) {
        return;
    }
    ++status_.beat;
    status_.demand.clear();
    status_.work.clear();
    // Nothing more is counted or spent by this process, and the next one reads the division anew.
    status_.usageStoredThrough = std::numeric_limits<std::uint64_t>::max();
    status_.divisionSeen = std::numeric_limits<std::uint64_t>::max();
    TableTransaction transaction;
    transaction.puts = {{StatusPrefix + settings_.vmName, status_.toText()}};
    table_.commit(transaction, [this](CommitOutcome) { hasLeft_ = true; });
}

bool FleetCoordinator::isLeaving() const
{
    return leaving_;
}

bool FleetCoordinator::hasLeft() const
{
    return hasLeft_ || table_.isDown();
}

std::size_t FleetCoordinator::gateways() const
{
    return std::max<std::size_t>(1, divider_.current().vms.size());
}

}
