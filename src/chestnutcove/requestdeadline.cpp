#include "requestdeadline.h"

#include "rendezvous.h"
#include "suspendclock.h"

#include <algorithm>

namespace Chestnutcove {

namespace {

/** Callers are told to retry after at most the time left divided by this. */
constexpr int RetryAfterDivisor = 3;
constexpr Milliseconds MinRetryAfter{50};
constexpr Milliseconds RetryAfterJitter{400};

Milliseconds maxWait(const AdmittedRequest &request)
{
    const Milliseconds timeout = request.route->timeout;
    return request.facts.maxWait ? std::min(timeout, *request.facts.maxWait) : timeout;
}

}

RequestDeadline::RequestDeadline(const AdmittedRequest &request, TimePoint arrivedAt)
    : time_(arrivedAt + maxWait(request))
    // The jitter depends on the request's id, so that callers that were refused at the same time retry at different times.
    , retryJitter_(rendezvousHash(request.facts.requestId) % RetryAfterJitter.count())
{
}

Milliseconds RequestDeadline::timeLeft() const
{
    return std::chrono::duration_cast<Milliseconds>(time_ - suspendAwareNow());
}

bool RequestDeadline::hasPassed() const
{
    return timeLeft() <= Milliseconds::zero();
}

Milliseconds RequestDeadline::retryAfter(Duration wait) const
{
    const Milliseconds delay = std::chrono::duration_cast<Milliseconds>(wait) + MinRetryAfter + retryJitter_;
    return std::max(MinRetryAfter, std::min(delay, timeLeft() / RetryAfterDivisor - MinRetryAfter));
}

}
