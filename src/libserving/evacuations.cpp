#include "evacuations.h"

#include <utility>

namespace Chestnutcove {

Evacuations::Evacuations(EvacuationOptions options, ReleaseHandler onReleased)
    : options_(options)
    , onReleased_(std::move(onReleased))
{
}

void Evacuations::replaceAll(const std::set<std::string> &dataCentres, TimePoint now)
{
    for (const auto &dataCentre : dataCentres) {
        onRowWritten(dataCentre, now);
    }
    const bool mayBeOutOfDate = storeRestoredAt_ && now - *storeRestoredAt_ < options_.rewriteTime;
    for (auto it = evacuations_.begin(); it != evacuations_.end();) {
        const auto current = it++;
        if (dataCentres.contains(current->first)) {
            continue;
        }
        if (mayBeOutOfDate) {
            current->second.keptUntil = *storeRestoredAt_ + options_.rewriteTime;
        } else {
            release(current, now);
        }
    }
}

void Evacuations::onRowWritten(const std::string &dataCentre, TimePoint now)
{
    const auto [it, isNew] = evacuations_.try_emplace(dataCentre, Evacuation{now, std::nullopt});
    it->second.keptUntil.reset();
}

void Evacuations::onRowRemoved(const std::string &dataCentre, TimePoint now)
{
    const auto it = evacuations_.find(dataCentre);
    if (it != evacuations_.end()) {
        release(it, now);
    }
}

void Evacuations::onStoreRestored(TimePoint now)
{
    storeRestoredAt_ = now;
}

void Evacuations::releaseExpired(TimePoint now)
{
    for (auto it = evacuations_.begin(); it != evacuations_.end();) {
        const auto current = it++;
        if (current->second.keptUntil && now >= *current->second.keptUntil) {
            release(current, now);
        }
    }
}

std::set<std::string> Evacuations::dataCentres() const
{
    std::set<std::string> result;
    for (const auto &[dataCentre, evacuation] : evacuations_) {
        result.insert(dataCentre);
    }
    return result;
}

void Evacuations::release(std::map<std::string, Evacuation>::iterator evacuation, TimePoint now)
{
    const auto released = evacuations_.extract(evacuation);
    if (onReleased_) {
        onReleased_(released.key(), now, now - released.mapped().readAt);
    }
}

}
