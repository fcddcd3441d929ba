/**
 * The times of a planned stop: until when requests are accepted and sent to endpoints, and when the process ends the rest and itself, so
 * that none is cut off by the kill at the end of the grace.
 */
#pragma once

#include "timepoint.h"

#include <optional>

namespace Chestnutcove {

class StopSchedule
{
public:
    /** @param grace time from the begin of a stop to the kill. */
    explicit StopSchedule(Milliseconds grace);

    void begin(TimePoint now);
    bool isStopping() const;
    /**
     * Whether a request may be accepted, or be sent to an endpoint, also once more. For a short time after the stop began each may; then
     * only one whose time limit, at @p limitEnd, ends before the process does.
     */
    bool mayBegin(TimePoint now, TimePoint limitEnd) const;
    /** The load balancer has noticed that the gateway isn't ready, so that idle connections may be closed. */
    bool mayCloseIdleConnections(TimePoint now) const;
    /** The last moment for what the process has to store before it ends. */
    bool mustLeave(TimePoint now) const;
    /** Requests that have no answer by now get one from the gateway. */
    bool mustEndRequests(TimePoint now) const;
    bool mustEndProcess(TimePoint now) const;

private:
    bool hasReached(TimePoint now, Duration sinceBegin) const;

    Milliseconds grace_;
    std::optional<TimePoint> begunAt_;
};

}
