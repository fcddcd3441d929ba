/**
 * How a table service's calls look on the wire. HttpTable decides when and how often to call; a format only translates.
 */
#pragma once

#include "httpclient.h"
#include "tableservice.h"

#include <concepts>
#include <string>
#include <vector>

namespace Chestnutcove {

/** Each call's url holds the path alone. */
template<typename T>
concept TableFormat
    = requires(const T format, std::vector<std::string> keys, std::string prefix, TableTransaction transaction, HttpResult result)
{
    {
        format.get(keys)
        } -> std::same_as<HttpCall>;
    {
        format.list(prefix)
        } -> std::same_as<HttpCall>;
    {
        format.commit(transaction)
        } -> std::same_as<HttpCall>;
    /** The rows of an answer to get or list. */
    {
        format.rows(result)
        } -> std::same_as<absl::StatusOr<TableRows>>;
    /** What an answer to commit says; an answer with another code than the service's own is Unknown. */
    {
        format.outcome(result)
        } -> std::same_as<CommitOutcome>;
};

/** Rows of one table as of one moment, in the order of their keys. */
struct TablePage
{
    TableRows rows;
    /** The service's version at that moment. */
    std::uint64_t version = 0;
    /** More rows follow after the last one. */
    bool hasMore = false;
};

/** Rows that changed after a version. */
struct TableChanges
{
    struct Change
    {
        std::string key;
        /** Nothing: the row was removed. */
        std::optional<std::string> value;
        std::uint64_t version = 0;
    };

    std::vector<Change> changes;
    /** Where the next question goes on. */
    std::uint64_t version = 0;
};

/** A format whose service has several tables and tells of changes. */
template<typename T>
concept WatchableTableFormat = TableFormat<T> && requires(const T format, std::string text, std::uint64_t version, HttpResult result)
{
    {
        format.page(text, text, text)
        } -> std::same_as<HttpCall>;
    {
        format.decodePage(result)
        } -> std::same_as<absl::StatusOr<TablePage>>;
    {
        format.changes(text, version, std::chrono::milliseconds{})
        } -> std::same_as<HttpCall>;
    /** OutOfRange: the service no longer has the history asked for. */
    {
        format.decodeChanges(result)
        } -> std::same_as<absl::StatusOr<TableChanges>>;
};

}
