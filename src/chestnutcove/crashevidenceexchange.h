/**
 * Exchanges one kind of crash evidence with the other gateways: each writes its report into a row of its own in the shared table, and
 * merges those of the others.
 */
#pragma once

#include "crashevidence.h"
#include "log.h"
#include "ownrow.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Chestnutcove {

class CrashEvidenceExchange
{
public:
    /**
     * @param reportDelay crashes within this time are reported together. @param table holds the reports of all gateways. @param rowPrefix
     * of the keys of this kind's rows. @param subject what is blocked, for the log. @param isTrialGateway see CrashEvidence.
     */
    CrashEvidenceExchange(PlatformTable &table,
                          const std::string &rowPrefix,
                          const std::string &vm,
                          std::string subject,
                          CrashEvidenceOptions options,
                          Milliseconds reportDelay,
                          std::function<bool(const std::string &key)> isTrialGateway,
                          const Log &log);

    CrashEvidence &evidence();
    const CrashEvidence &evidence() const;
    std::size_t blockedCount() const;
    /** Logs what has been blocked, or is no longer, since the last call. */
    void logBlocked();

    /** All rows of the table were read. */
    void onTableRead(const TableRows &rows);
    /** A row of the table has changed; rows of other kinds are ignored. */
    void onRowChanged(const std::string &key, const std::string &value, std::uint64_t version);
    /** To be called several times a second. */
    void tick(TimePoint now);

private:
    /** @param age see CrashEvidence::onReport(). */
    void mergeRow(const std::string &key, const std::string &value, std::uint64_t version, Duration age);
    void writeReport(const CrashReport &report);

    std::string rowPrefix_;
    std::string subject_;
    CrashEvidenceOptions options_;
    Milliseconds reportDelay_;
    const Log &log_;
    OwnRow row_;
    CrashEvidence evidence_;
    std::set<std::string> blocked_;
    /** What this gateway's row holds. */
    CrashReport storedReport_;
    /** Since when the report differs from the stored one. */
    std::optional<TimePoint> changedSince_;
};

inline CrashEvidence &CrashEvidenceExchange::evidence()
{
    return evidence_;
}

inline const CrashEvidence &CrashEvidenceExchange::evidence() const
{
    return evidence_;
}

inline std::size_t CrashEvidenceExchange::blockedCount() const
{
    return blocked_.size();
}

}
