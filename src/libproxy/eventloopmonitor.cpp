#include "eventloopmonitor.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr Milliseconds TimerInterval{50};
/** Lateness from which on it is logged, at most once in LogInterval. */
constexpr Milliseconds LoggedLateness{100};
constexpr Milliseconds LogInterval{500};

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(duration).count());
}

}

EventLoopMonitor::EventLoopMonitor(asio::io_context &context, std::function<Load()> load, Metrics &metrics, const Log &log)
    : timer_(context)
    , load_(std::move(load))
    , distribution_(metrics.distribution("event_loop_lateness_seconds"))
    , log_(log)
{
}

void EventLoopMonitor::start()
{
    awaitTimer();
}

void EventLoopMonitor::awaitTimer()
{
    timer_.expires_after(TimerInterval);
    timer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            onTimer();
            awaitTimer();
        }
    });
}

void EventLoopMonitor::onTimer()
{
    const TimePoint now = std::chrono::steady_clock::now();
    lateness_ = std::max<Duration>(now - timer_.expiry(), Duration::zero());
    distribution_.add(toSeconds(lateness_));
    greatest_ = std::max(greatest_, lateness_);
    logLateness(now);
}

void EventLoopMonitor::logLateness(TimePoint now)
{
    if (greatest_ < LoggedLateness || now - loggedAt_ < LogInterval) {
        return;
    }
    const Load load = load_();
    log_.warning("event loop late",
                 {{"ms", millisecondsText(lateness_)},
                  {"greatestMs", millisecondsText(greatest_)},
                  {"callerConnections", std::to_string(load.callerConnections)},
                  {"requestsOfGoneCallers", std::to_string(load.requestsOfGoneCallers)},
                  {"requestsInProgress", std::to_string(load.requestsInProgress)}});
    loggedAt_ = now;
    greatest_ = Duration::zero();
}

}
