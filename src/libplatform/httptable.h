/**
 * HTTP client of the platform's table service, with a circuit breaker. A read without a response is retried on a new connection, since the
 * open connection may be dead without having been reset.
 */
#pragma once

#include "circuitbreaker.h"
#include "httpclient.h"
#include "jsontableformat.h"
#include "storeversion.h"
#include "suspendclock.h"
#include "tableformat.h"
#include "tableservice.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <iterator>
#include <memory>
#include <string>
#include <utility>

namespace Chestnutcove {

/** The highest era that a service has stated, known to all clients of it in this process. */
struct SeenEra
{
    std::uint64_t highest = 0;
};

struct PlatformOptions
{
    /** Base URL without a trailing slash. */
    std::string url;
    std::chrono::milliseconds timeout{1000};
    /** Called for a write that the service answered with a status that has no defined meaning, such as that of a row that is too long. */
    std::function<void(int status, const std::string &body)> onWriteRejected;
    std::shared_ptr<SeenEra> seenEra = std::make_shared<SeenEra>();
};

template<TableFormat Format>
class BasicHttpTable
{
public:
    using PageHandler = std::function<void(absl::StatusOr<TablePage>)>;
    using ChangesHandler = std::function<void(absl::StatusOr<TableChanges>)>;

    BasicHttpTable(HttpClient &client, PlatformOptions options, Format format = {})
        : client_(client)
        , options_(std::move(options))
        , format_(std::move(format))
        , breaker_(FailureThreshold, ProbeInterval)
    {
    }

    /**
     * Reads rows in one consistent snapshot, or in several if the service doesn't return them all at once. Retried once, on a new
     * connection, if no response arrives.
     */
    void get(const std::vector<std::string> &keys, GetHandler onRows)
    {
        getRemaining(keys, {}, std::move(onRows));
    }

    /** Reads all rows whose key starts with @p prefix. Retried like get(). */
    void list(const std::string &prefix, GetHandler onRows)
    {
        read(
            format_.encodeList(prefix), [this](const HttpResult &result) { return format_.decodeRows(result); }, std::move(onRows));
    }

    /** Reads rows of any table with keys from @p from up to, but not including, @p to. An empty key means no bound. */
    void getPage(const std::string &table,
                 const std::string &from,
                 const std::string &to,
                 PageHandler onPage) requires WatchableTableFormat<Format>
    {
        read(
            format_.encodePage(table, from, to),
            [this](const HttpResult &result) { return format_.decodePage(result); },
            std::move(onPage));
    }

    /**
     * Waits for changes of any table after version @p after (long poll). Not subject to the circuit breaker and never retried.
     * @param wait how long the service may wait for the first change.
     * @param freshConnection whether to send the call on a new connection.
     */
    HttpClient::CallId getChanges(const std::string &table,
                                  std::uint64_t after,
                                  std::chrono::milliseconds wait,
                                  bool freshConnection,
                                  ChangesHandler onChanges) requires WatchableTableFormat<Format>
    {
        HttpCall call = prepareCall(format_.encodeChanges(table, after, wait));
        call.timeout = wait + options_.timeout;
        call.freshConnection = freshConnection;
        ++reads_;
        return client_.send(std::move(call), [this, onChanges = std::move(onChanges)](const HttpResult &result) {
            if (isLate(result)) {
                onChanges(absl::UnavailableError(LateAnswer));
                return;
            }
            onChanges(result.status.ok() ? format_.decodeChanges(result)
                                         : absl::StatusOr<TableChanges>(absl::UnavailableError(std::string(result.status.message()))));
        });
    }

    void cancel(HttpClient::CallId id)
    {
        client_.cancel(id);
    }

    /** Sends a transaction at most once: on a new connection, since libcurl may repeat a call on a reused one. */
    void commit(const TableTransaction &transaction, CommitHandler onOutcome)
    {
        if (!breaker_.allowCall(suspendAwareNow())) {
            onOutcome(CommitOutcome::NotSent);
            return;
        }
        if (isOfEarlierEra(transaction)) {
            // The service may have given out the same versions again, for other content.
            onOutcome(CommitOutcome::NotSent);
            return;
        }
        ++writes_;
        HttpCall call = prepareCall(format_.encodeCommit(transaction));
        call.atMostOnce = true;
        client_.send(std::move(call), [this, eraAtSending = era(), onOutcome = std::move(onOutcome)](const HttpResult &result) {
            CommitOutcome outcome = result.status.ok() ? format_.decodeOutcome(result)
                : absl::IsUnavailable(result.status)   ? CommitOutcome::NotSent
                                                       : CommitOutcome::Unknown;
            const bool isOfEarlierEra = isLate(result);
            const bool hasEraRisen = eraAtSending > 0 && era() > eraAtSending;
            if (outcome == CommitOutcome::Committed && (isOfEarlierEra || hasEraRisen)) {
                // It may have taken effect in either era, and what it wrote may be gone.
                outcome = CommitOutcome::Unknown;
            }
            recordResult(outcome == CommitOutcome::Committed || outcome == CommitOutcome::Conflict);
            if (result.status.ok() && outcome == CommitOutcome::Unknown && options_.onWriteRejected) {
                options_.onWriteRejected(result.code, result.body);
            }
            onOutcome(outcome);
        });
    }

    /** The highest era that the service has stated (see StoreVersion); 0 if it states none. */
    std::uint64_t era() const
    {
        return options_.seenEra->highest;
    }

    /** Number of read calls since the start, for metrics. */
    std::uint64_t readCount() const
    {
        return reads_;
    }

    std::uint64_t writeCount() const
    {
        return writes_;
    }

    std::uint64_t failureCount() const
    {
        return failures_;
    }

    bool isDown() const
    {
        return breaker_.isOpen();
    }

private:
    static constexpr std::uint32_t FailureThreshold = 3;
    static constexpr std::chrono::milliseconds ProbeInterval{500};

    static constexpr const char *LateAnswer = "the answer is of an earlier era of the service";

    /** Notes the era that the service states. @return whether it is an earlier one, so that the answer is out of date. */
    bool isLate(const HttpResult &result)
    {
        if constexpr (EraTableFormat<Format>) {
            const std::uint64_t era = result.status.ok() ? format_.decodeEra(result) : 0;
            const bool isEarlier = era > 0 && era < options_.seenEra->highest;
            options_.seenEra->highest = std::max(options_.seenEra->highest, era);
            return isEarlier;
        }
        return false;
    }

    /** Whether the transaction was formed with versions of an earlier era. */
    bool isOfEarlierEra(const TableTransaction &transaction) const
    {
        return std::any_of(transaction.conditions.begin(), transaction.conditions.end(), [this](const TableCondition &condition) {
            return condition.version > 0 && StoreVersion::eraOf(condition.version) < options_.seenEra->highest;
        });
    }

    HttpCall prepareCall(HttpCall call) const
    {
        call.url = options_.url + call.url;
        call.timeout = options_.timeout;
        call.freshConnection = useFreshConnection_;
        return call;
    }

    /** @param rows those that were read before. */
    void getRemaining(const std::vector<std::string> &keys, TableRows rows, GetHandler onRows)
    {
        if constexpr (WatchableTableFormat<Format>) {
            // The service may return rows between the keys too, and cuts the last ones off.
            const auto decode = [this](const HttpResult &result) { return format_.decodePage(result); };
            read(format_.encodeGet(keys),
                 decode,
                 PageHandler([this, keys, rows = std::move(rows), onRows = std::move(onRows)](absl::StatusOr<TablePage> page) mutable {
                     if (!page.ok()) {
                         onRows(page.status());
                         return;
                     }
                     std::vector<std::string> remaining;
                     if (page->hasMore && !page->rows.empty()) {
                         const std::string &last = page->rows.rbegin()->first;
                         std::copy_if(keys.begin(), keys.end(), std::back_inserter(remaining), [&last](const std::string &key) {
                             return key > last;
                         });
                     }
                     rows.merge(page->rows);
                     if (remaining.empty()) {
                         onRows(std::move(rows));
                     } else {
                         getRemaining(remaining, std::move(rows), std::move(onRows));
                     }
                 }));
        } else {
            read(
                format_.encodeGet(keys), [this](const HttpResult &result) { return format_.decodeRows(result); }, std::move(onRows));
        }
    }

    template<typename Decoder, typename Handler>
    void read(HttpCall call, Decoder decode, Handler onResult, bool isRetry = false)
    {
        if (!breaker_.allowCall(suspendAwareNow())) {
            onResult(absl::UnavailableError("the table service is down"));
            return;
        }
        ++reads_;
        HttpCall sent = prepareCall(call);
        client_.send(std::move(sent),
                     [this, call = std::move(call), decode, onResult = std::move(onResult), isRetry](const HttpResult &result) mutable {
                         if (!result.status.ok()) {
                             recordResult(false);
                             if (!isRetry) {
                                 read(std::move(call), decode, std::move(onResult), true);
                                 return;
                             }
                             onResult(absl::UnavailableError(std::string(result.status.message())));
                             return;
                         }
                         if (isLate(result)) {
                             onResult(absl::UnavailableError(LateAnswer));
                             return;
                         }
                         auto decoded = decode(result);
                         recordResult(decoded.ok());
                         onResult(std::move(decoded));
                     });
    }

    void recordResult(bool answered)
    {
        useFreshConnection_ = !answered;
        if (answered) {
            breaker_.recordSuccess();
        } else {
            ++failures_;
            breaker_.recordFailure(suspendAwareNow());
        }
    }

    HttpClient &client_;
    PlatformOptions options_;
    Format format_;
    CircuitBreaker breaker_;
    /** The last call failed, so the next one is sent on a new connection. */
    bool useFreshConnection_ = false;
    std::atomic<std::uint64_t> reads_ = 0;
    std::atomic<std::uint64_t> writes_ = 0;
    std::atomic<std::uint64_t> failures_ = 0;
};

using HttpTable = BasicHttpTable<JsonTableFormat>;

}
