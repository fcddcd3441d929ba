#include "endpointdirectory.h"

#include <algorithm>
#include <utility>

namespace Chestnutcove {

EndpointDirectory::EndpointDirectory(EndpointDirectoryOptions options)
    : options_(options)
{
}

bool EndpointDirectory::Entry::isDraining() const
{
    return record.draining || isLeaving;
}

void EndpointDirectory::replaceAll(const std::vector<EndpointRecord> &records, TimePoint now)
{
    std::set<std::string> present;
    for (const auto &record : records) {
        if (isBroughtBack(record, now)) {
            continue;
        }
        present.insert(record.id);
        onRegistered(record);
    }
    std::vector<std::string> missing;
    for (const auto &[id, entry] : entries_) {
        if (!present.contains(id) && !entry.retainedUntil) {
            missing.push_back(id);
        }
    }
    onEntriesMissing(missing, now);
}

void EndpointDirectory::onEntriesMissing(const std::vector<std::string> &ids, TimePoint now)
{
    // The entries may have expired during a store outage that this process didn't see, since a poll was held for as long.
    const bool mayHaveExpired = ids.size() > 1 && ids.size() * 2 >= entries_.size();
    if (mayHaveExpired && !reregistrationUntil_) {
        reregistrationUntil_ = now + unseenOutageRetention();
    }
    for (const auto &id : ids) {
        onEntryMissing(id, now);
    }
}

void EndpointDirectory::onRegistered(const EndpointRecord &record)
{
    const auto it = entries_.find(record.id);
    if (it == entries_.end()) {
        entries_.emplace(record.id, Entry{.record = record});
        return;
    }
    Entry &entry = it->second;
    if (!entry.record.isSameRun(record)) {
        endedRuns_.push_back(entry.record);
        entry = Entry{.record = record};
    }
    entry.retainedUntil.reset();
    if (record.startedAt > 0 && record.sequence < entry.record.sequence) {
        return;
    }
    const bool hasSaidThatItLeaves = entry.record.draining;
    entry.record = record;
    entry.record.draining = record.draining || hasSaidThatItLeaves;
}

void EndpointDirectory::onStageChangeAnnounced(const std::string &id, EngineStage stage, TimePoint until)
{
    const auto it = entries_.find(id);
    if (it != entries_.end()) {
        it->second.pendingStage = stage;
        it->second.pendingUntil = until;
    }
}

EndpointDirectory::Entry *EndpointDirectory::findRun(const EndpointRecord &record)
{
    const auto it = entries_.find(record.id);
    return it != entries_.end() && it->second.record.isSameRun(record) ? &it->second : nullptr;
}

const EndpointDirectory::Entry *EndpointDirectory::findRun(const EndpointRecord &record) const
{
    const auto it = entries_.find(record.id);
    return it != entries_.end() && it->second.record.isSameRun(record) ? &it->second : nullptr;
}

void EndpointDirectory::onLeaving(const EndpointRecord &record)
{
    if (Entry *entry = findRun(record)) {
        entry->isLeaving = true;
    }
}

void EndpointDirectory::onTurnedAway(const EndpointRecord &record, TimePoint until)
{
    if (Entry *entry = findRun(record)) {
        entry->closedUntil = std::max(entry->closedUntil, until);
    }
}

void EndpointDirectory::onEntryMissing(const std::string &id, TimePoint now)
{
    const auto it = entries_.find(id);
    if (it == entries_.end() || it->second.retainedUntil) {
        return;
    }
    if (isStoreLost_) {
        it->second.retainedUntil = TimePoint::max();
        return;
    }
    const bool mayRegisterAgain = reregistrationUntil_ && now < *reregistrationUntil_;
    if (mayRegisterAgain && !it->second.isDraining()) {
        it->second.retainedUntil = reregistrationUntil_;
        return;
    }
    remove(it, now);
}

Duration EndpointDirectory::unseenOutageRetention() const
{
    // They may as well have left, and then serve for the drain time. A request that is sent in its last part would come too late.
    constexpr double UsablePart = 0.75;
    return std::min(options_.reregistrationTime, std::chrono::duration_cast<Duration>(options_.drainTime * UsablePart));
}

void EndpointDirectory::remove(std::map<std::string, Entry>::iterator entry, TimePoint now)
{
    removedRuns_.emplace_back(entry->second.record, now);
    endedRuns_.push_back(entry->second.record);
    entries_.erase(entry);
}

void EndpointDirectory::onStoreLost()
{
    isStoreLost_ = true;
}

void EndpointDirectory::onStoreRecovered(TimePoint now)
{
    isStoreLost_ = false;
    reregistrationUntil_ = now + options_.reregistrationTime;
    for (auto &[id, entry] : entries_) {
        if (entry.retainedUntil) {
            entry.retainedUntil = reregistrationUntil_;
        }
    }
}

void EndpointDirectory::onStoreRestored(TimePoint now)
{
    onStoreRecovered(now);
    storeRestoredAt_ = now;
}

bool EndpointDirectory::isBroughtBack(const EndpointRecord &record, TimePoint now) const
{
    if (!storeRestoredAt_ || now - *storeRestoredAt_ >= options_.reregistrationTime) {
        return false;
    }
    return std::any_of(removedRuns_.begin(), removedRuns_.end(), [&](const auto &item) { return item.first.isSameRun(record); });
}

void EndpointDirectory::setEvacuated(std::set<std::string> dataCentres)
{
    evacuated_ = std::move(dataCentres);
}

bool EndpointDirectory::isEvacuated(const EndpointRecord &record) const
{
    return evacuated_.contains(record.dataCentre);
}

bool EndpointDirectory::isInService(const Entry &entry) const
{
    return !entry.isDraining() && !isEvacuated(entry.record);
}

std::vector<EndpointRecord> EndpointDirectory::takeEndedRuns(TimePoint now)
{
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto current = it++;
        if (current->second.retainedUntil && now >= *current->second.retainedUntil) {
            remove(current, now);
        }
    }
    std::erase_if(removedRuns_, [&](const auto &item) { return now - item.second >= options_.removedRunMemory; });
    if (reregistrationUntil_ && now >= *reregistrationUntil_) {
        reregistrationUntil_.reset();
    }
    return std::exchange(endedRuns_, {});
}

std::vector<EndpointRecord> EndpointDirectory::usableEndpoints(const std::string &service, TimePoint now) const
{
    std::vector<EndpointRecord> result;
    for (const auto &[id, entry] : entries_) {
        const bool isChangingStage = entry.pendingStage && entry.pendingStage != entry.record.stage && now < entry.pendingUntil;
        if (entry.record.service == service && isInService(entry) && !isChangingStage && now >= entry.closedUntil) {
            result.push_back(entry.record);
        }
    }
    return result;
}

std::vector<EndpointRecord> EndpointDirectory::nonDrainingEndpoints(const std::string &service) const
{
    std::vector<EndpointRecord> result;
    for (const auto &[id, entry] : entries_) {
        if (entry.record.service == service && isInService(entry)) {
            result.push_back(entry.record);
        }
    }
    return result;
}

bool EndpointDirectory::isUsable(const EndpointRecord &record, TimePoint now) const
{
    const Entry *entry = findRun(record);
    return entry != nullptr && isInService(*entry) && now >= entry->closedUntil;
}

bool EndpointDirectory::isLeaving(const EndpointRecord &record) const
{
    if (const Entry *entry = findRun(record)) {
        return entry->isDraining();
    }
    // Under the id of a run that crashed, the next one may be registered already.
    return !entries_.contains(record.id);
}

std::vector<EndpointRecord> EndpointDirectory::allEndpoints() const
{
    std::vector<EndpointRecord> result;
    for (const auto &[id, entry] : entries_) {
        result.push_back(entry.record);
    }
    return result;
}

}
