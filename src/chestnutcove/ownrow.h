/**
 * A row of the table that all gateways follow which only this VM's gateway writes.
 */
#pragma once

#include "platformtable.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Chestnutcove {

class OwnRow
{
public:
    OwnRow(PlatformTable &table, std::string key);

    const std::string &key() const;
    /** All rows of the table were read. */
    void onTableRead(const TableRows &rows);
    /** The row has changed; this or a former process wrote it. */
    void onChanged(std::uint64_t version);
    /**
     * Replaces the row. A write whose outcome is unknown may take effect late, so it replaces only the version that was read last; whatever
     * the outcome, the row that is stored is read back. Does nothing while a write is in progress. @return whether the write was begun.
     */
    bool write(const std::string &value, std::function<void(bool isCommitted)> onDone);
    /** Whether this process has begun to write the row. */
    bool hasWritten() const;

private:
    PlatformTable &table_;
    std::string key_;
    /** 0 if there is no row. */
    std::uint64_t version_ = 0;
    bool isWriting_ = false;
    bool hasWritten_ = false;
};

}
