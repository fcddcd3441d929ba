/**
 * Stores this gateway's usage figures, and, while it holds the reporter's lease, seals windows and reports them to the platform.
 *
 * A window is sealed by one conditional write, so its figures never change. Reports are made only from sealed windows, after an intent row
 * that names the holder's epoch, and may be repeated with the same figures.
 */
#pragma once

#include "dutylease.h"
#include "httpclient.h"
#include "metrics.h"
#include "settings.h"
#include "usageledger.h"

#include <nlohmann/json.hpp>

#include <string>

namespace Chestnutcove {

class UsageReporter
{
public:
    UsageReporter(asio::any_io_executor executor,
                  HttpTable &table,
                  HttpClient &client,
                  const GatewaySettings &settings,
                  std::uint64_t incarnation,
                  const DutyLease &lease,
                  Metrics &metrics,
                  const Log &log);

    void add(const std::string &customer, const UsageFigures &figures);
    /** Stores figures where they are due and carries on with the reporter's duty. */
    void tick(TimePoint now);
    /** Stores what is left at once, for a planned stop. */
    void flushNow();
    bool isFlushed() const;
    nlohmann::json dump() const;

private:
    enum class Step {
        Idle,
        Busy,
    };

    WindowNumber currentWindow() const;
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

    HttpTable &table_;
    HttpClient &client_;
    const GatewaySettings &settings_;
    std::uint64_t incarnation_;
    const DutyLease &lease_;
    Metrics &metrics_;
    const Log &log_;
    TableWriter<HttpTable> writer_;
    UsageLedger ledger_;
    std::mt19937_64 random_;
    TimePoint nextFlush_;
    /** The epoch for which progress_ was read. */
    std::uint64_t progressEpoch_ = 0;
    /** The last window that was reported; nothing before it is left to do. */
    std::optional<WindowNumber> progress_;
    Step step_ = Step::Idle;
};

}
