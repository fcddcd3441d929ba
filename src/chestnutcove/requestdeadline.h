/**
 * Until when a request must have its answer, and when its caller may come back if it is refused.
 */
#pragma once

#include "admittedrequest.h"
#include "timepoint.h"

#include <string>

namespace Chestnutcove {

class RequestDeadline
{
public:
    /** @param arrivedAt when the request arrived, on the suspend-aware clock. */
    RequestDeadline(const AdmittedRequest &request, TimePoint arrivedAt);

    TimePoint time() const;
    /** Negative after the deadline. */
    Milliseconds timeLeft() const;
    bool hasPassed() const;
    /** Time after which the caller may retry, early enough for the deadline. @param wait until the cause of the refusal is gone. */
    Milliseconds retryAfter(Duration wait) const;

private:
    TimePoint time_;
    /** Different for each request. */
    Milliseconds retryJitter_;
};

inline TimePoint RequestDeadline::time() const
{
    return time_;
}

}
