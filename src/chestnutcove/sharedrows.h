/**
 * The rows that all gateways follow: the division of quotas, announced stage changes, reports of crashed endpoints, and the key pair of the
 * links between gateways. They have a table of their own, which seldom changes, so that a gateway can follow it by long polling.
 */
#pragma once

#include "endpointrecord.h"
#include "link.h"
#include "log.h"
#include "platformtable.h"
#include "quotadivision.h"
#include "tablemirror.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Chestnutcove {

class SharedRows
{
public:
    struct Handlers
    {
        /** A division was read that was the stored one at @p readAt. */
        std::function<void(const QuotaDivision &division, TimePoint readAt)> onDivision;
        /** The division that was read last was still the stored one at @p readAt. */
        std::function<void(TimePoint readAt)> onDivisionConfirmed;
        std::function<void()> onNoDivisionStored;
        /** @param isFirst the announcement is the first that this process has read, so its age is unknown. */
        std::function<void(const std::map<std::string, EngineStage> &stages, bool isFirst)> onStagesAnnounced;
        std::function<void(const LinkKeys &keys)> onLinkKeys;
        /** All rows were read. */
        std::function<void(const TableRows &rows)> onTableRead;
        /** A row that none of the above is for has changed. */
        std::function<void(const std::string &key, const std::string &value, std::uint64_t version)> onOtherRow;
        /** Place of this gateway in an order of all gateways that depends on the key. */
        std::function<std::size_t(const std::string &key)> rankFor;
    };

    SharedRows(asio::io_context &context, HttpClient &client, const PlatformOptions &store, const Log &log, Handlers handlers);

    void start();
    /** Stores a key pair for the links if there is none. To be called several times a second. */
    void tick(TimePoint now);
    /** Replaces the division that was read last; does nothing while a write is in progress. */
    void writeDivision(const QuotaDivision &division);
    bool isWritingDivision() const;
    /** The table of these rows, for other writers. */
    PlatformTable &table();
    /** The store's clock, by which gateways compare times. */
    const RemoteClock &clock() const;

private:
    /** @return whether this class knows the row. */
    bool onRow(const std::string &key, const std::string &value, std::uint64_t version);
    void onDivision(const std::string &value, std::uint64_t version);
    void onConfirmed(TimePoint time);
    void onAnnouncement(const std::string &value, std::uint64_t version);
    void onKeys(const std::string &value);
    void onKeysMissing();
    void writeLinkKeys();
    void storeLinkKeys(const LinkKeys &keys);
    /** The store has forgotten the newest division; some gateway writes it again. */
    void onDivisionForgotten(std::uint64_t version);

    const Log &log_;
    Handlers handlers_;
    PlatformTable table_;
    TableMirror<PlatformTable> mirror_;
    /** Decoded and not yet passed on, since the time of the read isn't known. */
    std::optional<QuotaDivision> newDivision_;
    /** The newest division that was passed on; its number is 0 for none. */
    QuotaDivision knownDivision_;
    /** Version of the row with the division; 0 if there is none. */
    std::uint64_t divisionVersion_ = 0;
    /** Set while the store holds an older division than the known one, or none: when this gateway writes the known one again. */
    std::optional<TimePoint> restoreDivisionAt_;
    /** The rows that are read next are those of an older copy of the store. */
    bool isRestored_ = false;
    /** Version of the announcement that was passed on last; 0 for none. */
    std::uint64_t announcementVersion_ = 0;
    bool isWritingDivision_ = false;
    bool hasRead_ = false;
    std::optional<LinkKeys> linkKeys_;
    TimePoint nextKeyWriteAt_{};
};

}
