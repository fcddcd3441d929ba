#include "crashreporter.h"

#include "suspendclock.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Chestnutcove {

namespace {

/** The connections of an endpoint that ends don't close all at once. */
constexpr Milliseconds ConfirmationDelay{50};
/** Crashes at about the same time are reported together, and parts that are answered meanwhile aren't reported. */
constexpr Milliseconds PartReportDelay{400};
/** Few servers may crash under one request, so that a report must not be lost with its gateway. */
constexpr Milliseconds RequestReportDelay{100};
/** A request as a whole, as the part of a prompt that only its repeats share. */
std::vector<PromptPart> wholeRequest(const RequestContent &content)
{
    return {{content.digest, 0}, {}};
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
    , promptParts_(table, "crashes/", vm, "prompt part", CrashEvidenceOptions{}, PartReportDelay, isTrialGateway, log)
    , requests_(
          table, "crashes-of-requests/", vm, "request", CrashEvidenceOptions::forWholeRequests(), RequestReportDelay, isTrialGateway, log)
{
    metrics.gauge("blocked_prompt_parts", [this] { return static_cast<double>(promptParts_.blockedCount()); });
    metrics.gauge("blocked_requests", [this] { return static_cast<double>(requests_.blockedCount()); });
}

void CrashReporter::onRunBroken(const EndpointRecord &endpoint, const RequestContent &content, TimePoint sentAt)
{
    checkEndpoint(endpoint, {content, sentAt, false});
}

void CrashReporter::onConnectionEnded(const EndpointRecord &endpoint, const RequestContent &content, TimePoint sentAt)
{
    checkEndpoint(endpoint, {content, sentAt, true});
}

void CrashReporter::checkEndpoint(const EndpointRecord &endpoint, EndedRun ended)
{
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
    it->second->runs.push_back(std::move(ended));
}

void CrashReporter::confirmCrash(const std::string &run)
{
    const EndpointRecord endpoint = confirmations_.at(run)->endpoint;
    pool_.acquire(endpoint, 0, [this, run, endpoint](const auto &connection) {
        if (connection.ok()) {
            pool_.release(endpoint, *connection);
        }
        // Silence tells nothing: a cut between the gateway and the endpoint looks the same.
        onConfirmed(run, absl::IsUnavailable(connection.status()));
    });
}

void CrashReporter::onConfirmed(const std::string &run, bool hasCrashed)
{
    const auto confirmation = std::move(confirmations_.extract(run).mapped());
    log_.info("endpoint checked after a broken run",
              {{"endpoint", confirmation->endpoint.id},
               {"outcome", hasCrashed ? "refuses connections" : "not known to have ended"},
               {"runs", std::to_string(confirmation->runs.size())}});
    if (!hasCrashed) {
        for (const EndedRun &ended : confirmation->runs) {
            if (ended.mayBeAnswered) {
                onRunAnswered(ended.content);
            }
        }
        return;
    }
    const TimePoint now = suspendAwareNow();
    for (const EndedRun &ended : confirmation->runs) {
        const RequestContent &content = ended.content;
        promptParts_.evidence().onCrashed(run, content.service, content.promptParts, ended.sentAt, now);
        requests_.evidence().onCrashed(run, content.service, wholeRequest(content), ended.sentAt, now);
    }
    promptParts_.logBlocked();
    requests_.logBlocked();
}

void CrashReporter::onRunAnswered(const RequestContent &content)
{
    const TimePoint now = suspendAwareNow();
    promptParts_.evidence().onAnswered(content.service, content.promptParts, now);
    requests_.evidence().onAnswered(content.service, wholeRequest(content), now);
}

void CrashReporter::onRunFailed(const RequestContent &content)
{
    requests_.evidence().onAnswered(content.service, wholeRequest(content), suspendAwareNow());
}

std::optional<Duration> CrashReporter::blockedFor(const RequestContent &content)
{
    const TimePoint now = suspendAwareNow();
    // The request as a whole comes first, so that one that is blocked isn't spent as a trial of its parts.
    const auto wait = requests_.evidence().blockedFor(content.service, wholeRequest(content), now);
    return wait ? wait : promptParts_.evidence().blockedFor(content.service, content.promptParts, now);
}

bool CrashReporter::isSuspected(const RequestContent &content) const
{
    return requests_.evidence().isSuspected(content.service, wholeRequest(content));
}

void CrashReporter::onTableRead(const TableRows &rows)
{
    promptParts_.onTableRead(rows);
    requests_.onTableRead(rows);
}

void CrashReporter::onRowChanged(const std::string &key, const std::string &value, std::uint64_t version)
{
    promptParts_.onRowChanged(key, value, version);
    requests_.onRowChanged(key, value, version);
}

void CrashReporter::tick(TimePoint now)
{
    promptParts_.tick(now);
    requests_.tick(now);
}

}
