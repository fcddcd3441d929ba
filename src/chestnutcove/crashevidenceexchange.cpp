#include "crashevidenceexchange.h"

#include "suspendclock.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Chestnutcove {

namespace {

std::int64_t timeOfDay()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}

CrashEvidenceExchange::CrashEvidenceExchange(PlatformTable &table,
                                             const std::string &rowPrefix,
                                             const std::string &vm,
                                             std::string subject,
                                             CrashEvidenceOptions options,
                                             Milliseconds reportDelay,
                                             std::function<bool(const std::string &key)> isTrialGateway,
                                             const Log &log)
    : rowPrefix_(rowPrefix)
    , subject_(std::move(subject))
    , options_(options)
    , reportDelay_(reportDelay)
    , log_(log)
    , row_(table, rowPrefix + vm)
    , evidence_(options, std::move(isTrialGateway))
{
}

void CrashEvidenceExchange::onTableRead(const TableRows &rows)
{
    row_.onTableRead(rows);
    if (!rows.contains(row_.key())) {
        storedReport_ = {};
    }
    // What the others have to say to the reports is in the same rows, so that a gateway which has just started doesn't wait for it.
    for (const auto &[key, row] : rows) {
        mergeRow(key, row.value, row.version, options_.blockDelay);
    }
}

void CrashEvidenceExchange::onRowChanged(const std::string &key, const std::string &value, std::uint64_t version)
{
    mergeRow(key, value, version, Duration::zero());
}

void CrashEvidenceExchange::mergeRow(const std::string &key, const std::string &value, std::uint64_t version, Duration age)
{
    if (!key.starts_with(rowPrefix_)) {
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
    const auto lifetime = std::chrono::duration_cast<std::chrono::seconds>(options_.lifetime);
    const bool isLeftBehind = timeOfDay() - report->writtenAt > lifetime.count();
    if (isLeftBehind || (isOwn && row_.hasWritten())) {
        return;
    }
    if (isOwn) {
        evidence_.onOwnReport(*report, now, age);
    } else {
        evidence_.onReport(*report, now, age);
    }
    logBlocked();
}

void CrashEvidenceExchange::logBlocked()
{
    std::set<std::string> blocked;
    for (const std::string &key : evidence_.blockedParts(suspendAwareNow())) {
        if (!blocked_.contains(key)) {
            log_.warning("blocked, since it crashes endpoints", {{"subject", subject_}, {"key", key}});
        }
        blocked.insert(key);
    }
    for (const std::string &key : blocked_) {
        if (!blocked.contains(key)) {
            log_.info("no longer blocked", {{"subject", subject_}, {"key", key}});
        }
    }
    blocked_ = std::move(blocked);
}

void CrashEvidenceExchange::tick(TimePoint now)
{
    evidence_.expire(now);
    logBlocked();
    const CrashReport report = evidence_.report();
    if (report.hasSameContent(storedReport_)) {
        changedSince_.reset();
        return;
    }
    if (!changedSince_) {
        changedSince_ = now;
    }
    // Other gateways are about to block what this one knows to be sound.
    const bool isUrgent
        = !std::includes(storedReport_.cleared.begin(), storedReport_.cleared.end(), report.cleared.begin(), report.cleared.end());
    if (isUrgent || now - *changedSince_ >= reportDelay_) {
        writeReport(report);
    }
}

void CrashEvidenceExchange::writeReport(const CrashReport &report)
{
    const auto onDone = [this, suspected = report.crashes.size(), cleared = report.cleared.size()](bool isCommitted) {
        log_.info("crash report written",
                  {{"subject", subject_},
                   {"suspected", std::to_string(suspected)},
                   {"cleared", std::to_string(cleared)},
                   {"committed", isCommitted ? "yes" : "not for certain"}});
    };
    if (row_.write(report.toText(timeOfDay()), onDone)) {
        changedSince_.reset();
    }
}

}
