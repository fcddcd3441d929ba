#include "ownrow.h"

#include <utility>

namespace Chestnutcove {

OwnRow::OwnRow(PlatformTable &table, std::string key)
    : table_(table)
    , key_(std::move(key))
{
}

const std::string &OwnRow::key() const
{
    return key_;
}

void OwnRow::onTableRead(const TableRows &rows)
{
    if (!rows.contains(key_)) {
        version_ = 0;
    }
}

void OwnRow::onChanged(std::uint64_t version)
{
    version_ = version;
}

bool OwnRow::write(const std::string &value, std::function<void(bool isCommitted)> onDone)
{
    if (std::exchange(isWriting_, true)) {
        return false;
    }
    hasWritten_ = true;
    TableTransaction transaction;
    transaction.conditions = {{key_, version_}};
    transaction.puts = {{key_, value}};
    table_.commit(transaction, [this, onDone = std::move(onDone)](CommitOutcome outcome) {
        isWriting_ = false;
        onDone(outcome == CommitOutcome::Committed);
    });
    return true;
}

bool OwnRow::hasWritten() const
{
    return hasWritten_;
}

}
