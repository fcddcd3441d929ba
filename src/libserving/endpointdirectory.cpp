#include "endpointdirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Chestnutcove {

EndpointDirectory::EndpointDirectory(EndpointDirectoryOptions options)
    : options_(options)
{
}

void EndpointDirectory::replaceAll(const std::vector<EndpointRecord> &records, TimePoint now)
{
    std::set<std::string> present;
    for (const auto &record : records) {
        present.insert(record.id);
        announced(record);
    }
    std::vector<std::string> missing;
    for (const auto &[id, entry] : entries_) {
        if (!present.contains(id) && !entry.keptUntil) {
            missing.push_back(id);
        }
    }
    // Half of all endpoints don't leave between two reads: their entries lapsed.
    const bool lapsed = missing.size() > 1 && missing.size() * 2 >= entries_.size();
    if (lapsed && !regainedAt_) {
        regainedAt_ = now;
    }
    for (const auto &id : missing) {
        vanished(id, now);
    }
}

void EndpointDirectory::announced(const EndpointRecord &record)
{
    const auto it = entries_.find(record.id);
    if (it == entries_.end()) {
        entries_.emplace(record.id, Entry{record, std::nullopt, std::nullopt, {}});
        return;
    }
    Entry &entry = it->second;
    if (!entry.record.isSameRun(record)) {
        ended_.push_back(entry.record);
        entry.nextStage.reset();
    }
    entry.record = record;
    entry.keptUntil.reset();
}

void EndpointDirectory::stageChangeAnnounced(const std::string &id, EngineStage stage, TimePoint until)
{
    const auto it = entries_.find(id);
    if (it != entries_.end()) {
        it->second.nextStage = stage;
        it->second.changingUntil = until;
    }
}

void EndpointDirectory::vanished(const std::string &id, TimePoint now)
{
    const auto it = entries_.find(id);
    if (it == entries_.end() || it->second.keptUntil) {
        return;
    }
    if (storeAway_) {
        it->second.keptUntil = TimePoint::max();
        return;
    }
    const bool recentlyAway = regainedAt_ && now - *regainedAt_ < options_.announceAgain;
    if (recentlyAway && !it->second.record.draining) {
        it->second.keptUntil = *regainedAt_ + options_.announceAgain;
        return;
    }
    remove(it);
}

void EndpointDirectory::remove(std::map<std::string, Entry>::iterator entry)
{
    ended_.push_back(entry->second.record);
    entries_.erase(entry);
}

void EndpointDirectory::storeLost()
{
    storeAway_ = true;
}

void EndpointDirectory::storeRegained(TimePoint now)
{
    storeAway_ = false;
    regainedAt_ = now;
    for (auto &[id, entry] : entries_) {
        if (entry.keptUntil) {
            entry.keptUntil = now + options_.announceAgain;
        }
    }
}

std::vector<EndpointRecord> EndpointDirectory::takeEnded(TimePoint now)
{
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto current = it++;
        if (current->second.keptUntil && now >= *current->second.keptUntil) {
            remove(current);
        }
    }
    if (regainedAt_ && now - *regainedAt_ >= options_.announceAgain) {
        regainedAt_.reset();
    }
    return std::exchange(ended_, {});
}

std::vector<EndpointRecord> EndpointDirectory::usable(const std::string &service, TimePoint now) const
{
    std::vector<EndpointRecord> result;
    for (const auto &[id, entry] : entries_) {
        const bool changing = entry.nextStage && entry.nextStage != entry.record.stage && now < entry.changingUntil;
        if (entry.record.service == service && !entry.record.draining && !changing) {
            result.push_back(entry.record);
        }
    }
    return result;
}

std::vector<EndpointRecord> EndpointDirectory::staying(const std::string &service) const
{
    std::vector<EndpointRecord> result;
    for (const auto &[id, entry] : entries_) {
        if (entry.record.service == service && !entry.record.draining) {
            result.push_back(entry.record);
        }
    }
    return result;
}

bool EndpointDirectory::isUsable(const EndpointRecord &record) const
{
    const auto it = entries_.find(record.id);
    return it != entries_.end() && it->second.record.isSameRun(record) && !it->second.record.draining;
}

std::vector<EndpointRecord> EndpointDirectory::all() const
{
    std::vector<EndpointRecord> result;
    for (const auto &[id, entry] : entries_) {
        result.push_back(entry.record);
    }
    return result;
}

}
