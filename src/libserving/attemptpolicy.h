/**
 * Decides what follows an attempt at an endpoint: a further attempt, the endpoint's own answer, or which final answer of ours. A refusal
 * that says "not run" is given only where no endpoint ran any part of the request and none will.
 */
#pragma once

#include "nametable.h"
#include "routecatalogue.h"

namespace Chestnutcove {

enum class AttemptOutcome {
    /** No connection: the endpoint has seen nothing. */
    NotSent,
    /** The endpoint states that it did not run the request. */
    NotRun,
    /** Sent, and no answer came: it may have run. */
    NoAnswer,
    /** The answer was cut or was no answer: it has run, or may have. */
    Broken,
    /** The endpoint ran it and reports a failure. */
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
    TryAgain,
    /** Pass on what the endpoint answered. */
    Relay,
    /** Say that the request has not run, and when to come back. */
    RefuseNotRun,
    /** Say that the outcome is unknown. */
    ReportFailure,
};

class AttemptPolicy
{
public:
    /** @param mayRepeat the request may run more than once. @param maxAttempts endpoints that may get it. */
    AttemptPolicy(bool mayRepeat, unsigned maxAttempts);

    /** An endpoint gets the request now. */
    void attemptStarted();
    /** @param budgetAllows a further arrival fits into the retry budget; asked for only where one would be made. */
    template<typename BudgetCheck>
    NextStep attemptEnded(AttemptOutcome outcome, BudgetCheck budgetAllows);
    /** What to say if nothing more is tried, for example at the deadline. */
    NextStep giveUp() const;
    /** Some endpoint has run the request, or may have. */
    bool mayHaveRun() const;
    unsigned attempts() const;

private:
    bool mayTryAgain(AttemptOutcome outcome) const;
    NextStep finalStep(AttemptOutcome outcome) const;

    /** Connections that may fail in a row before the request is refused. */
    static constexpr unsigned MaxUnsent = 3;

    bool mayRepeat_;
    unsigned maxAttempts_;
    unsigned attempts_ = 0;
    unsigned unsent_ = 0;
    bool inProgress_ = false;
    bool mayHaveRun_ = false;
};

template<typename BudgetCheck>
NextStep AttemptPolicy::attemptEnded(AttemptOutcome outcome, BudgetCheck budgetAllows)
{
    inProgress_ = false;
    if (outcome == AttemptOutcome::NotSent) {
        // Nothing arrived: it counts neither as an attempt nor against the budget.
        --attempts_;
        ++unsent_;
        return unsent_ < MaxUnsent ? NextStep::TryAgain : finalStep(outcome);
    }
    if (outcome != AttemptOutcome::NotRun) {
        mayHaveRun_ = true;
    }
    if (outcome == AttemptOutcome::Succeeded) {
        return NextStep::Relay;
    }
    return mayTryAgain(outcome) && budgetAllows() ? NextStep::TryAgain : finalStep(outcome);
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
