/**
 * Stores callers' idempotency keys. A conditional row is written before dispatch, so that the request of a key runs at most once, whichever
 * gateway receives it.
 */
#pragma once

#include "httptable.h"
#include "tablewriter.h"

#include <functional>
#include <random>
#include <string>

namespace Chestnutcove {

enum class IdempotencyOutcome {
    /** The key was unused and is now claimed for this request. */
    Claimed,
    AlreadyUsed,
    /** The store does not answer or the outcome of the write is unknown; the request must not be run. */
    Unavailable,
};

class IdempotencyStore
{
public:
    using ClaimHandler = std::function<void(IdempotencyOutcome)>;

    IdempotencyStore(asio::any_io_executor executor, HttpTable &table, std::uint64_t seed, Duration writeTimeout);

    void claimKey(const std::string &customer, const std::string &service, const std::string &key, ClaimHandler onDone);
    /** Makes the key usable again. Call it only if the key's request was certainly not run. */
    void releaseKey(const std::string &customer, const std::string &service, const std::string &key);

private:
    HttpTable &table_;
    TableWriter<HttpTable> writer_;
    std::mt19937_64 random_;
};

}
