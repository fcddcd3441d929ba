/**
 * Client of the platform's table service over HTTP, with a circuit breaker. A call that got no answer is repeated on a new connection,
 * since an open one may have gone silent for good.
 */
#pragma once

#include "circuitbreaker.h"
#include "httpclient.h"
#include "jsontableformat.h"
#include "suspendclock.h"
#include "tableformat.h"
#include "tableservice.h"

#include <atomic>
#include <chrono>
#include <string>
#include <utility>

namespace Chestnutcove {

struct PlatformOptions
{
    /** Base URL, without a slash at its end. */
    std::string url;
    std::chrono::milliseconds timeout{1000};
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
        , breaker_(OpenAfterFailures, ProbeInterval)
    {
    }

    /** Reads rows at one moment. Repeated once, on a new connection, when no answer came. */
    void get(const std::vector<std::string> &keys, GetHandler onRows)
    {
        read(
            format_.get(keys), [this](const HttpResult &result) { return format_.rows(result); }, std::move(onRows));
    }

    /** Reads all rows whose key starts with @p prefix. */
    void list(const std::string &prefix, GetHandler onRows)
    {
        read(
            format_.list(prefix), [this](const HttpResult &result) { return format_.rows(result); }, std::move(onRows));
    }

    /** Reads rows of another table: from @p from, without @p to; an empty key means no bound. */
    void
    page(const std::string &table, const std::string &from, const std::string &to, PageHandler onPage) requires WatchableTableFormat<Format>
    {
        read(
            format_.page(table, from, to), [this](const HttpResult &result) { return format_.decodePage(result); }, std::move(onPage));
    }

    /**
     * Waits for changes of another table. Not subject to the circuit breaker, and never repeated.
     * @param wait how long the service may wait for the first change.
     */
    HttpClient::CallId changes(const std::string &table,
                               std::uint64_t after,
                               std::chrono::milliseconds wait,
                               bool fresh,
                               ChangesHandler onChanges) requires WatchableTableFormat<Format>
    {
        HttpCall call = prepared(format_.changes(table, after, wait));
        call.timeout = wait + options_.timeout;
        call.freshConnection = fresh;
        ++reads_;
        return client_.send(std::move(call), [this, onChanges = std::move(onChanges)](const HttpResult &result) {
            onChanges(result.status.ok() ? format_.decodeChanges(result)
                                         : absl::StatusOr<TableChanges>(absl::UnavailableError(std::string(result.status.message()))));
        });
    }

    void cancel(HttpClient::CallId id)
    {
        client_.cancel(id);
    }

    /** Sends a transaction once, on a new connection. */
    void commit(const TableTransaction &transaction, CommitHandler onOutcome)
    {
        if (!breaker_.allow(suspendAwareNow())) {
            onOutcome(CommitOutcome::NotSent);
            return;
        }
        ++writes_;
        HttpCall call = prepared(format_.commit(transaction));
        call.atMostOnce = true;
        client_.send(std::move(call), [this, onOutcome = std::move(onOutcome)](const HttpResult &result) {
            const CommitOutcome outcome = result.status.ok() ? format_.outcome(result)
                : absl::IsUnavailable(result.status)         ? CommitOutcome::NotSent
                                                             : CommitOutcome::Unknown;
            note(outcome == CommitOutcome::Committed || outcome == CommitOutcome::Conflict);
            onOutcome(outcome);
        });
    }

    /** Calls since the start, for metrics. */
    std::uint64_t reads() const
    {
        return reads_;
    }

    std::uint64_t writes() const
    {
        return writes_;
    }

    std::uint64_t failures() const
    {
        return failures_;
    }

    bool isDown() const
    {
        return breaker_.isOpen();
    }

private:
    static constexpr std::uint32_t OpenAfterFailures = 3;
    static constexpr std::chrono::milliseconds ProbeInterval{500};

    HttpCall prepared(HttpCall call) const
    {
        call.url = options_.url + call.url;
        call.timeout = options_.timeout;
        call.freshConnection = suspectConnection_;
        return call;
    }

    template<typename Decoder, typename Handler>
    void read(HttpCall call, Decoder decode, Handler onResult, bool repeated = false)
    {
        if (!breaker_.allow(suspendAwareNow())) {
            onResult(absl::UnavailableError("the table service is down"));
            return;
        }
        ++reads_;
        HttpCall sent = prepared(call);
        client_.send(std::move(sent),
                     [this, call = std::move(call), decode, onResult = std::move(onResult), repeated](const HttpResult &result) mutable {
                         if (!result.status.ok()) {
                             note(false);
                             if (!repeated) {
                                 read(std::move(call), decode, std::move(onResult), true);
                                 return;
                             }
                             onResult(absl::UnavailableError(std::string(result.status.message())));
                             return;
                         }
                         auto decoded = decode(result);
                         note(decoded.ok());
                         onResult(std::move(decoded));
                     });
    }

    void note(bool answered)
    {
        suspectConnection_ = !answered;
        if (answered) {
            breaker_.succeeded();
        } else {
            ++failures_;
            breaker_.failed(suspendAwareNow());
        }
    }

    HttpClient &client_;
    PlatformOptions options_;
    Format format_;
    CircuitBreaker breaker_;
    /** The last call got no answer: the next goes out on a new connection. */
    bool suspectConnection_ = false;
    std::atomic<std::uint64_t> reads_ = 0;
    std::atomic<std::uint64_t> writes_ = 0;
    std::atomic<std::uint64_t> failures_ = 0;
};

using HttpTable = BasicHttpTable<JsonTableFormat>;

}
