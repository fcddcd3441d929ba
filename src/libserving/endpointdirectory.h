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
    void storeLost();
    void storeRegained(TimePoint now);

    /** Runs of endpoints that ended since the last call. */
    std::vector<EndpointRecord> takeEnded(TimePoint now);
    /** Endpoints of a service that may get new work. */
    std::vector<EndpointRecord> usable(const std::string &service) const;
    /** The endpoint may still get new work. */
    bool isUsable(const EndpointRecord &record) const;
    std::vector<EndpointRecord> all() const;

private:
    struct Entry
    {
        EndpointRecord record;
        /** Set while the entry is missing and may come back. */
        std::optional<TimePoint> keptUntil;
    };

    void remove(std::map<std::string, Entry>::iterator entry);

    EndpointDirectoryOptions options_;
    std::map<std::string, Entry> entries_;
    std::vector<EndpointRecord> ended_;
    bool storeAway_ = false;
    std::optional<TimePoint> regainedAt_;
};

}
