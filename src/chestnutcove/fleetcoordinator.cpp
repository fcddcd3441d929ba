#include "fleetcoordinator.h"

#include "rendezvous.h"
#include "suspendclock.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr const char *StatusPrefix = "gateway/";
constexpr const char *DutyName = "duties";
constexpr Milliseconds DutiesInterval{1000};
/** An unresponsive gateway is expected to return within this time, so its usage figures are waited for. */
constexpr std::chrono::seconds GatewayReturnPeriod{60};
/** An engine whose stage change was announced gets requests again after this time, even if it has not changed its stage. */
constexpr Milliseconds AnnouncementLifetime{7000};
/** The same for the first announcement that a process reads, since its age is unknown. */
constexpr Milliseconds FirstAnnouncementLifetime{2000};
constexpr Milliseconds OperationsTimeout{800};
/** A window is not sealed earlier than this after its end, because the clocks of VMs differ. */
constexpr Milliseconds EarliestSealDelay{500};
/** A window is sealed this long before its report is due, even if the figures of some gateways are missing. */
constexpr Milliseconds SealBeforeReportMargin{2000};
/** Minimum time between two writes of the status row. */
constexpr Milliseconds MinStatusInterval{500};

LeaseOptions leaseOptions()
{
    LeaseOptions options;
    options.duration = std::chrono::milliseconds(4500);
    options.driftMargin = std::chrono::milliseconds(500);
    options.renewInterval = std::chrono::milliseconds(1200);
    options.activationDelay = std::chrono::milliseconds(1000);
    return options;
}

UsageOptions usageOptions(const Platform::PlatformSettings &settings)
{
    UsageOptions options;
    options.vmName = settings.vmName;
    options.window = settings.usageWindow;
    options.flushInterval = CoordinationIntervals{}.usageWrite;
    options.sealSchedule.earliest = std::min(EarliestSealDelay, settings.usageReportDeadline / 2);
    options.sealSchedule.latest = std::max(settings.usageReportDeadline - SealBeforeReportMargin, settings.usageReportDeadline / 2);
    // Late figures are dropped, because moving them to another window would make the reports of both windows wrong.
    options.lateUsagePolicy = LateUsagePolicy::Drop;
    options.writeTimeout = settings.lease;
    options.reportTimeout = OperationsTimeout;
    return options;
}

}

FleetCoordinator::FleetCoordinator(const Platform::PlatformSettings &settings,
                                   asio::io_context &context,
                                   PlatformTable &table,
                                   HttpClient &client,
                                   const PlatformOptions &store,
                                   EndpointPool &pool,
                                   EndpointDirectory &directory,
                                   QuotaLinks &links,
                                   LimitAdmission &quotas,
                                   EndpointAdmission &endpoints,
                                   const EndpointSpeeds &speeds,
                                   CatalogueReader catalogue,
                                   std::uint64_t incarnation,
                                   Metrics &metrics,
                                   const Log &log)
    : settings_(settings)
    , table_(table)
    , directory_(directory)
    , links_(links)
    , endpoints_(endpoints)
    , limits_{&quotas, &endpoints.limits()}
    , catalogue_(std::move(catalogue))
    , incarnation_(incarnation)
    , metrics_(metrics)
    , log_(log)
    , sharedRows_(context,
                  client,
                  store,
                  log,
                  {[this](const QuotaDivision &division, TimePoint readAt) { onDivision(division, readAt); },
                   [this](TimePoint readAt) { onDivisionConfirmed(readAt); },
                   [this] { onNoDivisionStored(); },
                   [this](const auto &stages, bool isFirst) { onStagesAnnounced(stages, isFirst); },
                   [this](const LinkKeys &keys) { onLinkKeys(keys); },
                   [this](const TableRows &rows) {
                       crashReporter_.onTableRead(rows);
                       limitReporter_.onTableRead(rows);
                   },
                   [this](const std::string &key, const std::string &value, std::uint64_t version) {
                       crashReporter_.onRowChanged(key, value, version);
                       limitReporter_.onRowChanged(key, value, version);
                   },
                   [this](const std::string &key) { return rankFor(key); }})
    , crashReporter_(
          context,
          pool,
          sharedRows_.table(),
          settings.vmName,
          [this](const std::string &part) { return isTrialGateway(part); },
          metrics,
          log)
    , limitReporter_(
          sharedRows_.table(),
          settings.vmName,
          endpoints,
          sharedRows_.clock(),
          [this](const std::string &run) { return rankFor(run); },
          log)
    , lease_(context.get_executor(), table, log, DutyName, settings.vmName, incarnation, leaseOptions())
    , operations_(client, settings.operationsApi ? "http://" + settings.operationsApi->text() : "")
    , usageReporter_(context.get_executor(),
                     table,
                     operations_,
                     lease_,
                     usageOptions(settings),
                     incarnation,
                     metrics,
                     log,
                     [this](WindowNumber window) { return isUsageStoredByAll(window); })
    , stageOrders_(pool, directory, sharedRows_.table(), lease_, settings.vmName, speeds, metrics, log)
    , liveness_(CoordinationIntervals{}.unresponsiveTimeout, GatewayReturnPeriod)
    , divider_(QuotaDividerOptions{})
{
    status_.incarnation = incarnation;
}

void FleetCoordinator::start()
{
    sharedRows_.start();
    tick(suspendAwareNow());
}

void FleetCoordinator::recordRequest(const std::string &customer)
{
    if (settings_.reportsUsage && !customer.empty()) {
        usageReporter_.add(customer, {1, 0, 0});
    }
}

void FleetCoordinator::recordWork(const std::string &service, const EngineWork &work)
{
    work_[service] += work;
}

void FleetCoordinator::tick(TimePoint now)
{
    sharedRows_.tick(now);
    crashReporter_.tick(now);
    limitReporter_.tick(now);
    endpoints_.tick(now);
    updateIntervals(now);
    if (now >= nextLeaseReadAt_) {
        nextLeaseReadAt_ = now + intervals_.leaseRead;
        readLease();
    }
    if (isStatusDue(now) && !isLeaving_) {
        nextStatusAt_ = now + intervals_.status;
        writeStatus(now);
    }
    lease_.tick(now);
    usageReporter_.tick(now);
    sendLeaveNotice();
    if (!lease_.keeper().mayAct(now)) {
        hasReadStatuses_ = false;
        return;
    }
    stageOrders_.sendDueOrders(now);
    if (now >= nextDutiesAt_) {
        nextDutiesAt_ = now + DutiesInterval;
        readStatuses();
        if (hasReadStatuses_) {
            performDuties(now);
        }
    }
}

bool FleetCoordinator::isStatusDue(TimePoint now) const
{
    // The lease holder waits for both before it seals a window or marks a division as settled.
    const bool hasNews = usageReporter_.storedThrough() > status_.usageStoredThrough || divider_.current().number > status_.divisionSeen
        || links_.address() != status_.address;
    return now >= nextStatusAt_ || (hasNews && now - statusWrittenAt_ >= MinStatusInterval);
}

void FleetCoordinator::updateIntervals(TimePoint now)
{
    const bool isCandidate = lease_.keeper().isValid(now) || isDutyCandidate();
    intervals_ = CoordinationIntervals::of(gatewayCount(), isCandidate, settings_.usageWindow);
    usageReporter_.setFlushInterval(intervals_.usageWrite);
    liveness_.setTimeout(intervals_.unresponsiveTimeout);
}

bool FleetCoordinator::isDutyCandidate() const
{
    const auto &gateways = divider_.current().gateways;
    const auto last = gateways.begin() + static_cast<std::ptrdiff_t>(std::min(gateways.size(), MaxDutyCandidates));
    const auto isSelf = [this](const GatewayAddress &gateway) { return gateway.vm == settings_.vmName; };
    return gateways.empty() || std::any_of(gateways.begin(), last, isSelf);
}

void FleetCoordinator::readLease()
{
    if (std::exchange(isReadingLease_, true)) {
        return;
    }
    table_.get({lease_.rowKey()}, [this](const absl::StatusOr<TableRows> &rows) {
        isReadingLease_ = false;
        if (rows.ok()) {
            lease_.onRowsRead(*rows, suspendAwareNow());
        }
    });
}

void FleetCoordinator::onDivision(const QuotaDivision &division, TimePoint readAt)
{
    const bool isNew = division.number != divider_.current().number;
    divider_.onDivisionRead(division, suspendAwareNow());
    std::vector<std::string> addresses;
    for (const GatewayAddress &gateway : division.gateways) {
        addresses.push_back(gateway.address);
    }
    links_.retain(addresses);
    for (LimitAdmission *each : limits_) {
        each->onDivisionRead(division, readAt);
    }
    endpoints_.onDivisionRead(division, readAt);
    if (isNew) {
        log_.info("division of quotas seen",
                  {{"number", std::to_string(division.number)},
                   {"gateways", std::to_string(division.gateways.size())},
                   {"settled", division.settled ? "yes" : "no"}});
    }
}

void FleetCoordinator::onDivisionConfirmed(TimePoint readAt)
{
    for (LimitAdmission *each : limits_) {
        each->onDivisionConfirmed(readAt);
    }
    endpoints_.onDivisionConfirmed(readAt);
}

void FleetCoordinator::onNoDivisionStored()
{
    for (LimitAdmission *each : limits_) {
        each->onNoDivisionStored();
    }
}

void FleetCoordinator::onStagesAnnounced(const std::map<std::string, EngineStage> &stages, bool isFirst)
{
    // A process that has just started doesn't know how old the announcement is.
    const TimePoint until = suspendAwareNow() + (isFirst ? FirstAnnouncementLifetime : AnnouncementLifetime);
    for (const auto &[id, stage] : stages) {
        log_.info("stage change announced", {{"endpoint", id}, {"stage", std::string(nameOf(EngineStageNames, stage))}});
        directory_.onStageChangeAnnounced(id, stage, until);
    }
}

void FleetCoordinator::onLinkKeys(const LinkKeys &keys)
{
    const auto status = links_.start(keys, settings_.ip, settings_.gatewayPort);
    if (!status.ok()) {
        log_.error("no links between gateways", {{"reason", std::string(status.message())}});
    }
}

std::size_t FleetCoordinator::rankFor(const std::string &key) const
{
    const auto vms = divider_.current().vms();
    const auto order = rendezvous(key, vms, vms.size());
    return static_cast<std::size_t>(std::find(order.begin(), order.end(), settings_.vmName) - order.begin());
}

bool FleetCoordinator::isTrialGateway(const std::string &part) const
{
    const auto first = rendezvous(part, divider_.current().vms(), 1);
    return !first.empty() && first.front() == settings_.vmName;
}

void FleetCoordinator::writeStatus(TimePoint now)
{
    const double ms = toSeconds(now - std::exchange(statusWrittenAt_, now)) * 1000;
    ++status_.heartbeat;
    status_.address = links_.address();
    status_.usageStoredThrough = usageReporter_.storedThrough();
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
                log_.error("gateway status unreadable", {{"row", key}});
            }
        }
        liveness_.update(statuses, suspendAwareNow());
        hasReadStatuses_ = true;
    });
}

bool FleetCoordinator::isUsageStoredByAll(WindowNumber window) const
{
    // A gateway whose row has not changed for longer has no further figures for a window that is still to be sealed.
    const Duration unresponsiveTimeout = settings_.usageReportDeadline + settings_.usageWindow;
    return hasReadStatuses_ && liveness_.haveAllStoredUsage(window, unresponsiveTimeout, suspendAwareNow());
}

void FleetCoordinator::performDuties(TimePoint now)
{
    const auto catalogue = catalogue_();
    if (!catalogue) {
        return;
    }
    updateDivision(now);
    for (const auto &service : catalogue->services()) {
        if (service.engine) {
            stageOrders_.tick(service, directory_.nonDrainingEndpoints(service.name), fleetWork(service.name, now), now);
        }
    }
}

std::optional<EngineWork> FleetCoordinator::fleetWork(const std::string &service, TimePoint now) const
{
    EngineWork total;
    for (const auto &[vm, status] : liveness_.liveGateways(now)) {
        if (const auto it = status.work.find(service); it != status.work.end()) {
            total += it->second;
        }
    }
    const bool hasNoTokens = total.prefilledTokens + total.transferredTokens + total.decodePrefilledTokens <= 0;
    return hasNoTokens ? std::nullopt : std::optional(total);
}

void FleetCoordinator::updateDivision(TimePoint now)
{
    if (sharedRows_.isWritingDivision()) {
        return;
    }
    if (const auto division = divider_.nextDivision(liveness_.expectedGateways(now), now)) {
        sharedRows_.writeDivision(*division);
    }
}

void FleetCoordinator::releaseLease()
{
    lease_.release();
}

void FleetCoordinator::flushAndLeave()
{
    if (std::exchange(isLeaving_, true)) {
        return;
    }
    usageReporter_.flushNow();
}

void FleetCoordinator::sendLeaveNotice()
{
    if (!isLeaving_ || !usageReporter_.isFlushed() || std::exchange(hasSentLeaveNotice_, true)) {
        return;
    }
    ++status_.heartbeat;
    status_.isLeaving = true;
    status_.work.clear();
    // This process counts no more usage and spends no more of the quotas; its successor reads the division itself.
    status_.usageStoredThrough = std::numeric_limits<std::uint64_t>::max();
    status_.divisionSeen = std::numeric_limits<std::uint64_t>::max();
    TableTransaction transaction;
    transaction.puts = {{StatusPrefix + settings_.vmName, status_.toText()}};
    table_.commit(transaction, [this](CommitOutcome) { hasLeft_ = true; });
}

bool FleetCoordinator::isLeaving() const
{
    return isLeaving_;
}

bool FleetCoordinator::hasLeft() const
{
    return hasLeft_ || table_.isDown();
}

std::size_t FleetCoordinator::gatewayCount() const
{
    return std::max<std::size_t>(1, divider_.current().gateways.size());
}

const RemoteClock &FleetCoordinator::storeClock() const
{
    return sharedRows_.clock();
}

CrashReporter &FleetCoordinator::crashReporter()
{
    return crashReporter_;
}

}
