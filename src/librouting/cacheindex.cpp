#include "cacheindex.h"

#include <algorithm>
#include <unordered_map>

namespace Chestnutcove {

namespace {

/** Changes that are kept; a receiver whose cursor is older gets a reset. */
constexpr std::size_t MaxChanges = 16384;

}

bool CacheIndex::apply(std::uint64_t first, const std::vector<CacheEvent> &events)
{
    if (first > nextEvent_) {
        return false;
    }
    const std::uint64_t alreadyApplied = nextEvent_ - first;
    for (std::size_t i = alreadyApplied; i < events.size(); ++i) {
        recordChange(events[i]);
        ++nextEvent_;
    }
    return true;
}

void CacheIndex::recordChange(const CacheEvent &event)
{
    const bool changed = event.stored ? blocks_.insert(event.block).second : blocks_.erase(event.block) > 0;
    if (!changed) {
        return;
    }
    changes_.push_back(event);
    ++lastChange_;
    if (changes_.size() > MaxChanges) {
        changes_.pop_front();
    }
}

void CacheIndex::reset(std::uint64_t nextEvent, const std::vector<std::uint64_t> &blocks)
{
    nextEvent_ = nextEvent;
    blocks_ = {blocks.begin(), blocks.end()};
    changes_.clear();
    ++lastChange_;
}

CacheDifference CacheIndex::difference(std::uint64_t cursor, std::size_t limit) const
{
    CacheDifference result;
    const std::uint64_t oldest = lastChange_ - changes_.size();
    if (cursor < oldest || cursor > lastChange_) {
        result.reset = true;
        result.stored.assign(blocks_.begin(), blocks_.end());
        result.cursor = lastChange_;
        return result;
    }
    const std::size_t start = cursor - oldest;
    const std::size_t end = std::min(changes_.size(), start + limit);
    // A block may be stored and evicted repeatedly within one difference; only its last change counts.
    std::unordered_map<std::uint64_t, bool> last;
    for (std::size_t i = start; i < end; ++i) {
        last[changes_[i].block] = changes_[i].stored;
    }
    for (const auto &[block, stored] : last) {
        (stored ? result.stored : result.evicted).push_back(block);
    }
    result.cursor = oldest + end;
    return result;
}

}
