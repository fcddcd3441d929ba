/**
 * Adapter from the platform's table service over HTTP/JSON to the TableService concept, with a budget and a circuit breaker.
 */
#pragma once

#include "circuitbreaker.h"
#include "httpclient.h"
#include "tableservice.h"

#include <atomic>
#include <chrono>
#include <string>

namespace Chestnutcove {

struct PlatformOptions
{
    /** Base URL, without a slash at its end. */
    std::string url;
    std::chrono::milliseconds timeout{1000};
};

class HttpTable
{
public:
    HttpTable(HttpClient &client, PlatformOptions options);

    /** Reads rows at one moment. Repeated once, on a new connection, when no answer came. */
    void get(std::vector<std::string> keys, GetHandler onRows);
    /** Reads all rows whose key starts with @p prefix. */
    void list(const std::string &prefix, GetHandler onRows);
    /** Sends a transaction once, on a connection that answered lately or a new one. */
    void commit(const TableTransaction &transaction, CommitHandler onOutcome);

    /** Calls since the start, for metrics. */
    std::uint64_t reads() const;
    std::uint64_t writes() const;
    std::uint64_t failures() const;
    bool isDown() const;

private:
    void read(const std::string &path, const std::string &body, GetHandler onRows, bool repeated);
    void note(bool answered);

    HttpClient &client_;
    PlatformOptions options_;
    CircuitBreaker breaker_;
    /** The last call got no answer: the next goes out on a new connection. */
    bool suspectConnection_ = false;
    std::atomic<std::uint64_t> reads_ = 0;
    std::atomic<std::uint64_t> writes_ = 0;
    std::atomic<std::uint64_t> failures_ = 0;
};

inline std::uint64_t HttpTable::reads() const
{
    return reads_;
}

inline std::uint64_t HttpTable::writes() const
{
    return writes_;
}

inline std::uint64_t HttpTable::failures() const
{
    return failures_;
}

}
