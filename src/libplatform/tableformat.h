/**
 * Concepts for the wire formats of table services. A format only encodes calls and decodes responses; HttpTable decides when to call and
 * whether to retry.
 */
#pragma once

#include "httpclient.h"
#include "tableservice.h"

#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

/** Encodes calls and decodes responses of a table service. The URL of an encoded call holds the path only. */
template<typename T>
concept TableFormat
    = requires(const T format, std::vector<std::string> keys, std::string prefix, TableTransaction transaction, HttpResult result)
{
    {
        format.encodeGet(keys)
        } -> std::same_as<HttpCall>;
    {
        format.encodeList(prefix)
        } -> std::same_as<HttpCall>;
    {
        format.encodeCommit(transaction)
        } -> std::same_as<HttpCall>;
    /** The rows in the response to get or list. */
    {
        format.decodeRows(result)
        } -> std::same_as<absl::StatusOr<TableRows>>;
    /** The outcome that the response to commit states; Unknown for a status code that the service doesn't define. */
    {
        format.decodeOutcome(result)
        } -> std::same_as<CommitOutcome>;
};

/** Rows of one table in one consistent snapshot, ordered by key. */
struct TablePage
{
    TableRows rows;
    /** The service's version at the time of the snapshot. */
    std::uint64_t version = 0;
    /** The table has more rows after the last one of this page. */
    bool hasMore = false;
    /** The service's steady clock when it took the snapshot, if it states it. */
    std::optional<std::chrono::milliseconds> serviceTime;
};

/** The changes of a table after a given version. */
struct TableChanges
{
    struct Change
    {
        std::string key;
        /** The new value; no value if the row was removed. */
        std::optional<std::string> value;
        std::uint64_t version = 0;
    };

    std::vector<Change> changes;
    /** The version after which the next call for changes continues. */
    std::uint64_t version = 0;
    /** The service's steady clock when it answered, if it states it. All changes until then are included. */
    std::optional<std::chrono::milliseconds> serviceTime;
};

/** A format of a service that may come back from an older copy; its decoded versions contain the era (see StoreVersion). */
template<typename T>
concept EraTableFormat = TableFormat<T> && requires(const T format, HttpResult result)
{
    /** The era that the response states; 0 if it states none. */
    {
        format.decodeEra(result)
        } -> std::same_as<std::uint64_t>;
};

/** A format of a service that has several tables and reports changes. */
template<typename T>
concept WatchableTableFormat = TableFormat<T> && requires(const T format, std::string text, std::uint64_t version, HttpResult result)
{
    {
        format.encodePage(text, text, text)
        } -> std::same_as<HttpCall>;
    {
        format.decodePage(result)
        } -> std::same_as<absl::StatusOr<TablePage>>;
    {
        format.encodeChanges(text, version, std::chrono::milliseconds{})
        } -> std::same_as<HttpCall>;
    /** OutOfRange: the service no longer has the requested history. */
    {
        format.decodeChanges(result)
        } -> std::same_as<absl::StatusOr<TableChanges>>;
};

}
