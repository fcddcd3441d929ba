/**
 * Connects the LeaseKeeper of one duty to a table service: passes it the lease row that was read, sends its writes and logs when the lease
 * is acquired or lost.
 */
#pragma once

#include "httptable.h"
#include "leasekeeper.h"
#include "log.h"
#include "suspendclock.h"
#include "tablewriter.h"

#include <absl/strings/str_format.h>

#include <random>
#include <string>
#include <utility>

namespace Chestnutcove {

template<TableService Table>
class BasicDutyLease
{
public:
    BasicDutyLease(asio::any_io_executor executor,
                   Table &table,
                   const Log &log,
                   std::string duty,
                   const std::string &holder,
                   std::uint64_t incarnation,
                   LeaseOptions options)
        : log_(log)
        , table_(table)
        , duty_(std::move(duty))
        , writer_(std::move(executor), table, options.duration)
        , keeper_(holder, incarnation, options)
        , random_(incarnation)
    {
    }

    std::string rowKey() const
    {
        return "lease/" + duty_;
    }

    /** @param rows result of a read that included rowKey(). */
    void onRowsRead(const TableRows &rows, TimePoint now)
    {
        const auto it = rows.find(rowKey());
        if (it == rows.end()) {
            keeper_.onRowRead(std::nullopt, 0, now, table_.era());
            return;
        }
        const auto row = LeaseRow::fromText(it->second.value);
        if (row.ok()) {
            keeper_.onRowRead(*row, it->second.version, now, table_.era());
        } else {
            log_.error("lease row unreadable", {{"duty", duty_}});
        }
    }

    /** Acquires or renews the lease if that is due, and logs when it becomes valid or invalid. */
    void tick(TimePoint now)
    {
        if (const auto write = keeper_.nextWrite(now)) {
            sendWrite(*write);
        }
        const bool isValid = keeper_.isValid(now);
        if (isValid != wasValid_) {
            wasValid_ = isValid;
            log_.info(isValid ? "lease acquired" : "lease lost", {{"duty", duty_}, {"epoch", std::to_string(keeper_.epoch())}});
        }
    }

    /** Releases the lease for a planned stop; one of the next calls of tick() writes the change. */
    void release()
    {
        keeper_.release();
    }

    const LeaseKeeper &keeper() const
    {
        return keeper_;
    }

private:
    void sendWrite(const LeaseWrite &lease)
    {
        TableWrite write;
        write.attemptId = absl::StrFormat("%016x", random_());
        write.markerKey = rowKey();
        write.transaction.conditions = {{rowKey(), lease.expectedVersion}};
        write.transaction.puts = {{rowKey(), lease.row.toText(write.attemptId)}};
        writer_.write(std::move(write), [this](CommitOutcome outcome) {
            switch (outcome) {
            case CommitOutcome::Committed:
                keeper_.onWriteCommitted(suspendAwareNow());
                break;
            case CommitOutcome::Conflict:
                keeper_.onWriteRejected();
                break;
            case CommitOutcome::NotSent:
            case CommitOutcome::Unknown:
                keeper_.onWriteOutcomeUnknown();
                break;
            }
        });
    }

    const Log &log_;
    Table &table_;
    std::string duty_;
    TableWriter<Table> writer_;
    LeaseKeeper keeper_;
    std::mt19937_64 random_;
    bool wasValid_ = false;
};

using DutyLease = BasicDutyLease<HttpTable>;

}
