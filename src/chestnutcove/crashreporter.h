/**
 * Watches for requests that crash endpoints: confirms that an endpoint whose run broke off has ended, and records what its requests had:
 * the parts of their prompts, and each request as a whole, which its caller may repeat.
 */
#pragma once

#include "crashevidenceexchange.h"
#include "endpointpool.h"
#include "endpointrecord.h"
#include "log.h"
#include "metrics.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

/** What a request has that may crash an endpoint. */
struct RequestContent
{
    std::string service;
    std::vector<PromptPart> promptParts;
    /** See requestDigest(). */
    std::string digest;
};

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

    /** A run broke off, whatever had arrived of its answer. @param sentAt when the call was started. */
    void onRunBroken(const EndpointRecord &endpoint, const RequestContent &content, TimePoint sentAt);
    /** The answer ended with its connection, so that nothing but the endpoint's life tells whether it is whole. */
    void onConnectionEnded(const EndpointRecord &endpoint, const RequestContent &content, TimePoint sentAt);
    /** The answer is whole, or has gone on for long enough. */
    void onRunAnswered(const RequestContent &content);
    /** The endpoint answered with a failure: it has run the request and goes on. */
    void onRunFailed(const RequestContent &content);
    /** For how long such requests are refused, because they crash endpoints; nothing if this one may be sent. */
    std::optional<Duration> blockedFor(const RequestContent &content);
    /** Whether an endpoint crashed under the request before, and none has answered it. */
    bool isSuspected(const RequestContent &content) const;

    /** All rows of the table were read. */
    void onTableRead(const TableRows &rows);
    /** A row of the table has changed; rows that are no crash reports are ignored. */
    void onRowChanged(const std::string &key, const std::string &value, std::uint64_t version);
    /** To be called several times a second. */
    void tick(TimePoint now);

private:
    /** A run whose connection has ended. */
    struct EndedRun
    {
        RequestContent content;
        TimePoint sentAt;
        /** It was answered if its endpoint lives. */
        bool mayBeAnswered = false;
    };
    struct Confirmation
    {
        EndpointRecord endpoint;
        std::vector<EndedRun> runs;
        asio::steady_timer timer;
    };

    /** Finds out whether the endpoint has ended with the run. */
    void checkEndpoint(const EndpointRecord &endpoint, EndedRun run);
    void confirmCrash(const std::string &run);
    void onConfirmed(const std::string &run, bool hasCrashed);

    asio::io_context &ioContext_;
    EndpointPool &pool_;
    const Log &log_;
    CrashEvidenceExchange promptParts_;
    CrashEvidenceExchange requests_;
    /** By run of an endpoint. */
    std::map<std::string, std::unique_ptr<Confirmation>> confirmations_;
};

}
