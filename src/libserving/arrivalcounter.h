/**
 * Decides which calls of one request are charged to the retry budget. The first call that reaches an endpoint is free, and so is the first
 * prefill call that an engine accepts; every further call is a retry.
 */
#pragma once

#include "attemptpolicy.h"
#include "endpointloads.h"

namespace Chestnutcove {

class ArrivalCounter
{
public:
    /** Whether a further call of this kind is a retry, or may turn out to be one. */
    bool isRetry(CallWork work) const;
    void onCallEnded(CallWork work, AttemptOutcome outcome);

private:
    bool prefillAccepted_ = false;
    unsigned arrivals_ = 0;
};

inline bool ArrivalCounter::isRetry(CallWork work) const
{
    return arrivals_ > 0 || (work == CallWork::Prefill && prefillAccepted_);
}

inline void ArrivalCounter::onCallEnded(CallWork work, AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::NotSent) {
        return;
    }
    const bool freePrefill = work == CallWork::Prefill && outcome == AttemptOutcome::Succeeded && !prefillAccepted_;
    if (freePrefill) {
        prefillAccepted_ = true;
        return;
    }
    ++arrivals_;
}

}
