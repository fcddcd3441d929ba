#include "idempotencystore.h"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <utility>

namespace Chestnutcove {

namespace {

std::string rowKey(const std::string &customer, const std::string &service, const std::string &key)
{
    const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
    return absl::StrFormat("idempotency/%s/%s/%016x%016x", customer, service, hash.high64, hash.low64);
}

}

IdempotencyStore::IdempotencyStore(asio::any_io_executor executor, HttpTable &table, std::uint64_t seed, Duration writeTimeout)
    : table_(table)
    , writer_(std::move(executor), table, writeTimeout)
    , random_(seed)
{
}

void IdempotencyStore::claimKey(const std::string &customer, const std::string &service, const std::string &key, ClaimHandler onDone)
{
    TableWrite write;
    write.attemptId = absl::StrFormat("%016x", random_());
    write.markerKey = rowKey(customer, service, key);
    write.transaction.conditions = {{write.markerKey, 0}};
    write.transaction.puts = {{write.markerKey, nlohmann::json{{"attempt", write.attemptId}}.dump()}};
    writer_.write(std::move(write), [onDone = std::move(onDone)](CommitOutcome outcome) {
        switch (outcome) {
        case CommitOutcome::Committed:
            onDone(IdempotencyOutcome::Claimed);
            break;
        case CommitOutcome::Conflict:
            onDone(IdempotencyOutcome::AlreadyUsed);
            break;
        case CommitOutcome::NotSent:
        case CommitOutcome::Unknown:
            onDone(IdempotencyOutcome::Unavailable);
            break;
        }
    });
}

void IdempotencyStore::releaseKey(const std::string &customer, const std::string &service, const std::string &key)
{
    TableTransaction transaction;
    transaction.puts = {{rowKey(customer, service, key), std::nullopt}};
    table_.commit(transaction, [](CommitOutcome) {});
}

}
