/**
 * Follows a table that other processes write. Long polling delivers changes at once; a periodic full read finds changes that polling missed
 * and establishes how fresh the data is.
 */
#pragma once

#include "log.h"
#include "suspendclock.h"
#include "tableformat.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <string>
#include <utility>

namespace Chestnutcove {

struct TableMirrorOptions
{
    /** Time between two full reads. */
    Milliseconds readInterval{1000};
    /** Time between a failed full read and the next. */
    Milliseconds retryInterval{250};
    /** How long the service may hold a poll for changes before it answers without any. */
    Milliseconds longPollTimeout{10000};
    /** Pause after a poll that failed or returned no changes. */
    Milliseconds pollRetryInterval{200};
};

template<typename Table>
class TableMirror
{
public:
    struct Handlers
    {
        /** All rows as of one moment after @p startedAt. */
        std::function<void(const TableRows &rows, TimePoint startedAt)> onRows;
        std::function<void(const TableChanges::Change &)> onChange;
        /** Called when full reads begin to fail, and when they succeed for the first time or again. */
        std::function<void(bool reachable)> onReachable;
    };

    /** @param from, @p to the range of keys; empty for the whole table. */
    TableMirror(asio::io_context &context,
                Table &table,
                const Log &log,
                std::string name,
                std::string from,
                std::string to,
                TableMirrorOptions options,
                Handlers handlers)
        : table_(table)
        , log_(log)
        , name_(std::move(name))
        , from_(std::move(from))
        , to_(std::move(to))
        , options_(options)
        , handlers_(std::move(handlers))
        , readTimer_(context)
        , pollTimer_(context)
    {
    }

    void start()
    {
        startRead();
    }

private:
    void startRead()
    {
        if (std::exchange(isReading_, true)) {
            return;
        }
        const TimePoint startedAt = suspendAwareNow();
        table_.getPage(name_, from_, to_, [this, startedAt](absl::StatusOr<TablePage> page) { onPage(std::move(page), startedAt); });
    }

    void onPage(absl::StatusOr<TablePage> page, TimePoint startedAt)
    {
        setReachable(page.ok(), page.ok() ? "" : std::string(page.status().message()));
        if (!page.ok()) {
            isReading_ = false;
            collectedRows_.clear();
            scheduleRead(options_.retryInterval);
            return;
        }
        if (collectedRows_.empty()) {
            firstPageVersion_ = page->version;
            firstPageStartedAt_ = startedAt;
        }
        collectedRows_.merge(std::move(page->rows));
        if (page->hasMore) {
            const std::string nextKey = collectedRows_.rbegin()->first + '!';
            table_.getPage(
                name_, nextKey, to_, [this](absl::StatusOr<TablePage> nextPage) { onPage(std::move(nextPage), suspendAwareNow()); });
            return;
        }
        const TableRows rows = std::exchange(collectedRows_, {});
        isReading_ = false;
        // A read that is older than the changes already applied must not undo them.
        if (firstPageVersion_ >= version_) {
            version_ = firstPageVersion_;
            handlers_.onRows(rows, firstPageStartedAt_);
        }
        if (!std::exchange(isPollingStarted_, true)) {
            pollChanges();
        }
        scheduleRead(options_.readInterval);
    }

    void scheduleRead(Milliseconds delay)
    {
        readTimer_.expires_after(delay);
        readTimer_.async_wait([this](const std::error_code &error) {
            if (!error) {
                startRead();
            }
        });
    }

    void pollChanges()
    {
        table_.getChanges(
            name_, version_, options_.longPollTimeout, useNewConnection_, [this](const absl::StatusOr<TableChanges> &changes) {
                useNewConnection_ = !changes.ok();
                if (absl::IsOutOfRange(changes.status())) {
                    log_.warning("change history is incomplete; reading the whole table",
                                 {{"table", name_}, {"version", std::to_string(version_)}});
                    startRead();
                }
                if (!changes.ok()) {
                    schedulePoll();
                    return;
                }
                applyChanges(*changes);
                // A service that answers at once without changes must not be polled without a pause.
                if (changes->changes.empty()) {
                    schedulePoll();
                } else {
                    pollChanges();
                }
            });
    }

    void applyChanges(const TableChanges &changes)
    {
        for (const auto &change : changes.changes) {
            const bool isInRange = change.key >= from_ && (to_.empty() || change.key < to_);
            if (isInRange && change.version > version_) {
                handlers_.onChange(change);
            }
        }
        version_ = std::max(version_, changes.version);
    }

    void schedulePoll()
    {
        pollTimer_.expires_after(options_.pollRetryInterval);
        pollTimer_.async_wait([this](const std::error_code &error) {
            if (!error) {
                pollChanges();
            }
        });
    }

    void setReachable(bool reachable, const std::string &reason)
    {
        if (std::exchange(isReachable_, reachable) == reachable) {
            return;
        }
        if (reachable) {
            log_.info("table is readable", {{"table", name_}});
        } else {
            log_.warning("table can't be read", {{"table", name_}, {"reason", reason}});
        }
        handlers_.onReachable(reachable);
    }

    Table &table_;
    const Log &log_;
    std::string name_;
    std::string from_;
    std::string to_;
    TableMirrorOptions options_;
    Handlers handlers_;
    asio::steady_timer readTimer_;
    asio::steady_timer pollTimer_;
    /** Rows of the full read in progress, collected over its pages. */
    TableRows collectedRows_;
    std::uint64_t firstPageVersion_ = 0;
    TimePoint firstPageStartedAt_{};
    /** All changes up to this version were applied. */
    std::uint64_t version_ = 0;
    bool isReading_ = false;
    bool isPollingStarted_ = false;
    /** The last poll failed, so the next one uses a new connection. */
    bool useNewConnection_ = false;
    bool isReachable_ = false;
};

}
