/**
 * Stores this gateway's usage figures, and, while it holds the reporter's lease, seals windows and reports them to the platform.
 *
 * A window is sealed by one conditional write, so its figures never change. Reports are made only from sealed windows, after an intent row
 * that names the holder's epoch, and may be repeated with the same figures.
 */
#pragma once

#include "dutylease.h"
#include "jsonusagesink.h"
#include "metrics.h"
#include "sealschedule.h"
#include "suspendclock.h"
#include "usageledger.h"
#include "usagereport.h"
#include "wallclock.h"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace Chestnutcove {

struct UsageOptions
{
    std::string vmName;
    Milliseconds window{60000};
    /** How often changed figures are stored. */
    Milliseconds flushInterval{2000};
    /** Time between two attempts to store the figures of a window that is over. */
    Milliseconds closedFlushInterval{400};
    SealSchedule seal;
    LateFigures lateFigures = LateFigures::MoveToOpenWindow;
    /** Time after which the outcome of a write is given up. */
    Milliseconds writeTimeout{6000};
    Milliseconds reportTimeout{1000};
};

/** Keys of the rows that gateways share for usage. */
namespace UsageRows {

inline constexpr const char *ProgressKey = "usage/progress";
/** Stored figures of reported windows are kept for so many windows, for gateways that were cut off. */
inline constexpr WindowNumber KeptWindows = 120;
/** After the first start, windows older than this are not looked at. */
inline constexpr WindowNumber FirstLookBack = 3;

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

/** Changes with each flush of any gateway, so that a seal can't miss one. */
inline std::string touchKey(WindowNumber window)
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
    using StoredCheck = std::function<bool(WindowNumber)>;

    BasicUsageReporter(
        asio::any_io_executor executor,
        Table &table,
        Sink &sink,
        const BasicDutyLease<Table> &lease,
        UsageOptions options,
        std::uint64_t incarnation,
        Metrics &metrics,
        const Log &log,
        StoredCheck allStored = [](WindowNumber) { return true; });

    void add(const std::string &customer, const UsageFigures &figures);
    /** Stores figures where they are due and carries on with the reporter's duty. */
    void tick(TimePoint now);
    /** Stores what is left at once, for a planned stop. */
    void flushNow();
    bool isFlushed() const;
    /** All figures of this gateway up to this window are stored, and no more will come. */
    WindowNumber storedThrough() const;
    nlohmann::json dump() const;

private:
    enum class Step {
        Idle,
        Busy,
    };

    WindowNumber currentWindow() const;
    bool hasClosedFigures() const;
    bool isSealDue(WindowNumber window) const;
    void flush();
    void onFlushConflict(const UsageFlush &flush);
    void workOnWindow();
    void seal(WindowNumber window);
    void writeSeal(WindowNumber window, const TableRows &rows);
    void report(WindowNumber window);
    void intend(WindowNumber window, const std::string &figures, const TableRows &rows);
    void send(WindowNumber window, const std::string &figures);
    void reported(WindowNumber window);
    void cleanUp(WindowNumber window);
    std::string newAttempt();
    std::string gatewayRow(WindowNumber window) const;

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
    StoredCheck allStored_;
    TimePoint nextFlush_;
    /** The current window at the last tick. */
    WindowNumber lastWindow_ = 0;
    /** The epoch for which progress_ was read. */
    std::uint64_t progressEpoch_ = 0;
    /** The last window that was reported; nothing before it is left to do. */
    std::optional<WindowNumber> progress_;
    Step step_ = Step::Idle;
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
                                                    StoredCheck allStored)
    : table_(table)
    , sink_(sink)
    , options_(std::move(options))
    , incarnation_(incarnation)
    , lease_(lease)
    , metrics_(metrics)
    , log_(log)
    , writer_(std::move(executor), table, options_.writeTimeout)
    , ledger_(options_.lateFigures)
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
std::string BasicUsageReporter<Table, Sink>::newAttempt()
{
    return absl::StrFormat("%016x", random_());
}

template<TableService Table, UsageSink Sink>
std::string BasicUsageReporter<Table, Sink>::gatewayRow(WindowNumber window) const
{
    return UsageRows::windowPrefix(window) + options_.vmName + "-" + std::to_string(incarnation_);
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::add(const std::string &customer, const UsageFigures &figures)
{
    ledger_.add(currentWindow(), customer, figures);
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
    const WindowNumber current = currentWindow();
    const bool windowEnded = std::exchange(lastWindow_, current) != current;
    if (windowEnded || now >= nextFlush_) {
        nextFlush_ = now + (hasClosedFigures() ? options_.closedFlushInterval : options_.flushInterval);
        flush();
        ledger_.forgetBefore(currentWindow() > UsageRows::KeptWindows ? currentWindow() - UsageRows::KeptWindows : 0);
    }
    if (step_ == Step::Idle && lease_.keeper().mayAct(now)) {
        workOnWindow();
    }
}

template<TableService Table, UsageSink Sink>
bool BasicUsageReporter<Table, Sink>::hasClosedFigures() const
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
    return options_.seal.isDue(clock_.at(suspendAwareNow()).time_since_epoch() - end, allStored_(window));
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
    write.attemptId = newAttempt();
    write.markerKey = gatewayRow(flush->window);
    write.transaction.conditions = {{UsageRows::sealedKey(flush->window), 0}};
    write.transaction.puts
        = {{write.markerKey, usageToText(flush->figures, write.attemptId)}, {UsageRows::touchKey(flush->window), write.attemptId}};
    writer_.write(std::move(write), [this, flush = *flush](CommitOutcome outcome) {
        switch (outcome) {
        case CommitOutcome::Committed:
            ledger_.flushed();
            if (hasClosedFigures()) {
                this->flush();
            }
            break;
        case CommitOutcome::Conflict:
            onFlushConflict(flush);
            break;
        case CommitOutcome::NotSent:
        case CommitOutcome::Unknown:
            ledger_.flushUnknown();
            break;
        }
    });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::onFlushConflict(const UsageFlush &flush)
{
    const std::string row = gatewayRow(flush.window);
    table_.get({UsageRows::sealedKey(flush.window), row}, [this, row, window = flush.window](const absl::StatusOr<TableRows> &rows) {
        if (!rows.ok() || UsageRows::versionOf(*rows, UsageRows::sealedKey(window)) == 0) {
            ledger_.flushUnknown();
            return;
        }
        const auto own = rows->find(row);
        const auto stored = own == rows->end() ? absl::StatusOr<CustomerUsage>(CustomerUsage{}) : usageFromText(own->second.value);
        if (!stored.ok()) {
            log_.error("usage row unreadable", {{"row", row}});
            ledger_.flushUnknown();
            return;
        }
        metrics_.counter("usage_late_total").add();
        for (const auto &[customer, figures] : ledger_.sealed(currentWindow(), *stored)) {
            log_.warning("usage figures too late",
                         {{"window", std::to_string(window)},
                          {"customer", customer},
                          {"requests", std::to_string(figures.requests)},
                          {"givenUp", options_.lateFigures == LateFigures::GiveUp ? "yes" : "no"}});
        }
    });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::workOnWindow()
{
    step_ = Step::Busy;
    const std::uint64_t epoch = lease_.keeper().epoch();
    if (progress_ && progressEpoch_ == epoch) {
        const WindowNumber next = *progress_ + 1;
        if (isSealDue(next)) {
            seal(next);
        } else {
            step_ = Step::Idle;
        }
        return;
    }
    table_.get({UsageRows::ProgressKey}, [this, epoch](const absl::StatusOr<TableRows> &rows) {
        step_ = Step::Idle;
        if (!rows.ok()) {
            return;
        }
        const auto it = rows->find(UsageRows::ProgressKey);
        const auto json = it == rows->end() ? nlohmann::json() : nlohmann::json::parse(it->second.value, nullptr, false);
        progressEpoch_ = epoch;
        progress_ = json.is_object() ? json.value("reported", std::uint64_t{0}) : currentWindow() - UsageRows::FirstLookBack;
    });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::seal(WindowNumber window)
{
    table_.get({UsageRows::sealedKey(window), UsageRows::touchKey(window)}, [this, window](const absl::StatusOr<TableRows> &heads) {
        if (!heads.ok()) {
            step_ = Step::Idle;
            return;
        }
        if (UsageRows::versionOf(*heads, UsageRows::sealedKey(window)) > 0) {
            report(window);
            return;
        }
        table_.list(UsageRows::windowPrefix(window), [this, window, heads = *heads](const absl::StatusOr<TableRows> &rows) {
            if (!rows.ok()) {
                step_ = Step::Idle;
                return;
            }
            TableRows all = *rows;
            all.insert(heads.begin(), heads.end());
            writeSeal(window, all);
        });
    });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::writeSeal(WindowNumber window, const TableRows &rows)
{
    CustomerUsage total;
    for (const auto &[key, row] : rows) {
        if (!key.starts_with(UsageRows::windowPrefix(window))) {
            continue;
        }
        const auto usage = usageFromText(row.value);
        if (!usage.ok()) {
            log_.error("usage row unreadable; the window is not sealed", {{"row", key}});
            step_ = Step::Idle;
            return;
        }
        addUsage(total, *usage);
    }
    TableWrite write;
    write.attemptId = newAttempt();
    write.markerKey = UsageRows::sealedKey(window);
    write.transaction.conditions
        = {{write.markerKey, 0}, {UsageRows::touchKey(window), UsageRows::versionOf(rows, UsageRows::touchKey(window))}};
    write.transaction.puts = {{write.markerKey, usageToText(total, write.attemptId)}};
    writer_.write(std::move(write), [this, window](CommitOutcome outcome) {
        if (outcome == CommitOutcome::Committed) {
            report(window);
        } else {
            step_ = Step::Idle;
        }
    });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::report(WindowNumber window)
{
    table_.get({UsageRows::sealedKey(window), UsageRows::intentKey(window)}, [this, window](const absl::StatusOr<TableRows> &rows) {
        const bool sealed = rows.ok() && rows->contains(UsageRows::sealedKey(window));
        if (!sealed) {
            step_ = Step::Idle;
            return;
        }
        const auto usage = usageFromText(rows->at(UsageRows::sealedKey(window)).value);
        if (!usage.ok()) {
            log_.error("sealed usage unreadable", {{"window", std::to_string(window)}});
            step_ = Step::Idle;
            return;
        }
        intend(window, usageToText(*usage, ""), *rows);
    });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::intend(WindowNumber window, const std::string &figures, const TableRows &rows)
{
    const std::uint64_t epoch = lease_.keeper().epoch();
    const auto it = rows.find(UsageRows::intentKey(window));
    const auto json = it == rows.end() ? nlohmann::json() : nlohmann::json::parse(it->second.value, nullptr, false);
    const std::uint64_t intended = json.is_object() ? json.value("epoch", std::uint64_t{0}) : 0;
    if (intended > epoch) {
        step_ = Step::Idle;
        return;
    }
    if (intended == epoch) {
        send(window, figures);
        return;
    }
    TableWrite write;
    write.attemptId = newAttempt();
    write.markerKey = UsageRows::intentKey(window);
    write.transaction.conditions = {{write.markerKey, UsageRows::versionOf(rows, write.markerKey)}};
    write.transaction.puts = {{write.markerKey, nlohmann::json{{"epoch", epoch}, {"attempt", write.attemptId}}.dump()}};
    writer_.write(std::move(write), [this, window, figures](CommitOutcome outcome) {
        if (outcome == CommitOutcome::Committed) {
            send(window, figures);
        } else {
            step_ = Step::Idle;
        }
    });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::send(WindowNumber window, const std::string &figures)
{
    const auto now = suspendAwareNow();
    const auto left = std::chrono::duration_cast<Milliseconds>(lease_.keeper().validUntil() - now);
    if (!lease_.keeper().mayAct(now) || left <= Milliseconds::zero()) {
        step_ = Step::Idle;
        return;
    }
    const auto customers = usageFromText(figures);
    const UsageReport report{window, options_.window, options_.vmName, lease_.keeper().epoch(), customers.value_or(CustomerUsage{})};
    sink_.report(report, std::min(options_.reportTimeout, left), [this, window](bool accepted) {
        if (accepted) {
            reported(window);
        } else {
            // The same figures are sent again.
            log_.warning("usage report got no answer", {{"window", std::to_string(window)}});
            step_ = Step::Idle;
        }
    });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::reported(WindowNumber window)
{
    const auto end = (window + 1) * options_.window;
    const auto late = clock_.at(suspendAwareNow()).time_since_epoch() - end;
    metrics_.distribution("usage_report_delay_seconds").add(std::chrono::duration<double>(late).count());
    log_.info("usage window reported", {{"window", std::to_string(window)}, {"epoch", std::to_string(lease_.keeper().epoch())}});
    TableTransaction transaction;
    transaction.puts = {{UsageRows::ProgressKey, nlohmann::json{{"reported", window}}.dump()}};
    table_.commit(transaction, [this, window](CommitOutcome) {
        // Where the row was not written, a later holder reports the same figures again.
        progress_ = window;
        step_ = Step::Idle;
        if (window > UsageRows::KeptWindows) {
            cleanUp(window - UsageRows::KeptWindows);
        }
    });
}

template<TableService Table, UsageSink Sink>
void BasicUsageReporter<Table, Sink>::cleanUp(WindowNumber window)
{
    table_.list(UsageRows::windowPrefix(window), [this, window](const absl::StatusOr<TableRows> &rows) {
        if (!rows.ok()) {
            return;
        }
        TableTransaction transaction;
        transaction.puts = {{UsageRows::touchKey(window), std::nullopt}, {UsageRows::intentKey(window), std::nullopt}};
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
            {"lastReported", progress_ ? nlohmann::json(*progress_) : nlohmann::json()},
            {"unstored", unstored}};
}

using UsageReporter = BasicUsageReporter<HttpTable, JsonUsageSink>;

}
