/**
 * Connects one duty's LeaseKeeper to the table service.
 */
#pragma once

#include "httptable.h"
#include "leasekeeper.h"
#include "log.h"
#include "tablewriter.h"

#include <random>
#include <string>

namespace Chestnutcove {

class DutyLease
{
public:
    DutyLease(asio::any_io_executor executor,
              HttpTable &table,
              const Log &log,
              std::string duty,
              const std::string &holder,
              std::uint64_t incarnation,
              LeaseOptions options);

    std::string rowKey() const;
    /** Rows of a poll that asked for rowKey(). */
    void observed(const TableRows &rows, TimePoint now);
    /** Renews or takes the lease where it is due. */
    void tick(TimePoint now);
    void release(TimePoint now);
    const LeaseKeeper &keeper() const;

private:
    void send(const LeaseWrite &write);

    HttpTable &table_;
    const Log &log_;
    std::string duty_;
    TableWriter<HttpTable> writer_;
    LeaseKeeper keeper_;
    std::mt19937_64 random_;
    bool wasValid_ = false;
};

inline const LeaseKeeper &DutyLease::keeper() const
{
    return keeper_;
}

}
