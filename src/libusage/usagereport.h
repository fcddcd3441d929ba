/**
 * The report of one usage window to the platform, and the concept of a sink that sends reports.
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
    /** The epoch of the holder's lease, by which the platform rejects reports of former holders. */
    std::uint64_t fencingToken = 0;
    CustomerUsage customers;
};

/** Delivers a report at most once for each call; the handler receives whether the platform accepted it. */
template<typename T>
concept UsageSink = requires(T sink, UsageReport report, std::chrono::milliseconds timeout, std::function<void(bool)> onDone)
{
    sink.report(report, timeout, onDone);
};

}
