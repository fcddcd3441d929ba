/**
 * One window's report to the platform, and the concept of what takes it.
 */
#pragma once

#include "usageledger.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace Chestnutcove {

struct UsageReport
{
    WindowNumber window = 0;
    std::chrono::milliseconds windowLength{0};
    std::string holder;
    /** The lease's epoch, which fences reports of former holders. */
    std::uint64_t fencingToken = 0;
    CustomerUsage customers;
};

/** Takes a report at most once for each call; the handler gets whether the platform accepted it. */
template<typename T>
concept UsageSink = requires(T sink, UsageReport report, std::chrono::milliseconds timeout, std::function<void(bool)> onDone)
{
    sink.report(report, timeout, onDone);
};

}
