/**
 * Measures how late an event loop is. A loop with more work than processor time handles everything late: requests, callers' closes, answers
 * and timers alike. The lateness is the time by which a periodic timer missed its moment.
 */
#pragma once

#include "log.h"
#include "metrics.h"
#include "timepoint.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>

namespace Chestnutcove {

class EventLoopMonitor
{
public:
    /** What a process has in progress, for the log. */
    struct Load
    {
        std::size_t callerConnections = 0;
        /** Since the start. */
        std::uint64_t requestsOfGoneCallers = 0;
        std::size_t requestsInProgress = 0;
    };

    EventLoopMonitor(asio::io_context &context, std::function<Load()> load, Metrics &metrics, const Log &log);

    void start();
    /** How late the timer ran the last time. */
    Duration lateness() const;

private:
    void awaitTimer();
    void onTimer();
    void logLateness(TimePoint now);

    asio::steady_timer timer_;
    std::function<Load()> load_;
    Distribution &distribution_;
    const Log &log_;
    Duration lateness_{};
    /** The greatest since the last line of the log. */
    Duration greatest_{};
    TimePoint loggedAt_{};
};

inline Duration EventLoopMonitor::lateness() const
{
    return lateness_;
}

}
