/**
 * Read-copy-update of one value: readers take an immutable snapshot without waiting for writers, a writer replaces the
 * whole value. Used for what every request reads and few events change, such as the catalogue.
 */
#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace Chestnutcove {

template<typename T>
class Snapshot
{
public:
    explicit Snapshot(T value)
        : current_(std::make_shared<const T>(std::move(value)))
    {
    }

    std::shared_ptr<const T> read() const
    {
        return current_.load(std::memory_order_acquire);
    }

    void replace(T value)
    {
        current_.store(std::make_shared<const T>(std::move(value)), std::memory_order_release);
    }

private:
    /** Never null. */
    std::atomic<std::shared_ptr<const T>> current_;
};

}
