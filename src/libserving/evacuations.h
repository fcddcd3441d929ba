/**
 * The data centres that operators have evacuated, from the rows that they write into the store. An evacuation lasts from the reading of its
 * row until the row is gone. Only a store that has come back from an older copy may lack the row although nobody removed it; the evacuation
 * is kept then until the operator has had time to write the row again.
 */
#pragma once

#include "timepoint.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Chestnutcove {

struct EvacuationOptions
{
    /** Time after the store's return from an older copy within which the operator has written the newest rows again. */
    Duration rewriteTime = std::chrono::milliseconds(2200);
};

class Evacuations
{
public:
    /** Called when a data centre is taken back. @param lasted time since its row was read. */
    using ReleaseHandler = std::function<void(const std::string &dataCentre, TimePoint now, Duration lasted)>;

    /** @param onReleased may be empty. It is called right after the data centre was removed from dataCentres(). */
    explicit Evacuations(EvacuationOptions options, ReleaseHandler onReleased = nullptr);

    /** Applies a full read of the store: @p dataCentres are all that have a row. */
    void replaceAll(const std::set<std::string> &dataCentres, TimePoint now);
    void onRowWritten(const std::string &dataCentre, TimePoint now);
    /** The row was removed by a change, so by the operator. */
    void onRowRemoved(const std::string &dataCentre, TimePoint now);
    /** The store has come back from an older copy; to be called before the full read that follows. */
    void onStoreRestored(TimePoint now);
    /** Ends the evacuations that were kept after the store's return and whose rows weren't written again in time. */
    void releaseExpired(TimePoint now);

    /** Those that are evacuated now. */
    std::set<std::string> dataCentres() const;

private:
    struct Evacuation
    {
        /** When its row was read first. */
        TimePoint readAt;
        /** Set while the store, back from an older copy, holds no row. */
        std::optional<TimePoint> keptUntil;
    };

    void release(std::map<std::string, Evacuation>::iterator evacuation, TimePoint now);

    EvacuationOptions options_;
    ReleaseHandler onReleased_;
    std::map<std::string, Evacuation> evacuations_;
    std::optional<TimePoint> storeRestoredAt_;
};

}
