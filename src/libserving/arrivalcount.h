/**
 * Counts the arrivals of one request at endpoints, as the fleet's retry budget sees them: the first is free, and so is the first prefill
 * call that an engine accepts. Everything else is a repeat.
 */
#pragma once

#include "attemptpolicy.h"
#include "endpointloads.h"

namespace Chestnutcove {

class ArrivalCount
{
public:
    /** A further call of this kind would be a repeat, or might turn out to be one. */
    bool isRepeat(CallWork work) const;
    void callEnded(CallWork work, AttemptOutcome outcome);

private:
    bool prefillAccepted_ = false;
    unsigned arrivals_ = 0;
};

inline bool ArrivalCount::isRepeat(CallWork work) const
{
    return arrivals_ > 0 || (work == CallWork::Prefill && prefillAccepted_);
}

inline void ArrivalCount::callEnded(CallWork work, AttemptOutcome outcome)
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
