#include "crashreporter.h"

#include "suspendclock.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Chestnutcove {

namespace {

/** The connections of an endpoint that ends don't close all at once. */
constexpr Milliseconds ConfirmationDelay{50};
constexpr std::string_view RowPrefix = "crashes/";
/** Crashes at about the same time are reported together, and parts that are answered meanwhile aren't reported. */
constexpr Milliseconds ReportDelay{400};

std::int64_t timeOfDay()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}

CrashReporter::CrashReporter(asio::io_context &context,
                             EndpointPool &pool,
                             PlatformTable &table,
                             const std::string &vm,
                             std::function<bool(const std::string &key)> isTrialGateway,
                             Metrics &metrics,
                             const Log &log)
    : ioContext_(context)
    , pool_(pool)
    , log_(log)
    , row_(table, std::string(RowPrefix) + vm)
    , evidence_(CrashEvidenceOptions{}, std::move(isTrialGateway))
{
    metrics.gauge("blocked_prompt_parts", [this] { return static_cast<double>(blockedParts_.size()); });
}

void CrashReporter::onRunBroken(const EndpointRecord &endpoint, const std::vector<PromptPart> &parts, TimePoint sentAt)
{
    if (evidence_.areAllPartsAnswered(endpoint.service, parts)) {
        return;
    }
    const std::string run = endpoint.id + '/' + std::to_string(endpoint.startedAt);
    const auto [it, isNew] = confirmations_.try_emplace(run);
    if (isNew) {
        it->second = std::make_unique<Confirmation>(Confirmation{endpoint, {}, asio::steady_timer(ioContext_)});
        it->second->timer.expires_after(ConfirmationDelay);
        it->second->timer.async_wait([this, run](const std::error_code &error) {
            if (!error) {
                confirmCrash(run);
            }
        });
    }
    it->second->runs.push_back({parts, sentAt});
}

void CrashReporter::confirmCrash(const std::string &run)
{
    const EndpointRecord endpoint = confirmations_.at(run)->endpoint;
    pool_.acquire(endpoint, 0, [this, run, endpoint](const auto &connection) {
        if (connection.ok()) {
            pool_.release(endpoint, *connection);
        }
        onConfirmed(run, !connection.ok());
    });
}

void CrashReporter::onConfirmed(const std::string &run, bool hasCrashed)
{
    const auto confirmation = std::move(confirmations_.extract(run).mapped());
    log_.info("endpoint checked after a broken run",
              {{"endpoint", confirmation->endpoint.id},
               {"outcome", hasCrashed ? "ended" : "accepts connections"},
               {"runs", std::to_string(confirmation->runs.size())}});
    if (!hasCrashed) {
        return;
    }
    const TimePoint now = suspendAwareNow();
    for (const BrokenRun &broken : confirmation->runs) {
        evidence_.onCrashed(run, confirmation->endpoint.service, broken.parts, broken.sentAt, now);
    }
    logBlockedParts();
}

void CrashReporter::onRunAnswered(const std::string &service, const std::vector<PromptPart> &parts)
{
    evidence_.onAnswered(service, parts, suspendAwareNow());
}

std::optional<Duration> CrashReporter::blockedFor(const std::string &service, const std::vector<PromptPart> &parts)
{
    return evidence_.blockedFor(service, parts, suspendAwareNow());
}

void CrashReporter::onTableRead(const TableRows &rows)
{
    row_.onTableRead(rows);
    if (!rows.contains(row_.key())) {
        storedReport_ = {};
    }
    for (const auto &[key, row] : rows) {
        onRowChanged(key, row.value, row.version);
    }
}

void CrashReporter::onRowChanged(const std::string &key, const std::string &value, std::uint64_t version)
{
    if (!key.starts_with(RowPrefix)) {
        return;
    }
    const auto report = CrashReport::fromText(value);
    if (!report.ok()) {
        log_.error("crash report unreadable", {{"row", key}, {"reason", std::string(report.status().message())}});
        return;
    }
    const TimePoint now = suspendAwareNow();
    const bool isOwn = key == row_.key();
    if (isOwn) {
        storedReport_ = *report;
        row_.onChanged(version);
    }
    const auto lifetime = std::chrono::duration_cast<std::chrono::seconds>(CrashEvidenceOptions{}.lifetime);
    const bool isLeftBehind = timeOfDay() - report->writtenAt > lifetime.count();
    if (isLeftBehind || (isOwn && row_.hasWritten())) {
        return;
    }
    if (isOwn) {
        evidence_.onOwnReport(*report, now);
    } else {
        evidence_.onReport(*report, now);
    }
    logBlockedParts();
}

void CrashReporter::logBlockedParts()
{
    std::set<std::string> blocked;
    for (const std::string &key : evidence_.blockedParts(suspendAwareNow())) {
        if (!blockedParts_.contains(key)) {
            log_.warning("prompt part blocked, since it crashes endpoints", {{"part", key}});
        }
        blocked.insert(key);
    }
    for (const std::string &key : blockedParts_) {
        if (!blocked.contains(key)) {
            log_.info("prompt part is no longer blocked", {{"part", key}});
        }
    }
    blockedParts_ = std::move(blocked);
}

void CrashReporter::tick(TimePoint now)
{
    evidence_.expire(now);
    logBlockedParts();
    const CrashReport report = evidence_.report();
    if (report.hasSameContent(storedReport_)) {
        changedSince_.reset();
        return;
    }
    if (!changedSince_) {
        changedSince_ = now;
    }
    // Other gateways are about to block a part that this one knows to be sound.
    const bool isUrgent
        = !std::includes(storedReport_.cleared.begin(), storedReport_.cleared.end(), report.cleared.begin(), report.cleared.end());
    if (isUrgent || now - *changedSince_ >= ReportDelay) {
        writeReport(report);
    }
}

void CrashReporter::writeReport(const CrashReport &report)
{
    const auto onDone = [this, parts = report.crashes.size(), cleared = report.cleared.size()](bool isCommitted) {
        log_.info("crash report written",
                  {{"suspected", std::to_string(parts)},
                   {"cleared", std::to_string(cleared)},
                   {"committed", isCommitted ? "yes" : "not for certain"}});
    };
    if (row_.write(report.toText(timeOfDay()), onDone)) {
        changedSince_.reset();
    }
}

}
