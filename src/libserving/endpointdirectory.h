/**
 * The endpoints of all services, from the entries that they register in the store. Entries that disappear during a store outage are
 * retained until the store has been back for long enough for running endpoints to register again. What a run has said once, that it is
 * leaving or that its entry is gone, holds also when the store comes back from an older copy.
 */
#pragma once

#include "endpointrecord.h"
#include "timepoint.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Chestnutcove {

struct EndpointDirectoryOptions
{
    /** Time after the store's recovery within which every running endpoint has registered again. */
    Duration reregistrationTime = std::chrono::milliseconds(2200);
    /** Time for which endpoints whose entry was removed without a notice continue to serve. */
    Duration drainTime = std::chrono::milliseconds(2000);
    /** A run that was removed is not taken from an older copy of the store for this long; by then it is gone there too. */
    Duration removedRunMemory = std::chrono::seconds(30);
};

class EndpointDirectory
{
public:
    explicit EndpointDirectory(EndpointDirectoryOptions options);

    /** Applies a full read of the store: @p records are all entries that it holds. */
    void replaceAll(const std::vector<EndpointRecord> &records, TimePoint now);
    void onRegistered(const EndpointRecord &record);
    /** Applies the disappearance of entries that were found missing at the same time. */
    void onEntriesMissing(const std::vector<std::string> &ids, TimePoint now);
    /** Excludes the engine from new requests until it has changed to @p stage, at most until @p until. */
    void onStageChangeAnnounced(const std::string &id, EngineStage stage, TimePoint until);
    /** The endpoint stated in an answer that it is about to stop, which its entry may never say. */
    void onLeaving(const EndpointRecord &record);
    /** The endpoint turned a request away and wants no other before @p until. */
    void onTurnedAway(const EndpointRecord &record, TimePoint until);
    void onStoreLost();
    void onStoreRecovered(TimePoint now);
    /** The store has come back from an older copy; entries that are read next may be out of date. */
    void onStoreRestored(TimePoint now);

    /** The data centres whose endpoints get no requests and no orders, now and when they register later. */
    void setEvacuated(std::set<std::string> dataCentres);
    bool isEvacuated(const EndpointRecord &record) const;

    /** Removes entries whose retention has expired and returns the runs of endpoints that ended since the last call. */
    std::vector<EndpointRecord> takeEndedRuns(TimePoint now);
    /** The endpoints of a service that accept new requests, outside evacuated data centres. */
    std::vector<EndpointRecord> usableEndpoints(const std::string &service, TimePoint now) const;
    /** The endpoints of a service that are not draining or evacuated, including those that are changing their stage. */
    std::vector<EndpointRecord> nonDrainingEndpoints(const std::string &service) const;
    /** Whether this run of the endpoint is still registered, is not evacuated and accepts new requests, whatever its stage. */
    bool isUsable(const EndpointRecord &record, TimePoint now) const;
    /** Whether this run of the endpoint is draining or has left, so that its end was planned. */
    bool isLeaving(const EndpointRecord &record) const;
    std::vector<EndpointRecord> allEndpoints() const;

private:
    struct Entry
    {
        EndpointRecord record;
        /** Set while the entry is missing from the store and may be registered again. */
        std::optional<TimePoint> retainedUntil;
        /** The stage that the engine is about to change to; ignored after pendingUntil. */
        std::optional<EngineStage> pendingStage;
        TimePoint pendingUntil{};
        /** This run of the endpoint has stated that it is leaving. */
        bool isLeaving = false;
        /** It wants no requests before that time. */
        TimePoint closedUntil{};

        bool isDraining() const;
    };

    bool isInService(const Entry &entry) const;
    void onEntryMissing(const std::string &id, TimePoint now);
    /** For how long entries are retained that may have expired in an outage which this process didn't see. */
    Duration unseenOutageRetention() const;
    /** The entry of this run of the endpoint, or null. */
    Entry *findRun(const EndpointRecord &record);
    const Entry *findRun(const EndpointRecord &record) const;
    void remove(std::map<std::string, Entry>::iterator entry, TimePoint now);
    /** Whether the entry is one that an older copy of the store has brought back. */
    bool isBroughtBack(const EndpointRecord &record, TimePoint now) const;

    EndpointDirectoryOptions options_;
    std::map<std::string, Entry> entries_;
    std::set<std::string> evacuated_;
    std::vector<EndpointRecord> endedRuns_;
    bool isStoreLost_ = false;
    /** Until when endpoints whose entry is missing may still register again; empty outside such a time. */
    std::optional<TimePoint> reregistrationUntil_;
    std::optional<TimePoint> storeRestoredAt_;
    /** Runs that were removed, and when. */
    std::vector<std::pair<EndpointRecord, TimePoint>> removedRuns_;
};

}
