#include "usagereporter.h"

#include "suspendclock.h"

#include <absl/strings/str_format.h>

#include <utility>

namespace Chestnutcove {

namespace {

constexpr const char *ProgressKey = "usage/progress";
/** Stored figures of reported windows are kept for so many windows, for gateways that were cut off. */
constexpr WindowNumber KeptWindows = 120;
/** After the first start, windows older than this are not looked at. */
constexpr WindowNumber FirstLookBack = 3;
constexpr int CodeOk = 200;

std::string windowPrefix(WindowNumber window)
{
    return absl::StrFormat("usage/window/%012d/", window);
}

std::string sealedKey(WindowNumber window)
{
    return absl::StrFormat("usage/sealed/%012d", window);
}

std::string intentKey(WindowNumber window)
{
    return absl::StrFormat("usage/intent/%012d", window);
}

/** Changes with each flush of any gateway, so that a seal can't miss one. */
std::string touchKey(WindowNumber window)
{
    return absl::StrFormat("usage/touch/%012d", window);
}

std::uint64_t versionOf(const TableRows &rows, const std::string &key)
{
    const auto it = rows.find(key);
    return it == rows.end() ? 0 : it->second.version;
}

}

UsageReporter::UsageReporter(asio::any_io_executor executor,
                             HttpTable &table,
                             HttpClient &client,
                             const GatewaySettings &settings,
                             std::uint64_t incarnation,
                             const DutyLease &lease,
                             Metrics &metrics,
                             const Log &log)
    : table_(table)
    , client_(client)
    , settings_(settings)
    , incarnation_(incarnation)
    , lease_(lease)
    , metrics_(metrics)
    , log_(log)
    , writer_(std::move(executor), table, settings.timing.leaseDuration)
    , random_(incarnation + 1)
{
}

WindowNumber UsageReporter::currentWindow() const
{
    const auto now = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    return static_cast<WindowNumber>(now / settings_.timing.usageWindow);
}

std::string UsageReporter::newAttempt()
{
    return absl::StrFormat("%016x", random_());
}

std::string UsageReporter::gatewayRow(WindowNumber window) const
{
    return windowPrefix(window) + settings_.name + "-" + std::to_string(incarnation_);
}

void UsageReporter::add(const std::string &customer, const UsageFigures &figures)
{
    ledger_.add(currentWindow(), customer, figures);
}

bool UsageReporter::isFlushed() const
{
    return ledger_.isFlushed();
}

void UsageReporter::tick(TimePoint now)
{
    if (now >= nextFlush_) {
        nextFlush_ = now + settings_.timing.usageFlush;
        flush();
        ledger_.forgetBefore(currentWindow() > KeptWindows ? currentWindow() - KeptWindows : 0);
    }
    if (step_ == Step::Idle && lease_.keeper().mayAct(now)) {
        workOnWindow();
    }
}

void UsageReporter::flushNow()
{
    flush();
}

void UsageReporter::flush()
{
    const auto flush = ledger_.nextFlush();
    if (!flush) {
        return;
    }
    TableWrite write;
    write.attempt = newAttempt();
    write.witnessKey = gatewayRow(flush->window);
    write.transaction.conditions = {{sealedKey(flush->window), 0}};
    write.transaction.puts = {{write.witnessKey, usageToText(flush->figures, write.attempt)}, {touchKey(flush->window), write.attempt}};
    writer_.write(std::move(write), [this, flush = *flush](CommitOutcome outcome) {
        switch (outcome) {
        case CommitOutcome::Committed:
            ledger_.flushed();
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

void UsageReporter::onFlushConflict(const UsageFlush &flush)
{
    const std::string row = gatewayRow(flush.window);
    table_.get({sealedKey(flush.window), row}, [this, row, window = flush.window](const absl::StatusOr<TableRows> &rows) {
        if (!rows.ok() || versionOf(*rows, sealedKey(window)) == 0) {
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
        ledger_.sealed(currentWindow(), *stored);
    });
}

void UsageReporter::workOnWindow()
{
    step_ = Step::Busy;
    const std::uint64_t epoch = lease_.keeper().epoch();
    if (progress_ && progressEpoch_ == epoch) {
        const WindowNumber next = *progress_ + 1;
        const auto end = (next + 1) * settings_.timing.usageWindow + settings_.timing.usageGrace;
        if (std::chrono::system_clock::now().time_since_epoch() < end) {
            step_ = Step::Idle;
            return;
        }
        seal(next);
        return;
    }
    table_.get({ProgressKey}, [this, epoch](const absl::StatusOr<TableRows> &rows) {
        step_ = Step::Idle;
        if (!rows.ok()) {
            return;
        }
        const auto it = rows->find(ProgressKey);
        const auto json = it == rows->end() ? nlohmann::json() : nlohmann::json::parse(it->second.value, nullptr, false);
        progressEpoch_ = epoch;
        progress_ = json.is_object() ? json.value("reported", std::uint64_t{0}) : currentWindow() - FirstLookBack;
    });
}

void UsageReporter::seal(WindowNumber window)
{
    table_.get({sealedKey(window), touchKey(window)}, [this, window](const absl::StatusOr<TableRows> &heads) {
        if (!heads.ok()) {
            step_ = Step::Idle;
            return;
        }
        if (versionOf(*heads, sealedKey(window)) > 0) {
            report(window);
            return;
        }
        table_.list(windowPrefix(window), [this, window, heads = *heads](const absl::StatusOr<TableRows> &rows) {
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

void UsageReporter::writeSeal(WindowNumber window, const TableRows &rows)
{
    CustomerUsage total;
    for (const auto &[key, row] : rows) {
        if (!key.starts_with(windowPrefix(window))) {
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
    write.attempt = newAttempt();
    write.witnessKey = sealedKey(window);
    write.transaction.conditions = {{write.witnessKey, 0}, {touchKey(window), versionOf(rows, touchKey(window))}};
    write.transaction.puts = {{write.witnessKey, usageToText(total, write.attempt)}};
    writer_.write(std::move(write), [this, window](CommitOutcome outcome) {
        if (outcome == CommitOutcome::Committed) {
            report(window);
        } else {
            step_ = Step::Idle;
        }
    });
}

void UsageReporter::report(WindowNumber window)
{
    table_.get({sealedKey(window), intentKey(window)}, [this, window](const absl::StatusOr<TableRows> &rows) {
        const bool sealed = rows.ok() && rows->contains(sealedKey(window));
        if (!sealed) {
            step_ = Step::Idle;
            return;
        }
        const auto usage = usageFromText(rows->at(sealedKey(window)).value);
        if (!usage.ok()) {
            log_.error("sealed usage unreadable", {{"window", std::to_string(window)}});
            step_ = Step::Idle;
            return;
        }
        intend(window, usageToText(*usage, ""), *rows);
    });
}

void UsageReporter::intend(WindowNumber window, const std::string &figures, const TableRows &rows)
{
    const std::uint64_t epoch = lease_.keeper().epoch();
    const auto it = rows.find(intentKey(window));
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
    write.attempt = newAttempt();
    write.witnessKey = intentKey(window);
    write.transaction.conditions = {{write.witnessKey, versionOf(rows, write.witnessKey)}};
    write.transaction.puts = {{write.witnessKey, nlohmann::json{{"epoch", epoch}, {"attempt", write.attempt}}.dump()}};
    writer_.write(std::move(write), [this, window, figures](CommitOutcome outcome) {
        if (outcome == CommitOutcome::Committed) {
            send(window, figures);
        } else {
            step_ = Step::Idle;
        }
    });
}

void UsageReporter::send(WindowNumber window, const std::string &figures)
{
    const auto now = suspendAwareNow();
    const auto left = std::chrono::duration_cast<Milliseconds>(lease_.keeper().validUntil() - now);
    if (!lease_.keeper().mayAct(now) || left <= Milliseconds::zero()) {
        step_ = Step::Idle;
        return;
    }
    const auto body = nlohmann::json::parse(figures);
    HttpCall call;
    call.method = "POST";
    call.url = settings_.platformUrl + "/v1/usage-reports";
    call.headers = {{"Content-Type", "application/json"}};
    call.timeout = std::min(settings_.platformTimeout, left);
    call.atMostOnce = true;
    call.body = nlohmann::json{{"window", window},
                               {"windowMs", settings_.timing.usageWindow.count()},
                               {"epoch", lease_.keeper().epoch()},
                               {"reporter", settings_.name},
                               {"customers", body["customers"]}}
                    .dump();
    client_.send(std::move(call), [this, window](const HttpResult &result) {
        if (result.status.ok() && result.code == CodeOk) {
            reported(window);
        } else {
            // The same figures are sent again.
            log_.warning("usage report got no answer", {{"window", std::to_string(window)}});
            step_ = Step::Idle;
        }
    });
}

void UsageReporter::reported(WindowNumber window)
{
    const auto end = (window + 1) * settings_.timing.usageWindow;
    const auto late = std::chrono::system_clock::now().time_since_epoch() - end;
    metrics_.distribution("usage_report_delay_seconds").add(std::chrono::duration<double>(late).count());
    log_.info("usage window reported", {{"window", std::to_string(window)}, {"epoch", std::to_string(lease_.keeper().epoch())}});
    TableTransaction transaction;
    transaction.puts = {{ProgressKey, nlohmann::json{{"reported", window}}.dump()}};
    table_.commit(transaction, [this, window](CommitOutcome) {
        // Where the row was not written, a later holder reports the same figures again.
        progress_ = window;
        step_ = Step::Idle;
        if (window > KeptWindows) {
            cleanUp(window - KeptWindows);
        }
    });
}

void UsageReporter::cleanUp(WindowNumber window)
{
    table_.list(windowPrefix(window), [this, window](const absl::StatusOr<TableRows> &rows) {
        if (!rows.ok()) {
            return;
        }
        TableTransaction transaction;
        transaction.puts = {{touchKey(window), std::nullopt}, {intentKey(window), std::nullopt}};
        for (const auto &[key, row] : *rows) {
            transaction.puts.push_back({key, std::nullopt});
        }
        table_.commit(transaction, [](CommitOutcome) {});
    });
}

nlohmann::json UsageReporter::dump() const
{
    nlohmann::json unstored = nlohmann::json::object();
    for (const auto &[customer, figures] : ledger_.unstored()) {
        unstored[customer] = {{"requests", figures.requests}, {"outputTokens", figures.outputTokens}};
    }
    return {{"currentWindow", currentWindow()},
            {"lastReported", progress_ ? nlohmann::json(*progress_) : nlohmann::json()},
            {"unstored", unstored}};
}

}
