#include "dutylease.h"

#include <absl/strings/str_format.h>

#include <utility>

namespace Chestnutcove {

DutyLease::DutyLease(asio::any_io_executor executor,
                     HttpTable &table,
                     const Log &log,
                     std::string duty,
                     const std::string &holder,
                     std::uint64_t incarnation,
                     LeaseOptions options)
    : table_(table)
    , log_(log)
    , duty_(std::move(duty))
    , writer_(std::move(executor), table, options.duration)
    , keeper_(holder, incarnation, options)
    , random_(incarnation)
{
}

std::string DutyLease::rowKey() const
{
    return "lease/" + duty_;
}

void DutyLease::observed(const TableRows &rows, TimePoint now)
{
    const auto it = rows.find(rowKey());
    if (it == rows.end()) {
        keeper_.observed(std::nullopt, 0, now);
        return;
    }
    const auto row = LeaseRow::fromText(it->second.value);
    if (row.ok()) {
        keeper_.observed(*row, it->second.version, now);
    } else {
        log_.error("lease row unreadable", {{"duty", duty_}});
    }
}

void DutyLease::tick(TimePoint now)
{
    if (const auto write = keeper_.poll(now)) {
        send(*write);
    }
    const bool valid = keeper_.isValid(now);
    if (valid != wasValid_) {
        wasValid_ = valid;
        log_.info(valid ? "lease acquired" : "lease lost", {{"duty", duty_}, {"epoch", std::to_string(keeper_.epoch())}});
    }
}

void DutyLease::release(TimePoint now)
{
    if (const auto write = keeper_.release(now)) {
        send(*write);
    }
}

void DutyLease::send(const LeaseWrite &lease)
{
    TableWrite write;
    write.attempt = absl::StrFormat("%016x", random_());
    write.witnessKey = rowKey();
    write.transaction.conditions = {{rowKey(), lease.replaces}};
    write.transaction.puts = {{rowKey(), lease.row.toText(write.attempt)}};
    writer_.write(std::move(write), [this](CommitOutcome outcome) {
        switch (outcome) {
        case CommitOutcome::Committed:
            keeper_.committed(std::chrono::steady_clock::now());
            break;
        case CommitOutcome::Conflict:
            keeper_.rejected();
            break;
        case CommitOutcome::NotSent:
        case CommitOutcome::Unknown:
            keeper_.unknown();
            break;
        }
    });
}

}
