/**
 * AttemptPolicy and ArrivalCount: what follows an attempt, what may be repeated, and what the retry budget is charged for.
 */
#include "arrivalcount.h"
#include "attemptpolicy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Chestnutcove {

namespace {

bool yes()
{
    return true;
}

bool no()
{
    return false;
}

TEST(AttemptPolicy, NonIdempotentRequestWithoutAnswer_Ends_IsNeverSentAgainNorCalledNotRun)
{
    AttemptPolicy policy(false, 3);
    policy.attemptStarted();
    EXPECT_EQ(policy.attemptEnded(AttemptOutcome::NoAnswer, yes), NextStep::ReportFailure);
    EXPECT_EQ(policy.giveUp(), NextStep::ReportFailure);
}

TEST(AttemptPolicy, NonIdempotentRequestNotRun_AttemptsLeft_IsSentAgain)
{
    AttemptPolicy policy(false, 2);
    policy.attemptStarted();
    EXPECT_EQ(policy.attemptEnded(AttemptOutcome::NotRun, yes), NextStep::TryAgain);
    policy.attemptStarted();
    EXPECT_EQ(policy.attemptEnded(AttemptOutcome::NotRun, yes), NextStep::RefuseNotRun);
}

TEST(AttemptPolicy, IdempotentRequestFailed_BudgetUsedUp_EndpointsAnswerIsPassedOn)
{
    AttemptPolicy policy(true, 2);
    policy.attemptStarted();
    EXPECT_EQ(policy.attemptEnded(AttemptOutcome::Failed, no), NextStep::Relay);
}

TEST(AttemptPolicy, IdempotentRequestMayHaveRun_ThenRefused_IsNotCalledNotRun)
{
    AttemptPolicy policy(true, 2);
    policy.attemptStarted();
    EXPECT_EQ(policy.attemptEnded(AttemptOutcome::NoAnswer, yes), NextStep::TryAgain);
    policy.attemptStarted();
    EXPECT_EQ(policy.attemptEnded(AttemptOutcome::NotRun, yes), NextStep::ReportFailure);
}

TEST(AttemptPolicy, AttemptInProgress_GivenUp_IsNotCalledNotRun)
{
    AttemptPolicy policy(false, 1);
    EXPECT_EQ(policy.giveUp(), NextStep::RefuseNotRun);
    policy.attemptStarted();
    EXPECT_EQ(policy.giveUp(), NextStep::ReportFailure);
}

TEST(AttemptPolicy, NoConnectionAgainAndAgain_Ends_AfterAFewAsNotRun)
{
    AttemptPolicy policy(false, 1);
    for (int i = 0; i < 2; ++i) {
        policy.attemptStarted();
        EXPECT_EQ(policy.attemptEnded(AttemptOutcome::NotSent, yes), NextStep::TryAgain);
    }
    policy.attemptStarted();
    EXPECT_EQ(policy.attemptEnded(AttemptOutcome::NotSent, yes), NextStep::RefuseNotRun);
}

/** Oracle: a request that may run once is never sent again after an attempt that may have run, and "not run" is never said after one. */
RC_GTEST_PROP(AttemptPolicy, AnyOutcomes_NonIdempotent_RunsOnceAndNotRunIsTrue, (std::vector<int> outcomes, bool mayRepeat))
{
    AttemptPolicy policy(mayRepeat, 3);
    bool mayHaveRun = false;
    for (const int number : outcomes) {
        const auto outcome = AttemptOutcomeNames[static_cast<std::size_t>(std::abs(number % 6))].first;
        RC_ASSERT(mayRepeat || !mayHaveRun);
        RC_ASSERT(policy.attempts() < 3);
        policy.attemptStarted();
        mayHaveRun = mayHaveRun || (outcome != AttemptOutcome::NotSent && outcome != AttemptOutcome::NotRun);
        const NextStep step = policy.attemptEnded(outcome, yes);
        RC_ASSERT(step != NextStep::RefuseNotRun || !mayHaveRun);
        if (step != NextStep::TryAgain) {
            return;
        }
    }
}

TEST(ArrivalCount, PromptReadThenRun_OnceEach_NothingIsARepeat)
{
    ArrivalCount count;
    EXPECT_FALSE(count.isRepeat(CallWork::Prefill));
    count.callEnded(CallWork::Prefill, AttemptOutcome::Succeeded);
    EXPECT_FALSE(count.isRepeat(CallWork::Run));
}

TEST(ArrivalCount, PromptReadAgainAfterLostHandle_SecondPrefillAndSecondRun_AreBothRepeats)
{
    ArrivalCount count;
    count.callEnded(CallWork::Prefill, AttemptOutcome::Succeeded);
    count.callEnded(CallWork::Run, AttemptOutcome::NotRun);
    EXPECT_TRUE(count.isRepeat(CallWork::Prefill));
    count.callEnded(CallWork::Prefill, AttemptOutcome::Succeeded);
    EXPECT_TRUE(count.isRepeat(CallWork::Run));
}

TEST(ArrivalCount, PrefillRefused_NextCalls_AreRepeats)
{
    ArrivalCount count;
    count.callEnded(CallWork::Prefill, AttemptOutcome::NotRun);
    EXPECT_TRUE(count.isRepeat(CallWork::Prefill));
    EXPECT_TRUE(count.isRepeat(CallWork::Run));
}

TEST(ArrivalCount, NothingArrived_NextCall_IsNoRepeat)
{
    ArrivalCount count;
    count.callEnded(CallWork::Run, AttemptOutcome::NotSent);
    EXPECT_FALSE(count.isRepeat(CallWork::Run));
}

}

}
