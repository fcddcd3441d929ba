/**
 * Idempotency keys of callers: a conditional row is written before dispatch, so that a key's request runs at most once whichever gateway
 * gets it.
 */
#pragma once

#include "httptable.h"
#include "tablewriter.h"

#include <functional>
#include <random>
#include <string>

namespace Chestnutcove {

enum class IdempotencyOutcome {
    /** The key was not used before and is now ours. */
    Claimed,
    AlreadyUsed,
    /** The store can't tell; nothing may be run. */
    Unavailable,
};

class IdempotencyStore
{
public:
    using ClaimHandler = std::function<void(IdempotencyOutcome)>;

    IdempotencyStore(asio::any_io_executor executor, HttpTable &table, std::uint64_t seed, Duration giveUpAfter);

    void claim(const std::string &customer, const std::string &service, const std::string &key, ClaimHandler onDone);
    /** The request was certainly not run: the key may be used again. */
    void release(const std::string &customer, const std::string &service, const std::string &key);

private:
    HttpTable &table_;
    TableWriter<HttpTable> writer_;
    std::mt19937_64 random_;
};

}
