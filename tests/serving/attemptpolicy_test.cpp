/**
 * Tests of AttemptPolicy and ArrivalCounter: the next step after an attempt, which requests may be retried, and which calls are charged to
 * the retry budget.
 */
#include "arrivalcounter.h"
#include "attemptpolicy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Chestnutcove {

namespace {

bool allowRetry()
{
    return true;
}

bool denyRetry()
{
    return false;
}

TEST(AttemptPolicy, NonIdempotentRequest_NoAnswer_IsNotRetriedAndOutcomeIsReportedUnknown)
{
    AttemptPolicy policy(false, 3);
    policy.onAttemptStarted();
    EXPECT_EQ(policy.onAttemptEnded(AttemptOutcome::NoAnswer, allowRetry), NextStep::ReportUnknownOutcome);
    EXPECT_EQ(policy.stepWithoutRetry(), NextStep::ReportUnknownOutcome);
}

TEST(AttemptPolicy, NonIdempotentRequest_NotRunAndAttemptsLeft_IsRetried)
{
    AttemptPolicy policy(false, 2);
    policy.onAttemptStarted();
    EXPECT_EQ(policy.onAttemptEnded(AttemptOutcome::NotRun, allowRetry), NextStep::Retry);
    policy.onAttemptStarted();
    EXPECT_EQ(policy.onAttemptEnded(AttemptOutcome::NotRun, allowRetry), NextStep::RefuseNotRun);
}

TEST(AttemptPolicy, IdempotentRequest_FailedAndBudgetExhausted_EndpointAnswerIsRelayed)
{
    AttemptPolicy policy(true, 2);
    policy.onAttemptStarted();
    EXPECT_EQ(policy.onAttemptEnded(AttemptOutcome::Failed, denyRetry), NextStep::Relay);
}

TEST(AttemptPolicy, IdempotentRequest_NoAnswerThenRefused_IsNotReportedAsNotRun)
{
    AttemptPolicy policy(true, 2);
    policy.onAttemptStarted();
    EXPECT_EQ(policy.onAttemptEnded(AttemptOutcome::NoAnswer, allowRetry), NextStep::Retry);
    policy.onAttemptStarted();
    EXPECT_EQ(policy.onAttemptEnded(AttemptOutcome::NotRun, allowRetry), NextStep::ReportUnknownOutcome);
}

TEST(AttemptPolicy, AttemptInProgress_Abandoned_IsNotReportedAsNotRun)
{
    AttemptPolicy policy(false, 1);
    EXPECT_EQ(policy.stepWithoutRetry(), NextStep::RefuseNotRun);
    policy.onAttemptStarted();
    EXPECT_EQ(policy.stepWithoutRetry(), NextStep::ReportUnknownOutcome);
}

TEST(AttemptPolicy, NoConnection_RepeatedFailures_IsRefusedAsNotRun)
{
    AttemptPolicy policy(false, 1);
    for (int i = 0; i < 2; ++i) {
        policy.onAttemptStarted();
        EXPECT_EQ(policy.onAttemptEnded(AttemptOutcome::NotSent, allowRetry), NextStep::Retry);
    }
    policy.onAttemptStarted();
    EXPECT_EQ(policy.onAttemptEnded(AttemptOutcome::NotSent, allowRetry), NextStep::RefuseNotRun);
}

// Guards against "not run", and a second run, after a prefill call that ran the request.
TEST(AttemptPolicy, NonIdempotentRequest_PrefillCallRanIt_IsNotSentAgainAndOutcomeIsReportedUnknown)
{
    AttemptPolicy policy(false, 3);
    EXPECT_TRUE(policy.mayRunAgain());
    policy.onPrefillRun();
    EXPECT_FALSE(policy.mayRunAgain());
    EXPECT_EQ(policy.stepWithoutRetry(), NextStep::ReportUnknownOutcome);
}

TEST(AttemptPolicy, IdempotentRequest_PrefillCallRanIt_CountsAsOneAttempt)
{
    AttemptPolicy policy(true, 2);
    policy.onPrefillRun();
    EXPECT_TRUE(policy.mayRunAgain());
    policy.onPrefillRun();
    EXPECT_FALSE(policy.mayRunAgain());
}

/** Property: after an attempt that may have run, a non-idempotent request is never retried and no request is reported as not run. */
RC_GTEST_PROP(AttemptPolicy, AnyOutcomes_NonIdempotent_RunsOnceAndNotRunIsTrue, (std::vector<int> outcomes, bool mayRepeat))
{
    AttemptPolicy policy(mayRepeat, 3);
    bool mayHaveRun = false;
    for (const int number : outcomes) {
        const auto outcome = AttemptOutcomeNames[static_cast<std::size_t>(std::abs(number % 6))].first;
        RC_ASSERT(mayRepeat || !mayHaveRun);
        RC_ASSERT(policy.attempts() < 3);
        policy.onAttemptStarted();
        mayHaveRun = mayHaveRun || (outcome != AttemptOutcome::NotSent && outcome != AttemptOutcome::NotRun);
        const NextStep step = policy.onAttemptEnded(outcome, allowRetry);
        RC_ASSERT(step != NextStep::RefuseNotRun || !mayHaveRun);
        if (step != NextStep::Retry) {
            return;
        }
    }
}

TEST(ArrivalCounter, PrefillThenRun_OnceEach_AreNotRetries)
{
    ArrivalCounter counter;
    EXPECT_FALSE(counter.isRetry(CallWork::Prefill));
    counter.onCallEnded(CallWork::Prefill, AttemptOutcome::Succeeded);
    EXPECT_FALSE(counter.isRetry(CallWork::Run));
}

TEST(ArrivalCounter, RunRefusedAfterPrefill_SecondPrefillAndSecondRun_AreRetries)
{
    ArrivalCounter counter;
    counter.onCallEnded(CallWork::Prefill, AttemptOutcome::Succeeded);
    counter.onCallEnded(CallWork::Run, AttemptOutcome::NotRun);
    EXPECT_TRUE(counter.isRetry(CallWork::Prefill));
    counter.onCallEnded(CallWork::Prefill, AttemptOutcome::Succeeded);
    EXPECT_TRUE(counter.isRetry(CallWork::Run));
}

TEST(ArrivalCounter, PrefillRefused_NextCalls_AreRetries)
{
    ArrivalCounter counter;
    counter.onCallEnded(CallWork::Prefill, AttemptOutcome::NotRun);
    EXPECT_TRUE(counter.isRetry(CallWork::Prefill));
    EXPECT_TRUE(counter.isRetry(CallWork::Run));
}

TEST(ArrivalCounter, FirstCallNotSent_NextCall_IsNotARetry)
{
    ArrivalCounter counter;
    counter.onCallEnded(CallWork::Run, AttemptOutcome::NotSent);
    EXPECT_FALSE(counter.isRetry(CallWork::Run));
}

}

}
