#include "attemptpolicy.h"

namespace Chestnutcove {

AttemptPolicy::AttemptPolicy(bool mayRepeat, unsigned maxAttempts)
    : mayRepeat_(mayRepeat)
    , maxAttempts_(maxAttempts)
{
}

void AttemptPolicy::onAttemptStarted()
{
    ++attempts_;
    inProgress_ = true;
}

void AttemptPolicy::onPrefillRun()
{
    ++attempts_;
    mayHaveRun_ = true;
}

bool AttemptPolicy::mayRetry(AttemptOutcome outcome) const
{
    if (attempts_ >= maxAttempts_) {
        return false;
    }
    return mayRepeat_ || (outcome == AttemptOutcome::NotRun && !mayHaveRun_);
}

NextStep AttemptPolicy::finalStep(AttemptOutcome outcome) const
{
    if (outcome == AttemptOutcome::Failed) {
        return NextStep::Relay;
    }
    return mayHaveRun_ ? NextStep::ReportUnknownOutcome : NextStep::RefuseNotRun;
}

NextStep AttemptPolicy::stepWithoutRetry() const
{
    return mayHaveRun() ? NextStep::ReportUnknownOutcome : NextStep::RefuseNotRun;
}

}
