/**
 * Types of the platform's transactional table service, and the concept that a client of it (such as HttpTable) satisfies.
 */
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

struct TableRow
{
    std::string value;
    /** Increases with each write of the row; 0 means that the row doesn't exist. Contains an era, see StoreVersion. */
    std::uint64_t version = 0;
};

/** Rows by key. A requested key without an entry has no row. */
using TableRows = std::map<std::string, TableRow>;

struct TableCondition
{
    std::string key;
    /** The version that the row must have; 0 if the row must not exist. */
    std::uint64_t version = 0;
};

struct TablePut
{
    std::string key;
    /** The new value; no value to remove the row. */
    std::optional<std::string> value;
};

/** Applies all puts atomically if all conditions hold, and none otherwise. */
struct TableTransaction
{
    std::vector<TableCondition> conditions;
    std::vector<TablePut> puts;
};

enum class CommitOutcome {
    Committed,
    /** A condition did not hold; nothing was written. */
    Conflict,
    /** The transaction wasn't sent, or was refused before it could take effect. */
    NotSent,
    /** The result isn't known: the transaction may have taken effect or may still do so. */
    Unknown,
};

using GetHandler = std::function<void(absl::StatusOr<TableRows>)>;
using CommitHandler = std::function<void(CommitOutcome)>;

template<typename T>
concept TableService = requires(
    T service, std::vector<std::string> keys, std::string prefix, TableTransaction transaction, GetHandler onRows, CommitHandler onOutcome)
{
    service.get(keys, onRows);
    service.list(prefix, onRows);
    service.commit(transaction, onOutcome);
};

}
