#include "stopschedule.h"

namespace Chestnutcove {

namespace {

/** Callers may still open connections until the load balancer has noticed that this gateway is not ready. */
constexpr Milliseconds LoadBalancerDelay{2500};
constexpr Milliseconds AcceptAllPeriod{2800};
/** Times before the platform would kill the process. */
constexpr Milliseconds LeaveMargin{1500};
constexpr Milliseconds EndRequestsMargin{700};
constexpr Milliseconds EndProcessMargin{400};

}

StopSchedule::StopSchedule(Milliseconds grace)
    : grace_(grace)
{
}

void StopSchedule::begin(TimePoint now)
{
    begunAt_ = now;
}

bool StopSchedule::isStopping() const
{
    return begunAt_.has_value();
}

bool StopSchedule::hasReached(TimePoint now, Duration sinceBegin) const
{
    return begunAt_ && now - *begunAt_ >= sinceBegin;
}

bool StopSchedule::mayBegin(TimePoint now, TimePoint limitEnd) const
{
    return !hasReached(now, AcceptAllPeriod) || (!mustLeave(now) && !mustLeave(limitEnd));
}

bool StopSchedule::mayCloseIdleConnections(TimePoint now) const
{
    return hasReached(now, LoadBalancerDelay);
}

bool StopSchedule::mustLeave(TimePoint now) const
{
    return hasReached(now, grace_ - LeaveMargin);
}

bool StopSchedule::mustEndRequests(TimePoint now) const
{
    return hasReached(now, grace_ - EndRequestsMargin);
}

bool StopSchedule::mustEndProcess(TimePoint now) const
{
    return hasReached(now, grace_ - EndProcessMargin);
}

}
