/**
 * Watches for prompts that crash endpoints: confirms that an endpoint whose run broke off has ended, records what its prompts had in
 * common, and exchanges that with the other gateways through the shared table.
 */
#pragma once

#include "crashevidence.h"
#include "endpointpool.h"
#include "endpointrecord.h"
#include "log.h"
#include "metrics.h"
#include "ownrow.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Chestnutcove {

class CrashReporter
{
public:
    /** @param table holds the reports of all gateways. @param isTrialGateway see CrashEvidence. */
    CrashReporter(asio::io_context &context,
                  EndpointPool &pool,
                  PlatformTable &table,
                  const std::string &vm,
                  std::function<bool(const std::string &key)> isTrialGateway,
                  Metrics &metrics,
                  const Log &log);

    /** A run ended without an answer, or with one that had not begun. @param sentAt when the call was started. */
    void onRunBroken(const EndpointRecord &endpoint, const std::vector<PromptPart> &parts, TimePoint sentAt);
    void onRunAnswered(const std::string &service, const std::vector<PromptPart> &parts);
    /** For how long requests with the prompt are refused, because a part of it crashes endpoints; nothing if they may be sent. */
    std::optional<Duration> blockedFor(const std::string &service, const std::vector<PromptPart> &parts);

    /** All rows of the table were read. */
    void onTableRead(const TableRows &rows);
    /** A row of the table has changed; rows that are no crash reports are ignored. */
    void onRowChanged(const std::string &key, const std::string &value, std::uint64_t version);
    /** To be called several times a second. */
    void tick(TimePoint now);

private:
    struct BrokenRun
    {
        std::vector<PromptPart> parts;
        TimePoint sentAt;
    };
    struct Confirmation
    {
        EndpointRecord endpoint;
        std::vector<BrokenRun> runs;
        asio::steady_timer timer;
    };

    void confirmCrash(const std::string &run);
    void onConfirmed(const std::string &run, bool hasCrashed);
    void writeReport(const CrashReport &report);
    void logBlockedParts();

    asio::io_context &ioContext_;
    EndpointPool &pool_;
    const Log &log_;
    OwnRow row_;
    CrashEvidence evidence_;
    /** By run of an endpoint. */
    std::map<std::string, std::unique_ptr<Confirmation>> confirmations_;
    std::set<std::string> blockedParts_;
    /** What this gateway's row holds. */
    CrashReport storedReport_;
    /** Since when the report differs from the stored one. */
    std::optional<TimePoint> changedSince_;
};

}
