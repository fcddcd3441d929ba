/**
 * Which endpoints there are, from what they announce in the store. Entries that vanish while the store is away are kept until it has been
 * back long enough for living endpoints to announce themselves again.
 */
#pragma once

#include "endpointrecord.h"
#include "timepoint.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

struct EndpointDirectoryOptions
{
    /** Time after the store's return within which living endpoints have announced themselves again. */
    Duration announceAgain = std::chrono::milliseconds(2200);
};

class EndpointDirectory
{
public:
    explicit EndpointDirectory(EndpointDirectoryOptions options);

    /** All entries as of one moment. */
    void replaceAll(const std::vector<EndpointRecord> &records, TimePoint now);
    void announced(const EndpointRecord &record);
    void vanished(const std::string &id, TimePoint now);
    /** The engine is about to change its stage, and takes no work until it has, or until @p until. */
    void stageChangeAnnounced(const std::string &id, EngineStage stage, TimePoint until);
    void storeLost();
    void storeRegained(TimePoint now);

    /** Runs of endpoints that ended since the last call. */
    std::vector<EndpointRecord> takeEnded(TimePoint now);
    /** Endpoints of a service that may get new work. */
    std::vector<EndpointRecord> usable(const std::string &service, TimePoint now) const;
    /** Endpoints of a service that don't leave, also those that change their stage. */
    std::vector<EndpointRecord> staying(const std::string &service) const;
    /** The endpoint may still get new work. */
    bool isUsable(const EndpointRecord &record) const;
    std::vector<EndpointRecord> all() const;

private:
    struct Entry
    {
        EndpointRecord record;
        /** Set while the entry is missing and may come back. */
        std::optional<TimePoint> keptUntil;
        /** The stage that it is about to take, until that time at most. */
        std::optional<EngineStage> nextStage;
        TimePoint changingUntil{};
    };

    void remove(std::map<std::string, Entry>::iterator entry);

    EndpointDirectoryOptions options_;
    std::map<std::string, Entry> entries_;
    std::vector<EndpointRecord> ended_;
    bool storeAway_ = false;
    std::optional<TimePoint> regainedAt_;
};

}
