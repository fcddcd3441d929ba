/**
 * Follows a table that other processes write. After a first full read, long polling delivers changes at once, and each answer, also one
 * without changes, confirms that the copy was complete when the service answered. Full reads are repeated rarely, to detect an error of
 * this process or of the service, and when the service no longer has the history of changes.
 */
#pragma once

#include "log.h"
#include "remoteclock.h"
#include "storeversion.h"
#include "suspendclock.h"
#include "tableformat.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace Chestnutcove {

struct TableMirrorOptions
{
    /** How long the service may hold a poll before it answers without changes, and so the time between two confirmations of the copy. */
    Milliseconds longPollTimeout{2000};
    /** Time between two full reads. */
    Milliseconds readInterval{30000};
    /** Time between a failed full read and the next. */
    Milliseconds readRetryInterval{250};
    /** Pause after a poll that failed, which doubles with each failure up to the maximum, or that returned at once without changes. */
    Milliseconds pollRetryInterval{200};
    Milliseconds maxPollRetryInterval{800};
    /** The same for some time after the service came back from an older copy, since much is written again then. */
    Milliseconds restoredLongPollTimeout{300};
    Milliseconds restoredPeriod{3000};
    /** Pause after a poll that returned changes, so that changes which follow each other closely are returned together. */
    Milliseconds coalescingPause{20};
};

template<typename Table>
class TableMirror
{
public:
    using Changes = std::vector<TableChanges::Change>;

    struct Handlers
    {
        std::function<void(const TableRows &rows)> onRows;
        std::function<void(const Changes &changes)> onChanges;
        /** Called after onRows or onChanges, and where there were no changes: the copy was complete at @p time. */
        std::function<void(TimePoint time)> onConfirmed;
        /** Called when calls begin to fail, and when they succeed for the first time or again; then before the rows or changes. */
        std::function<void(bool reachable)> onReachable;
        /**
         * Called before the rows of a full read if the service has come back from an older copy since the last one, or at any time before
         * the first one. May be empty.
         */
        std::function<void()> onRestored = nullptr;
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

    /** Maps the service's clock to the local one. */
    const RemoteClock &clock() const
    {
        return clock_;
    }

private:
    void startRead()
    {
        if (std::exchange(isReading_, true)) {
            return;
        }
        readTimer_.cancel();
        readPage(from_);
    }

    void readPage(const std::string &from)
    {
        table_.getPage(
            name_, from, to_, [this, sentAt = suspendAwareNow()](absl::StatusOr<TablePage> page) { onPage(std::move(page), sentAt); });
    }

    void onPage(absl::StatusOr<TablePage> page, TimePoint sentAt)
    {
        if (!page.ok()) {
            // While the copy is confirmed by polls, a failed full read doesn't make the table unreachable.
            if (!isPollingStarted_) {
                setReachable(false, std::string(page.status().message()));
            }
            isReading_ = false;
            collectedRows_.clear();
            scheduleRead(options_.readRetryInterval);
            return;
        }
        setReachable(true, "");
        if (collectedRows_.empty()) {
            firstPageVersion_ = page->version;
            firstPageAt_ = clock_.readingTime(sentAt, page->serviceTime, suspendAwareNow());
        }
        if (StoreVersion::eraOf(page->version) != StoreVersion::eraOf(firstPageVersion_)) {
            // The pages are of different copies.
            isReading_ = false;
            collectedRows_.clear();
            scheduleRead(options_.readRetryInterval);
            return;
        }
        collectedRows_.merge(std::move(page->rows));
        if (page->hasMore) {
            readPage(collectedRows_.rbegin()->first + '!');
            return;
        }
        if (firstPageVersion_ < version_) {
            log_.warning("full read is older than the copy; it is not applied",
                         {{"table", name_}, {"version", std::to_string(firstPageVersion_)}, {"copy", std::to_string(version_)}});
        }
        const TableRows rows = std::exchange(collectedRows_, {});
        isReading_ = false;
        // A read that is older than the changes already applied must not undo them.
        if (firstPageVersion_ >= version_) {
            version_ = firstPageVersion_;
            noteEra();
            handlers_.onRows(rows);
            handlers_.onConfirmed(firstPageAt_);
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
        // After a failure the service is asked to answer at once, so that the copy is confirmed again soon.
        const Milliseconds longest = suspendAwareNow() < restoredUntil_ ? options_.restoredLongPollTimeout : options_.longPollTimeout;
        const Milliseconds wait = pollFailures_ > 0 ? Milliseconds::zero() : longest;
        table_.getChanges(name_,
                          version_,
                          wait,
                          pollFailures_ > 0,
                          [this, wait, sentAt = suspendAwareNow()](const absl::StatusOr<TableChanges> &changes) {
                              onPollAnswered(changes, sentAt, wait);
                          });
    }

    void onPollAnswered(const absl::StatusOr<TableChanges> &changes, TimePoint sentAt, Milliseconds wait)
    {
        const bool isOfLaterEra = changes.ok() && StoreVersion::eraOf(changes->version) > StoreVersion::eraOf(version_);
        if (absl::IsOutOfRange(changes.status()) || isOfLaterEra) {
            log_.warning("change history is incomplete; reading the whole table",
                         {{"table", name_}, {"version", std::to_string(version_)}});
            startRead();
            schedulePoll(options_.pollRetryInterval);
            return;
        }
        if (!changes.ok()) {
            // A single failure may be that of a connection that has died.
            if (++pollFailures_ > 1) {
                setReachable(false, std::string(changes.status().message()));
            }
            const auto pause = options_.pollRetryInterval * (1U << std::min(pollFailures_ - 1, MaxPauseDoublings));
            schedulePoll(std::min<Milliseconds>(pause, options_.maxPollRetryInterval));
            return;
        }
        pollFailures_ = 0;
        setReachable(true, "");
        const TimePoint now = suspendAwareNow();
        applyChanges(*changes);
        handlers_.onConfirmed(clock_.readingTime(sentAt, changes->serviceTime, now));
        // A service that answers at once without changes must not be polled without a pause.
        const bool isTooSoon = changes->changes.empty() && wait > Milliseconds::zero() && now - sentAt < options_.pollRetryInterval;
        if (isTooSoon) {
            schedulePoll(options_.pollRetryInterval);
        } else if (!changes->changes.empty()) {
            schedulePoll(options_.coalescingPause);
        } else {
            pollChanges();
        }
    }

    /** To be called before the rows of a full read are passed on. */
    void noteEra()
    {
        const std::uint64_t era = StoreVersion::eraOf(firstPageVersion_);
        if (std::exchange(era_, era) == era || era <= StoreVersion::FirstEra) {
            return;
        }
        log_.warning("the service has come back from an older copy", {{"table", name_}, {"era", std::to_string(era)}});
        restoredUntil_ = suspendAwareNow() + options_.restoredPeriod;
        if (handlers_.onRestored) {
            handlers_.onRestored();
        }
    }

    void applyChanges(const TableChanges &changes)
    {
        Changes fresh;
        for (const auto &change : changes.changes) {
            const bool isInRange = change.key >= from_ && (to_.empty() || change.key < to_);
            if (isInRange && change.version > version_) {
                fresh.push_back(change);
            }
        }
        version_ = std::max(version_, changes.version);
        if (!fresh.empty()) {
            handlers_.onChanges(fresh);
        }
    }

    void schedulePoll(Milliseconds pause)
    {
        pollTimer_.expires_after(pause);
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

    static constexpr unsigned MaxPauseDoublings = 8;

    Table &table_;
    const Log &log_;
    std::string name_;
    std::string from_;
    std::string to_;
    TableMirrorOptions options_;
    Handlers handlers_;
    asio::steady_timer readTimer_;
    asio::steady_timer pollTimer_;
    RemoteClock clock_;
    /** Rows of the full read in progress, collected over its pages. */
    TableRows collectedRows_;
    std::uint64_t firstPageVersion_ = 0;
    TimePoint firstPageAt_{};
    /** All changes up to this version were applied. */
    std::uint64_t version_ = 0;
    /** The era of the last full read; 0 before the first one. */
    std::uint64_t era_ = 0;
    TimePoint restoredUntil_{};
    /** Number of polls that failed since the last one that succeeded. */
    unsigned pollFailures_ = 0;
    bool isReading_ = false;
    bool isPollingStarted_ = false;
    bool isReachable_ = false;
};

}
