/**
 * Stores this gateway's usage figures and, while the gateway holds the reporter's lease, seals usage windows and reports them to the
 * platform.
 *
 * A window is sealed by one conditional write, so its figures never change afterwards. Only sealed windows are reported. Before a lease
 * holder reports a window, it writes an intent row with its epoch. A report may be repeated, always with the same figures.
 *
 * A store that comes back from an older copy may have forgotten seals and that windows were reported. Figures that this process has sent
 * stay the figures of their window. A lease holder that can't know what was reported, since the stored progress is of an earlier era,
 * begins with the first window that had not ended when it saw the new era: no other can have been sealed before.
 */
#pragma once

#include "dutylease.h"
#include "jsonfield.h"
#include "jsonusagesink.h"
#include "metrics.h"
#include "sealschedule.h"
#include "storeversion.h"
#include "suspendclock.h"
#include "usageledger.h"
#include "usagereport.h"
#include "wallclock.h"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace Chestnutcove {

struct UsageOptions
{
    std::string vmName;
    Milliseconds window{60000};
    /** Time between two writes of changed figures. */
    Milliseconds flushInterval{2000};
    /** Time between two writes while figures of a window that has ended are not stored. */
    Milliseconds closedFlushInterval{400};
    SealSchedule sealSchedule;
    LateUsagePolicy lateUsagePolicy = LateUsagePolicy::MoveToOpenWindow;
    /** Time after which the outcome of a write counts as unknown. */
    Milliseconds writeTimeout{6000};
    Milliseconds reportTimeout{1000};
};

/** Keys of the rows in which the gateways share their usage figures. */
namespace UsageRows {

inline constexpr const char *ProgressKey = "usage/progress";
/** Stored figures of reported windows are kept for this many windows, for gateways that could not reach the store. */
inline constexpr WindowNumber RetainedWindows = 120;
/** Number of past windows whose figures are stored again after the store came back from an older copy. */
inline constexpr WindowNumber RestoredWindows = 4;
/** Number of past windows that are processed if no window was ever reported. */
inline constexpr WindowNumber InitialLookBackWindows = 3;

inline std::string windowPrefix(WindowNumber window)
{
    return absl::StrFormat("usage/window/%012d/", window);
}

inline std::string sealedKey(WindowNumber window)
{
    return absl::StrFormat("usage/sealed/%012d", window);
}

inline std::string intentKey(WindowNumber window)
{
    return absl::StrFormat("usage/intent/%012d", window);
}

/** Each flush of any gateway changes this row, and a seal is conditional on it, so that a seal can't miss a flush. */
inline std::string flushMarkerKey(WindowNumber window)
{
    return absl::StrFormat("usage/touch/%012d", window);
}

inline std::uint64_t versionOf(const TableRows &rows, const std::string &key)
{
    const auto it = rows.find(key);
    return it == rows.end() ? 0 : it->second.version;
}

}

template<TableService Table, UsageSink Sink>
class BasicUsageReporter
{
public:
    /** Whether all gateways that may have figures of a window have stored them. */
    using AllStoredCheck = std::function<bool(WindowNumber)>;

    BasicUsageReporter(
        asio::any_io_executor executor,
        Table &table,
        Sink &sink,
        const BasicDutyLease<Table> &lease,
        UsageOptions options,
        std::uint64_t incarnation,
        Metrics &metrics,
        const Log &log,
        AllStoredCheck allStored = [](WindowNumber) { return true; });

    void add(const std::string &customer, const UsageFigures &figures);
    /** Stores figures that are due, and performs the reporter's duty while this gateway holds its lease. */
    void tick(TimePoint now);
    /** @param interval time between two writes of changed figures. */
    void setFlushInterval(Milliseconds interval);
    /** Stores the remaining figures at once, for a planned stop. */
    void flushNow();
    bool isFlushed() const;
    /** The last window up to which all figures of this gateway are stored and no more will be added. */
    WindowNumber storedThrough() const;
    nlohmann::json dump() const;

private:
    enum class State {
        Idle,
        Busy,
    };

    WindowNumber currentWindow() const;
    /** Whether the store has come back from an older copy in the lifetime of the fleet. */
    bool isInLaterEra() const;
    void noteEra(TimePoint now);
    /** The last window that was reported, or that may have been. @param progress the stored one, of any era. */
    WindowNumber lastReportedBy(const nlohmann::json &progress) const;
    bool hasUnstoredClosedWindow() const;
    bool isSealDue(WindowNumber window) const;
    void flush();
    void onFlushConflict(const UsageFlush &flush);
    void processNextWindow();
    void sealWindow(WindowNumber window);
    void writeSeal(WindowNumber window, const TableRows &rows);
    void reportWindow(WindowNumber window);
    void writeIntent(WindowNumber window, const std::string &figures, const TableRows &rows);
    void sendReport(WindowNumber window, const std::string &figures);
    void onWindowReported(WindowNumber window);
    void deleteWindowRows(WindowNumber window);
    std::string newAttemptId();
    std::string gatewayRowKey(WindowNumber window) const;

    Table &table_;
    Sink &sink_;
    UsageOptions options_;
    std::uint64_t incarnation_;
    const BasicDutyLease<Table> &lease_;
    Metrics &metrics_;
    const Log &log_;
    TableWriter<Table> writer_;
    UsageLedger ledger_;
    std::mt19937_64 random_;
    WallClock clock_;
    AllStoredCheck allStored_;
    TimePoint nextFlushAt_;
    /** The current window as of the last tick. */
    WindowNumber windowAtLastTick_ = 0;
    /** The lease epoch for which lastReported_ was read. */
    std::uint64_t progressEpoch_ = 0;
    /** The last reported window; all windows before it are done. */
    std::optional<WindowNumber> lastReported_;
    /** Figures that this process has sent for windows. */
    std::map<WindowNumber, std::string> sentFigures_;
    /** The store's era (see StoreVersion), when it was first seen, and the window that was current then. */
    std::uint64_t era_ = 0;
    TimePoint eraSeenAt_{};
    WindowNumber firstWindowOfEra_ = 0;
    State state_ = State::Idle;
};

template<TableService Table, UsageSink Sink>
BasicUsageReporter<Table, Sink>::BasicUsageReporter(asio::any_io_executor executor,
                                                    Table &table,
                                                    Sink &sink,
                                                    const BasicDutyLease<Table> &lease,
                                                    UsageOptions options,
                                                    std::uint64_t incarnation,
                                                    Metrics &metrics,
                                                    const Log &log,
                                                    AllStoredCheck allStored)
    : table_(table)
    , sink_(sink)
    , options_(std::move(options))
    , incarnation_(incarnation)
    , lease_(lease)
    , metrics_(metrics)
    , log_(log)
    , writer_(std::move(executor), table, options_.writeTimeout)
    , ledger_(options_.lateUsagePolicy)
    , random_(incarnation + 1)
    , clock_(std::chrono::system_clock::now(), suspendAwareNow())
    , allStored_(std::move(allStored))
{
}

template<TableService Table, UsageSink Sink>
WindowNumber BasicUsageReporter<Table, Sink>::currentWindow() const
{
    const auto now = std::chrono::duration_cast<Milliseconds>(clock_.at(suspendAwareNow()).time_since_epoch());
    return static_cast<WindowNumber>(now / options_.window);
}

template<TableService Table, UsageSink Sink>
std::string BasicUsageReporter<Table, Sink>::newAttemptId()
{
    return absl::StrFormat("%016x", random_());
}

template<TableService Table, UsageSink Sink>
std::string BasicUsageReporter<Table, Sink>::gatewayRowKey(WindowNumber window) const
{
    return UsageRows::windowPrefix(window) + options_.vmName + "-" + std::to_string(incarnation_);
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::add(const std::string &customer, const UsageFigures &figures)
{
    ledger_.add(currentWindow(), customer, figures);
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::setFlushInterval(Milliseconds interval)
{
    options_.flushInterval = interval;
}

template<TableService Table, UsageSink Sink>
bool BasicUsageReporter<Table, Sink>::isFlushed() const
{
    return ledger_.isFlushed();
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::tick(TimePoint now)
{
    clock_.observe(std::chrono::system_clock::now(), now);
    noteEra(now);
    const WindowNumber current = currentWindow();
    const bool hasWindowEnded = std::exchange(windowAtLastTick_, current) != current;
    if (hasWindowEnded || now >= nextFlushAt_) {
        nextFlushAt_ = now + (hasUnstoredClosedWindow() ? options_.closedFlushInterval : options_.flushInterval);
        flush();
        ledger_.dropStoredBefore(currentWindow() > UsageRows::RetainedWindows ? currentWindow() - UsageRows::RetainedWindows : 0);
    }
    if (state_ == State::Idle && lease_.keeper().mayAct(now)) {
        processNextWindow();
    }
}

template<TableService Table, UsageSink Sink>
bool BasicUsageReporter<Table, Sink>::isInLaterEra() const
{
    return era_ > StoreVersion::FirstEra;
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::noteEra(TimePoint now)
{
    const std::uint64_t era = table_.era();
    if (era <= era_) {
        return;
    }
    const bool isFirstSeen = std::exchange(era_, era) == 0;
    eraSeenAt_ = now;
    firstWindowOfEra_ = currentWindow();
    if (!isFirstSeen) {
        ledger_.onStoreRestored(firstWindowOfEra_ - std::min(firstWindowOfEra_, UsageRows::RestoredWindows));
    }
}

template<TableService Table, UsageSink Sink>
WindowNumber BasicUsageReporter<Table, Sink>::lastReportedBy(const nlohmann::json &progress) const
{
    const bool isKnown = progress.is_object();
    const WindowNumber stored
        = isKnown ? fieldOr(progress, "reported", WindowNumber{0}) : currentWindow() - UsageRows::InitialLookBackWindows;
    const bool isOfThisEra = isKnown && fieldOr(progress, "era", std::uint64_t{0}) == era_;
    if (!isInLaterEra() || isOfThisEra) {
        return stored;
    }
    return std::max({stored, firstWindowOfEra_ - 1, lastReported_.value_or(0)});
}

template<TableService Table, UsageSink Sink>
bool BasicUsageReporter<Table, Sink>::hasUnstoredClosedWindow() const
{
    const auto oldest = ledger_.oldestUnstored();
    return oldest && *oldest < currentWindow();
}

template<TableService Table, UsageSink Sink>
WindowNumber BasicUsageReporter<Table, Sink>::storedThrough() const
{
    return std::min(currentWindow(), ledger_.oldestUnstored().value_or(currentWindow())) - 1;
}

template<TableService Table, UsageSink Sink>
bool BasicUsageReporter<Table, Sink>::isSealDue(WindowNumber window) const
{
    const auto end = (window + 1) * options_.window;
    // Gateways store the figures again that the store has forgotten; until then what they say of stored figures is out of date.
    const bool isRestoring = isInLaterEra() && suspendAwareNow() - eraSeenAt_ < 2 * options_.flushInterval;
    return options_.sealSchedule.isDue(clock_.at(suspendAwareNow()).time_since_epoch() - end, !isRestoring && allStored_(window));
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::flushNow()
{
    flush();
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::flush()
{
    const auto flush = ledger_.nextFlush();
    if (!flush) {
        return;
    }
    TableWrite write;
    write.attemptId = newAttemptId();
    write.markerKey = gatewayRowKey(flush->window);
    write.transaction.conditions = {{UsageRows::sealedKey(flush->window), 0}};
    write.transaction.puts
        = {{write.markerKey, usageToText(flush->figures, write.attemptId)}, {UsageRows::flushMarkerKey(flush->window), write.attemptId}};
    writer_.write(std::move(write), [this, flush = *flush](CommitOutcome outcome) {
        switch (outcome) {
        case CommitOutcome::Committed:
            ledger_.onFlushed();
            if (hasUnstoredClosedWindow()) {
                this->flush();
            }
            break;
        case CommitOutcome::Conflict:
            onFlushConflict(flush);
            break;
        case CommitOutcome::NotSent:
        case CommitOutcome::Unknown:
            ledger_.onFlushOutcomeUnknown();
            break;
        }
    });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::onFlushConflict(const UsageFlush &flush)
{
    const std::string rowKey = gatewayRowKey(flush.window);
    table_.get({UsageRows::sealedKey(flush.window), rowKey}, [this, rowKey, window = flush.window](const absl::StatusOr<TableRows> &rows) {
        if (!rows.ok() || UsageRows::versionOf(*rows, UsageRows::sealedKey(window)) == 0) {
            ledger_.onFlushOutcomeUnknown();
            return;
        }
        const auto ownRow = rows->find(rowKey);
        const auto stored = ownRow == rows->end() ? absl::StatusOr<CustomerUsage>(CustomerUsage{}) : usageFromText(ownRow->second.value);
        if (!stored.ok()) {
            log_.error("usage row unreadable", {{"row", rowKey}});
            ledger_.onFlushOutcomeUnknown();
            return;
        }
        metrics_.counter("usage_late_total").add();
        for (const auto &[customer, figures] : ledger_.onWindowSealed(currentWindow(), *stored)) {
            log_.warning("usage figures too late",
                         {{"window", std::to_string(window)},
                          {"customer", customer},
                          {"requests", std::to_string(figures.requests)},
                          {"givenUp", options_.lateUsagePolicy == LateUsagePolicy::Drop ? "yes" : "no"}});
        }
    });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::processNextWindow()
{
    state_ = State::Busy;
    const std::uint64_t epoch = lease_.keeper().epoch();
    if (lastReported_ && progressEpoch_ == epoch) {
        const WindowNumber next = *lastReported_ + 1;
        if (isSealDue(next)) {
            sealWindow(next);
        } else {
            state_ = State::Idle;
        }
        return;
    }
    table_.get({UsageRows::ProgressKey}, [this, epoch](const absl::StatusOr<TableRows> &rows) {
        state_ = State::Idle;
        if (!rows.ok()) {
            return;
        }
        const auto it = rows->find(UsageRows::ProgressKey);
        const auto json = it == rows->end() ? nlohmann::json() : nlohmann::json::parse(it->second.value, nullptr, false);
        progressEpoch_ = epoch;
        lastReported_ = lastReportedBy(json);
    });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::sealWindow(WindowNumber window)
{
    table_.get(
        {UsageRows::sealedKey(window), UsageRows::flushMarkerKey(window)}, [this, window](const absl::StatusOr<TableRows> &markerRows) {
            if (!markerRows.ok()) {
                state_ = State::Idle;
                return;
            }
            if (UsageRows::versionOf(*markerRows, UsageRows::sealedKey(window)) > 0) {
                reportWindow(window);
                return;
            }
            table_.list(UsageRows::windowPrefix(window), [this, window, markerRows = *markerRows](const absl::StatusOr<TableRows> &rows) {
                if (!rows.ok()) {
                    state_ = State::Idle;
                    return;
                }
                TableRows allRows = *rows;
                allRows.insert(markerRows.begin(), markerRows.end());
                writeSeal(window, allRows);
            });
        });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::writeSeal(WindowNumber window, const TableRows &rows)
{
    CustomerUsage total;
    const auto sent = sentFigures_.find(window);
    if (sent != sentFigures_.end()) {
        total = usageFromText(sent->second).value_or(CustomerUsage{});
    }
    for (const auto &[key, row] : rows) {
        if (sent != sentFigures_.end() || !key.starts_with(UsageRows::windowPrefix(window))) {
            continue;
        }
        const auto usage = usageFromText(row.value);
        if (!usage.ok()) {
            log_.error("usage row unreadable; the window is not sealed", {{"row", key}});
            state_ = State::Idle;
            return;
        }
        addUsage(total, *usage);
    }
    TableWrite write;
    write.attemptId = newAttemptId();
    write.markerKey = UsageRows::sealedKey(window);
    write.transaction.conditions
        = {{write.markerKey, 0}, {UsageRows::flushMarkerKey(window), UsageRows::versionOf(rows, UsageRows::flushMarkerKey(window))}};
    write.transaction.puts = {{write.markerKey, usageToText(total, write.attemptId)}};
    writer_.write(std::move(write), [this, window](CommitOutcome outcome) {
        if (outcome == CommitOutcome::Committed) {
            reportWindow(window);
        } else {
            state_ = State::Idle;
        }
    });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::reportWindow(WindowNumber window)
{
    // Read one by one: the service returns all rows between two keys, here the seals of all windows.
    table_.get({UsageRows::sealedKey(window)}, [this, window](const absl::StatusOr<TableRows> &rows) {
        const bool isSealed = rows.ok() && rows->contains(UsageRows::sealedKey(window));
        if (!isSealed) {
            state_ = State::Idle;
            return;
        }
        const auto usage = usageFromText(rows->at(UsageRows::sealedKey(window)).value);
        if (!usage.ok()) {
            log_.error("sealed usage unreadable", {{"window", std::to_string(window)}});
            state_ = State::Idle;
            return;
        }
        table_.get({UsageRows::intentKey(window)}, [this, window, figures = usageToText(*usage, "")](const auto &intentRows) {
            if (!intentRows.ok()) {
                state_ = State::Idle;
                return;
            }
            writeIntent(window, figures, *intentRows);
        });
    });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::writeIntent(WindowNumber window, const std::string &figures, const TableRows &rows)
{
    const std::uint64_t epoch = lease_.keeper().epoch();
    const auto it = rows.find(UsageRows::intentKey(window));
    const auto json = it == rows.end() ? nlohmann::json() : nlohmann::json::parse(it->second.value, nullptr, false);
    const std::uint64_t intentEpoch = json.is_object() ? fieldOr(json, "epoch", std::uint64_t{0}) : 0;
    if (intentEpoch > epoch) {
        state_ = State::Idle;
        return;
    }
    if (intentEpoch == epoch) {
        sendReport(window, figures);
        return;
    }
    TableWrite write;
    write.attemptId = newAttemptId();
    write.markerKey = UsageRows::intentKey(window);
    write.transaction.conditions = {{write.markerKey, UsageRows::versionOf(rows, write.markerKey)}};
    write.transaction.puts = {{write.markerKey, nlohmann::json{{"epoch", epoch}, {"attempt", write.attemptId}}.dump()}};
    writer_.write(std::move(write), [this, window, figures](CommitOutcome outcome) {
        if (outcome == CommitOutcome::Committed) {
            sendReport(window, figures);
        } else {
            state_ = State::Idle;
        }
    });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::sendReport(WindowNumber window, const std::string &figures)
{
    const auto now = suspendAwareNow();
    const auto leaseTimeLeft = std::chrono::duration_cast<Milliseconds>(lease_.keeper().validUntil() - now);
    if (!lease_.keeper().mayAct(now) || leaseTimeLeft <= Milliseconds::zero()) {
        state_ = State::Idle;
        return;
    }
    const std::string &sent = sentFigures_.try_emplace(window, figures).first->second;
    const auto customers = usageFromText(sent);
    const UsageReport report{window, options_.window, options_.vmName, lease_.keeper().epoch(), customers.value_or(CustomerUsage{})};
    sink_.report(report, std::min(options_.reportTimeout, leaseTimeLeft), [this, window](bool accepted) {
        if (accepted) {
            onWindowReported(window);
        } else {
            // A later tick sends the same figures again.
            log_.warning("usage report not accepted; it will be repeated", {{"window", std::to_string(window)}});
            state_ = State::Idle;
        }
    });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::onWindowReported(WindowNumber window)
{
    const auto end = (window + 1) * options_.window;
    const auto delay = clock_.at(suspendAwareNow()).time_since_epoch() - end;
    metrics_.distribution("usage_report_delay_seconds").add(std::chrono::duration<double>(delay).count());
    log_.info("usage window reported", {{"window", std::to_string(window)}, {"epoch", std::to_string(lease_.keeper().epoch())}});
    TableTransaction transaction;
    transaction.puts = {{UsageRows::ProgressKey, nlohmann::json{{"reported", window}, {"era", era_}}.dump()}};
    table_.commit(transaction, [this, window](CommitOutcome) {
        // If the progress row was not written, a later lease holder reports the same figures again.
        lastReported_ = window;
        state_ = State::Idle;
        if (window > UsageRows::RetainedWindows) {
            sentFigures_.erase(sentFigures_.begin(), sentFigures_.lower_bound(window - UsageRows::RetainedWindows));
            deleteWindowRows(window - UsageRows::RetainedWindows);
        }
    });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::deleteWindowRows(WindowNumber window)
{
    table_.list(UsageRows::windowPrefix(window), [this, window](const absl::StatusOr<TableRows> &rows) {
        if (!rows.ok()) {
            return;
        }
        TableTransaction transaction;
        transaction.puts = {{UsageRows::flushMarkerKey(window), std::nullopt}, {UsageRows::intentKey(window), std::nullopt}};
        for (const auto &[key, row] : *rows) {
            transaction.puts.push_back({key, std::nullopt});
        }
        table_.commit(transaction, [](CommitOutcome) {});
    });
}

template<TableService Table, UsageSink Sink>
nlohmann::json BasicUsageReporter<Table, Sink>::dump() const
{
    nlohmann::json unstored = nlohmann::json::object();
    for (const auto &[customer, figures] : ledger_.unstored()) {
        unstored[customer] = {{"requests", figures.requests}, {"outputTokens", figures.outputTokens}};
    }
    return {{"currentWindow", currentWindow()},
            {"lastReported", lastReported_ ? nlohmann::json(*lastReported_) : nlohmann::json()},
            {"unstored", unstored}};
}

using UsageReporter = BasicUsageReporter<HttpTable, JsonUsageSink>;

}
