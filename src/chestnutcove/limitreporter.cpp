#include "limitreporter.h"

#include "suspendclock.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr std::string_view RowPrefix = "limits/";
/** Time that a gateway leaves to each gateway before it to report a change; longer than a report takes to reach it. */
constexpr Milliseconds RankDelay{200};
constexpr std::size_t MaxRank = 5;
constexpr Milliseconds MinWriteInterval{500};
/** Reports that are older are of no use: the run has named the limit once and may have been restarted since. */
constexpr std::chrono::minutes MaxReportAge{10};
constexpr std::size_t MaxReportedRuns = 64;

}

LimitReporter::LimitReporter(
    PlatformTable &table, const std::string &vm, EndpointAdmission &endpoints, const RemoteClock &clock, RankReader rankOf, const Log &log)
    : endpoints_(endpoints)
    , clock_(clock)
    , rankOf_(std::move(rankOf))
    , log_(log)
    , row_(table, std::string(RowPrefix) + vm)
{
}

void LimitReporter::onTableRead(const TableRows &rows)
{
    row_.onTableRead(rows);
    for (const auto &[key, row] : rows) {
        onRowChanged(key, row.value, row.version);
    }
}

void LimitReporter::onRowChanged(const std::string &key, const std::string &value, std::uint64_t version)
{
    if (!key.starts_with(RowPrefix)) {
        return;
    }
    if (key == row_.key()) {
        row_.onChanged(version);
    }
    const auto report = LimitReport::fromText(value);
    if (!report.ok()) {
        log_.error("report of limits unreadable", {{"row", key}, {"reason", std::string(report.status().message())}});
        return;
    }
    const TimePoint now = suspendAwareNow();
    for (const auto &[run, limit] : report->limits) {
        const auto seenAt = clock_.localTime(limit.seenAt);
        if (!seenAt || now - *seenAt >= MaxReportAge) {
            continue;
        }
        const auto [it, isNew] = reported_.emplace(run, limit);
        if (!isNew && it->second.seenAt < limit.seenAt) {
            it->second = limit;
        }
        if (key != row_.key()) {
            endpoints_.onReported(run, {limit.perSecond, std::min(*seenAt, now)}, key);
        }
    }
}

bool LimitReporter::isUnreported(const std::string &run, const EndpointLimits::Observation &newest) const
{
    const auto it = reported_.find(run);
    return newest.perSecond != (it == reported_.end() ? std::nullopt : it->second.perSecond);
}

bool LimitReporter::isReportDue(TimePoint now)
{
    bool isDue = false;
    const auto limits = endpoints_.recentLimits(now);
    std::erase_if(reported_, [&](const auto &item) { return !limits.contains(item.first); });
    std::erase_if(unreportedSince_, [&](const auto &item) { return !limits.contains(item.first); });
    for (const auto &[run, newest] : limits) {
        if (!isUnreported(run, newest)) {
            unreportedSince_.erase(run);
            continue;
        }
        const auto since = unreportedSince_.try_emplace(run, now).first->second;
        const auto delay = RankDelay * static_cast<int>(std::min(rankOf_(run), MaxRank));
        isDue = isDue || now - since >= delay;
    }
    return isDue;
}

void LimitReporter::tick(TimePoint now)
{
    if (isReportDue(now) && now >= nextWriteAt_) {
        writeReport(now);
    }
}

void LimitReporter::writeReport(TimePoint now)
{
    LimitReport report;
    for (const auto &[run, newest] : endpoints_.recentLimits(now)) {
        const auto seenAt = clock_.remoteTime(newest.seenAt);
        if (seenAt && report.limits.size() < MaxReportedRuns) {
            report.limits[run] = {newest.perSecond, *seenAt};
        }
    }
    const auto onDone = [this, limits = report.limits.size()](bool isCommitted) {
        log_.info("limits of endpoints reported",
                  {{"limits", std::to_string(limits)}, {"committed", isCommitted ? "yes" : "not for certain"}});
    };
    if (row_.write(report.toText(), onDone)) {
        nextWriteAt_ = now + MinWriteInterval;
    }
}

}
