/**
 * Follows the rows that operators write: the configuration and the evacuations of data centres. One mirror reads the whole table, so that
 * evacuations are as fresh as the configuration, and a gateway that starts knows them before it serves.
 */
#pragma once

#include "endpointdirectory.h"
#include "evacuations.h"
#include "log.h"
#include "metrics.h"
#include "platformsettings.h"
#include "platformtable.h"
#include "readfreshness.h"
#include "routecatalogue.h"
#include "tablemirror.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Chestnutcove {

class OperatorRows
{
public:
    struct Handlers
    {
        /** Called with each configuration as it comes into force. */
        std::function<void(const RouteCatalogue &catalogue)> onCatalogue;
        /** Called before the endpoints of a data centre that is taken back are usable again. */
        Evacuations::ReleaseHandler onReleased;
    };

    OperatorRows(const Platform::PlatformSettings &settings,
                 asio::io_context &context,
                 PlatformTable &table,
                 EndpointDirectory &directory,
                 Metrics &metrics,
                 const Log &log,
                 Handlers handlers);

    void start();
    /** To be called several times a second. */
    void tick(TimePoint now);

    /** Null until the first configuration was read. */
    const std::shared_ptr<const RouteCatalogue> &catalogue() const;
    /** When the configuration was confirmed last. */
    const ReadFreshness &freshness() const;
    /** Whether a newer configuration would be known if there had been time enough for it, so that routes and keys may be said not to exist.
     */
    bool isNewEnoughToDeny(TimePoint now) const;

private:
    TableMirror<PlatformTable>::Handlers mirrorHandlers();
    void onRows(const TableRows &rows);
    void onChanges(const TableMirror<PlatformTable>::Changes &changes);
    void onChange(const TableChanges::Change &change, TimePoint now);
    /** All rows that were read last were still the stored ones at @p time. */
    void onConfirmed(TimePoint time);
    void onRestored();
    /** @param rowVersion of the row that was read. */
    void onConfiguration(const std::string &value, std::uint64_t rowVersion);
    void onReleased(const std::string &dataCentre, TimePoint now, Duration lasted);
    /** Passes the evacuations on to the directory. @param readAt when the rows were read that may have changed them. */
    void applyEvacuations(TimePoint readAt);
    void logEvacuation(const std::string &dataCentre, TimePoint readAt) const;
    /** Whether the settings name the data centre, or name none at all. */
    bool isKnown(const std::string &dataCentre) const;

    const Platform::PlatformSettings &settings_;
    EndpointDirectory &directory_;
    const Log &log_;
    Handlers handlers_;

    std::shared_ptr<const RouteCatalogue> catalogue_;
    /** The version of the row from which it was read first. */
    std::uint64_t configurationRowVersion_ = 0;
    ReadFreshness freshness_;
    /** Set while the store holds an older copy of the configuration, or may do so; see onConfirmed(). */
    std::optional<TimePoint> restoredAt_;
    Evacuations evacuations_;
    /** Those that the directory was told. */
    std::set<std::string> evacuated_;
    TableMirror<PlatformTable> mirror_;
};

inline const std::shared_ptr<const RouteCatalogue> &OperatorRows::catalogue() const
{
    return catalogue_;
}

inline const ReadFreshness &OperatorRows::freshness() const
{
    return freshness_;
}

}
