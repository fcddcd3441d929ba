/**
 * The platform's transactional table service: its types, the concept that the rest is written against, and the writer that finds out
 * whether a write took effect after its answer was lost.
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
    /** Rises with each write of the row; 0 means that there is no such row. */
    std::uint64_t version = 0;
};

/** Keys that are not in the map have no row. */
using TableRows = std::map<std::string, TableRow>;

struct TableCondition
{
    std::string key;
    /** 0: the row must not exist. */
    std::uint64_t version = 0;
};

struct TablePut
{
    std::string key;
    /** Nothing: the row is removed. */
    std::optional<std::string> value;
};

/** All puts happen, or none does; they happen only when each condition holds. */
struct TableTransaction
{
    std::vector<TableCondition> conditions;
    std::vector<TablePut> puts;
};

enum class CommitOutcome {
    Committed,
    /** A condition did not hold; nothing was written. */
    Conflict,
    /** Refused before it could take effect. */
    NotSent,
    /** No answer: it may take effect, or may have. */
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
