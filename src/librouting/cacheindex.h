/**
 * The sidecar's index of the prompt blocks that its endpoint caches. It follows the endpoint's cache events, which arrive late and with
 * gaps, and is replicated to each gateway as differences.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_set>
#include <vector>

namespace Chestnutcove {

struct CacheEvent
{
    bool stored = true;
    std::uint64_t block = 0;
};

struct CacheDifference
{
    /** The receiver must discard the blocks that it knew before. */
    bool reset = false;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> evicted;
    /** To be passed to difference() next time. */
    std::uint64_t cursor = 0;
};

class CacheIndex
{
public:
    /** Sequence number of the next event that apply() expects. */
    std::uint64_t nextEvent() const;
    /**
     * Applies events that are numbered from @p first, and skips those that were applied before.
     * @return false if events before @p first are missing; the caller then reads the list of all blocks and calls reset().
     */
    bool apply(std::uint64_t first, const std::vector<CacheEvent> &events);
    void reset(std::uint64_t nextEvent, const std::vector<std::uint64_t> &blocks);

    /** Changes since a cursor, at most @p limit of them. Cursor 0, or one older than the kept changes, gives a reset with all blocks. */
    CacheDifference difference(std::uint64_t cursor, std::size_t limit) const;
    std::size_t size() const;

private:
    void recordChange(const CacheEvent &event);

    std::uint64_t nextEvent_ = 0;
    std::unordered_set<std::uint64_t> blocks_;
    /** The most recent changes; the newest one has the number lastChange_. */
    std::deque<CacheEvent> changes_;
    /** Starts at 1, so that cursor 0 stands for a receiver that has received nothing. */
    std::uint64_t lastChange_ = 1;
};

inline std::uint64_t CacheIndex::nextEvent() const
{
    return nextEvent_;
}

inline std::size_t CacheIndex::size() const
{
    return blocks_.size();
}

}
