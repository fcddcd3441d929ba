/**
 * The sidecar's index of the prompt blocks that its endpoint caches, kept from the endpoint's events, which come late and with gaps, and
 * handed on to each gateway as differences.
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
    /** The receiver forgets what it knew before. */
    bool reset = false;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> evicted;
    /** To be given to difference() next time. */
    std::uint64_t cursor = 0;
};

class CacheIndex
{
public:
    /** Sequence number of the next event that apply() expects. */
    std::uint64_t nextEvent() const;
    /** @return false when events before @p first are missing; the caller then reads the whole list and calls reset(). */
    bool apply(std::uint64_t first, const std::vector<CacheEvent> &events);
    void reset(std::uint64_t nextEvent, const std::vector<std::uint64_t> &blocks);

    /** What changed since a cursor; at most @p limit blocks. Cursor 0 or one too old gives a reset. */
    CacheDifference difference(std::uint64_t cursor, std::size_t limit) const;
    std::size_t size() const;

private:
    void record(const CacheEvent &event);

    std::uint64_t nextEvent_ = 0;
    std::unordered_set<std::uint64_t> blocks_;
    /** The last changes; the newest one has the number lastChange_. */
    std::deque<CacheEvent> changes_;
    /** Starts at 1, so that cursor 0 means nothing was received. */
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
