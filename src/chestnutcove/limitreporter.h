/**
 * Exchanges with the other gateways, through the shared table, which limits endpoints name. The gateways that have learnt of a change wait
 * for each other in an order that depends on the endpoint, so that mostly one of them reports it.
 */
#pragma once

#include "endpointadmission.h"
#include "limitreport.h"
#include "log.h"
#include "ownrow.h"
#include "remoteclock.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Chestnutcove {

class LimitReporter
{
public:
    using RankReader = std::function<std::size_t(const std::string &run)>;

    /**
     * @param table holds the reports of all gateways. @param clock the store's.
     * @param rankOf place of this gateway in the order in which gateways report changes of the run's limit, from 0.
     */
    LimitReporter(PlatformTable &table,
                  const std::string &vm,
                  EndpointAdmission &endpoints,
                  const RemoteClock &clock,
                  RankReader rankOf,
                  const Log &log);

    /** All rows of the table were read. */
    void onTableRead(const TableRows &rows);
    /** A row of the table has changed; rows that are no reports of limits are ignored. */
    void onRowChanged(const std::string &key, const std::string &value, std::uint64_t version);
    /** To be called several times a second. */
    void tick(TimePoint now);

private:
    /** Whether the newest report of the run says something else than what this gateway knows. */
    bool isUnreported(const std::string &run, const EndpointLimits::Observation &newest) const;
    bool isReportDue(TimePoint now);
    void writeReport(TimePoint now);

    EndpointAdmission &endpoints_;
    const RemoteClock &clock_;
    RankReader rankOf_;
    const Log &log_;
    OwnRow row_;
    /** The newest report of each run, by any gateway. */
    std::map<std::string, ReportedLimit> reported_;
    /** Since when a run's limit has differed from its newest report. */
    std::map<std::string, TimePoint> unreportedSince_;
    TimePoint nextWriteAt_{};
};

}
