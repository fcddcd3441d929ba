/**
 * Bounds the bytes that a process keeps of its peers' messages, over all connections together. Each holder states how many it keeps. When
 * the sum exceeds the budget, the holder that keeps the most has to give them up, so that one peer's excess doesn't cost the others theirs.
 */
#pragma once

#include <cstddef>
#include <functional>
#include <unordered_set>

namespace Chestnutcove {

class ByteBudget
{
public:
    /** What one holder keeps; nothing once it is destroyed. */
    class Share
    {
    public:
        /**
         * @param onExceeded called when the holder has to free its bytes, which no longer count then; during a call of resize(), also
         * another holder's. It must neither destroy a share nor call resize().
         */
        Share(ByteBudget &budget, std::function<void()> onExceeded);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /** The holder keeps this many bytes from now on. */
        void resize(std::size_t bytes);
        /** The holder can't give its bytes up any more. They still count. */
        void fix();

    private:
        friend class ByteBudget;

        ByteBudget &budget_;
        std::function<void()> onExceeded_;
        std::size_t bytes_ = 0;
        bool isFixed_ = false;
    };

    explicit ByteBudget(std::size_t limit);
    ByteBudget(const ByteBudget &) = delete;
    ByteBudget &operator=(const ByteBudget &) = delete;

    std::size_t used() const;
    /** Whether so many more bytes would exceed the budget. */
    bool isExceededBy(std::size_t bytes) const;

private:
    void freeLargest();

    std::size_t limit_;
    /** Sum of bytes_ of all shares. */
    std::size_t used_ = 0;
    /** The shares that keep any bytes and can give them up. */
    std::unordered_set<Share *> shares_;
};

inline std::size_t ByteBudget::used() const
{
    return used_;
}

inline bool ByteBudget::isExceededBy(std::size_t bytes) const
{
    return used_ > limit_ || bytes > limit_ - used_;
}

}
