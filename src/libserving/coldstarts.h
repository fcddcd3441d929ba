/**
 * Which runs of endpoints are cold until when, and whether this gateway may send one of them a request now. An endpoint crashes if it gets
 * more requests than it tolerates while it is cold. What is known comes from endpoints' entries, which lag, from their answers, and from
 * data centres that were taken back.
 */
#pragma once

#include "coldshares.h"
#include "endpointrecord.h"
#include "timepoint.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chestnutcove {

/** What a service states about its cold endpoints. */
struct ColdService
{
    ColdLimit limit;
    /** Time for which an endpoint is cold after it starts. */
    Duration coldTime{};
};

class ColdStarts
{
public:
    /** A run that has become cold or warm. */
    struct Change
    {
        std::string run;
        std::string service;
        bool isCold = false;
        /** Time until it is warm. */
        Duration remaining{};
    };

    explicit ColdStarts(ColdShares shares);

    ColdShares &shares();
    /** By name, those whose cold endpoints are limited. */
    void setServices(std::map<std::string, ColdService> services);
    /** All entries were read. */
    void onAllEntries(const std::vector<EndpointRecord> &records, TimePoint now);
    void onEntry(const EndpointRecord &record, TimePoint now);
    /** An answer of the endpoint states for how long it is still cold. */
    void onAnswer(const EndpointRecord &record, Duration remaining, TimePoint now);
    /** The endpoints of the data centre may be used again. */
    void onDataCentreReleased(const std::string &dataCentre, TimePoint now);
    void remove(const EndpointRecord &record, TimePoint now);

    bool isCold(const EndpointRecord &record, TimePoint now) const;
    /** Whether any endpoint may be cold; a quick check for the usual case that none is. */
    bool mayAnyBeCold(TimePoint now) const;
    /** Whether this gateway may send the run a request. */
    bool mayTake(const EndpointRecord &record, TimePoint now) const;
    /** Takes a unit, which counts until onSent() or giveBack(). @return whether there was one. */
    bool take(const EndpointRecord &record, TimePoint now);
    /** Whether a unit that was taken may be used now; less may be allowed by then. */
    bool maySendTaken(const EndpointRecord &record, TimePoint now) const;
    /** The request for which the unit was taken is sent now; it counts for a second. */
    void onSent(const std::string &run, TimePoint now);
    /** The request for which the unit was taken was not sent. */
    void giveBack(const std::string &run);
    /** Time from which on this gateway may have a unit for the run; the past if it may have one now. */
    TimePoint nextUnitAt(const EndpointRecord &record, TimePoint now) const;

    std::size_t coldRuns(TimePoint now) const;
    /** Number of runs of which anything is known. */
    std::size_t size() const;
    /** What has changed since the last call. To be called several times a second; also forgets what is no longer needed. */
    std::vector<Change> takeChanges(TimePoint now);

    static std::string runOf(const EndpointRecord &record);

private:
    struct Run
    {
        EndpointRecord record;
        /** As the run's entries and answers state it. */
        TimePoint statedUntil{};
        /** Set for a new run of a known id or address until an entry or answer of it states more. */
        std::optional<TimePoint> assumedSince;
        bool wasCold = false;
        /** Units taken by requests that are not sent yet. */
        std::size_t taken = 0;
        /** Times of the requests of the last second. */
        std::deque<TimePoint> sentAt;
        /** Kept, since the choice of gateways is slow; of no use if the generation is another one. */
        mutable ColdShares::RunShares shares;
        mutable std::uint64_t sharesGeneration = 0;
    };

    /** The run that had an id or an address last. */
    struct LastRun
    {
        std::string run;
        std::uint64_t startedAt = 0;
        /** Set once the run is gone. */
        std::optional<TimePoint> goneAt;
    };

    void addRun(const EndpointRecord &record, TimePoint now);
    void updateRun(Run &run, const EndpointRecord &record, TimePoint now);
    bool isOtherRunKnown(const std::string &name, const std::string &run) const;
    TimePoint coldUntil(const Run &run) const;
    const ColdService *findService(const std::string &name) const;
    const Run *findRun(const EndpointRecord &record) const;
    /** The run if it is cold, and null otherwise. */
    const Run *findCold(const EndpointRecord &record, TimePoint now) const;
    std::size_t shareOf(const Run &run, TimePoint now) const;
    static std::size_t sentInWindow(const Run &run, TimePoint now);
    void noteColdUntil(TimePoint until);
    void forget(TimePoint now);

    ColdShares shares_;
    std::map<std::string, ColdService> services_;
    /** The longest time of a service, for a time after which nothing is cold. */
    Duration longestColdTime_{};
    std::unordered_map<std::string, Run> runs_;
    /** By endpoint id and by address. */
    std::unordered_map<std::string, LastRun> lastRuns_;
    std::map<std::string, TimePoint> releasedAt_;
    /** Nothing is cold from this time on. */
    TimePoint latestColdUntil_{};
    bool hasReadAll_ = false;
    bool hadCold_ = false;
};

inline ColdShares &ColdStarts::shares()
{
    return shares_;
}

inline std::size_t ColdStarts::size() const
{
    return runs_.size();
}

}
