/**
 * Decides what follows an attempt at an endpoint: a retry, relaying the endpoint's response, or an error response of the gateway. The
 * response "not run" is given only if no endpoint has run any part of the request and none will. Engines don't run what they prefill, so a
 * prefill call counts as no attempt, unless its answer shows that the endpoint did something else.
 */
#pragma once

#include "nametable.h"
#include "routecatalogue.h"

namespace Chestnutcove {

enum class AttemptOutcome {
    /** No connection was established: the endpoint has received nothing. */
    NotSent,
    /** The endpoint states that it did not run the request. */
    NotRun,
    /** The request was sent and no response arrived: it may have run. */
    NoAnswer,
    /** The response was truncated or malformed: the request has run, or may have. */
    Broken,
    /** The endpoint ran the request and reports a failure. */
    Failed,
    Succeeded,
};

inline constexpr NameTable<AttemptOutcome, 6> AttemptOutcomeNames{{
    {AttemptOutcome::NotSent, "not sent"},
    {AttemptOutcome::NotRun, "not run"},
    {AttemptOutcome::NoAnswer, "no answer"},
    {AttemptOutcome::Broken, "broken"},
    {AttemptOutcome::Failed, "failed"},
    {AttemptOutcome::Succeeded, "succeeded"},
}};

enum class NextStep {
    Retry,
    /** Forward the endpoint's response to the caller. */
    Relay,
    /** Respond that the request has not run, with the time after which to retry. */
    RefuseNotRun,
    /** Respond that the outcome of the request is unknown. */
    ReportUnknownOutcome,
};

class AttemptPolicy
{
public:
    /** @param mayRepeat the request may run more than once. @param maxAttempts number of endpoints that may receive it. */
    AttemptPolicy(bool mayRepeat, unsigned maxAttempts);

    /** The request is about to be sent to an endpoint. */
    void onAttemptStarted();
    /** @param budgetAllows whether a retry fits into the retry budget; called only if a retry would be made. */
    template<typename BudgetCheck>
    NextStep onAttemptEnded(AttemptOutcome outcome, BudgetCheck budgetAllows);
    /** An endpoint answered a prefill call as one that runs the request does. It counts as an attempt that may have run. */
    void onPrefillRun();
    /** Whether the request may be sent to an endpoint again. */
    bool mayRunAgain() const;
    /** The response if no further attempt is made, for example because the deadline has passed. */
    NextStep stepWithoutRetry() const;
    /** Whether some endpoint has run the request, or may have. */
    bool mayHaveRun() const;
    unsigned attempts() const;

private:
    bool mayRetry(AttemptOutcome outcome) const;
    NextStep finalStep(AttemptOutcome outcome) const;

    /** Connection failures after which the request is refused. */
    static constexpr unsigned MaxConnectionFailures = 3;

    bool mayRepeat_;
    unsigned maxAttempts_;
    unsigned attempts_ = 0;
    unsigned connectionFailures_ = 0;
    bool inProgress_ = false;
    bool mayHaveRun_ = false;
};

template<typename BudgetCheck>
NextStep AttemptPolicy::onAttemptEnded(AttemptOutcome outcome, BudgetCheck budgetAllows)
{
    inProgress_ = false;
    if (outcome == AttemptOutcome::NotSent) {
        // The endpoint received nothing, so this counts neither as an attempt nor against the retry budget.
        --attempts_;
        ++connectionFailures_;
        return connectionFailures_ < MaxConnectionFailures ? NextStep::Retry : finalStep(outcome);
    }
    if (outcome != AttemptOutcome::NotRun) {
        mayHaveRun_ = true;
    }
    if (outcome == AttemptOutcome::Succeeded) {
        return NextStep::Relay;
    }
    return mayRetry(outcome) && budgetAllows() ? NextStep::Retry : finalStep(outcome);
}

inline bool AttemptPolicy::mayRunAgain() const
{
    return !mayHaveRun() || (mayRepeat_ && attempts_ < maxAttempts_);
}

inline bool AttemptPolicy::mayHaveRun() const
{
    return mayHaveRun_ || inProgress_;
}

inline unsigned AttemptPolicy::attempts() const
{
    return attempts_;
}

}
