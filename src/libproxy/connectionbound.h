/**
 * Bounds the connections that a process keeps open for its callers, over all listeners together. A connection whose request is in progress
 * counts twice, since an endpoint's connection belongs to it. To make room, connections without a request in progress are closed.
 */
#pragma once

#include "nametable.h"

#include <array>
#include <cstddef>
#include <functional>
#include <list>

namespace Chestnutcove {

/** What a connection is used for, in the order in which connections are closed to make room. */
enum class ConnectionUse {
    /** Between requests, or before the first. */
    Idle,
    /** A request is being read. */
    Reading,
    /** The response was written; the caller's side hasn't closed yet. */
    Closing,
    /** A request is in progress. It is never closed to make room. */
    Responding,
};

inline constexpr NameTable<ConnectionUse, 4> ConnectionUseNames{{
    {ConnectionUse::Idle, "idle"},
    {ConnectionUse::Reading, "reading"},
    {ConnectionUse::Closing, "closing"},
    {ConnectionUse::Responding, "responding"},
}};

class ConnectionBound
{
public:
    /** One connection; it counts until it is destroyed or evicted. */
    class Member
    {
    public:
        /** @param onEvicted called when the connection has to close. It may destroy this member and must not change another one. */
        Member(ConnectionBound &bound, std::function<void()> onEvicted);
        ~Member();
        Member(const Member &) = delete;
        Member &operator=(const Member &) = delete;

        /** States what the connection is used for from now on. */
        void setUse(ConnectionUse use);

    private:
        friend class ConnectionBound;
        void leave();

        ConnectionBound &bound_;
        std::function<void()> onEvicted_;
        ConnectionUse use_ = ConnectionUse::Idle;
        bool isCounted_ = false;
        std::list<Member *>::iterator position_;
    };

    explicit ConnectionBound(std::size_t limit);
    ConnectionBound(const ConnectionBound &) = delete;
    ConnectionBound &operator=(const ConnectionBound &) = delete;

    /**
     * Evicts connections, those first that have been in their use for the longest, until there is room for @p more.
     * @return false if there is still none.
     */
    bool makeRoom(std::size_t more);
    std::size_t used() const;

private:
    static std::size_t weightOf(ConnectionUse use);
    std::list<Member *> &membersOf(ConnectionUse use);
    /** @return false if there was none to evict. */
    bool evictOne();

    std::size_t limit_;
    std::size_t used_ = 0;
    /** By use; the longest in it first. */
    std::array<std::list<Member *>, ConnectionUseNames.size()> members_;
};

inline std::size_t ConnectionBound::used() const
{
    return used_;
}

}
