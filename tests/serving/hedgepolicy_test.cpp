/**
 * Tests when requests are hedged: after which delay, how often, and when not.
 */
#include "hedgepolicy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class HedgePolicyTest : public testing::Test
{
protected:
    static constexpr double Ratio = 0.1;

    static HedgePolicyOptions options()
    {
        HedgePolicyOptions result;
        result.ratio = Ratio;
        return result;
    }

    /** A request that nothing speaks against. */
    static HedgeQuery goodQuery()
    {
        HedgeQuery query;
        query.attempts = 1;
        query.maxAttempts = 2;
        query.timeLeft = 700ms;
        query.timeLimit = 800ms;
        return query;
    }

    /** Answers that take 1, 2, ... up to that many milliseconds, in an order that is not theirs. */
    void answerEvenly(int milliseconds)
    {
        for (int i = 0; i < milliseconds; ++i) {
            now_ += 1ms;
            // 37 has no common divisor with the counts of these tests.
            policy_.onAnswer(std::chrono::milliseconds(i * 37 % milliseconds + 1), now_);
        }
    }

    void answerAlike(int count, Duration time)
    {
        for (int i = 0; i < count; ++i) {
            now_ += 1ms;
            policy_.onAnswer(time, now_);
        }
    }

    void startRequests(int count)
    {
        for (int i = 0; i < count; ++i) {
            policy_.onFirstAttempt();
        }
    }

    HedgePolicy policy_{options()};
    TimePoint now_ = TimePoint{} + 1000s;
};

// Guards against a delay that is no percentile: a mean, the slowest answer, or one that depends on the order of answers.
TEST_F(HedgePolicyTest, AnswersSpreadEvenly_Delay_IsTheir95thPercentile)
{
    answerEvenly(200);
    ASSERT_TRUE(policy_.delay(now_));
    EXPECT_EQ(*policy_.delay(now_), 190ms);
}

// Guards against a single slow answer that raises the delay for all others.
TEST_F(HedgePolicyTest, FewVerySlowAnswers_Delay_StaysNearTheOthers)
{
    answerAlike(96, 20ms);
    answerAlike(4, 10s);
    ASSERT_TRUE(policy_.delay(now_));
    EXPECT_EQ(*policy_.delay(now_), 20ms);
}

// Guards against hedges that follow from a handful of answers after the start of a gateway.
TEST_F(HedgePolicyTest, TooFewAnswers_Delay_IsNotKnown)
{
    EXPECT_FALSE(policy_.delay(now_));
    answerAlike(static_cast<int>(options().minSamples) - 1, 20ms);
    EXPECT_FALSE(policy_.delay(now_));
    answerAlike(1, 20ms);
    EXPECT_TRUE(policy_.delay(now_));
}

// Guards against hedges of requests that are answered within the scatter of the event loop.
TEST_F(HedgePolicyTest, VeryFastAnswers_Delay_IsTheFloor)
{
    answerAlike(100, 1ms);
    ASSERT_TRUE(policy_.delay(now_));
    EXPECT_EQ(*policy_.delay(now_), options().minDelay);
}

// Guards against a delay that stays short after a service has become slower, which would hedge most of its requests.
TEST_F(HedgePolicyTest, ServiceBecomesSlower_Delay_FollowsWithinTheLastAnswers)
{
    answerAlike(1000, 20ms);
    answerAlike(static_cast<int>(options().maxSamples), 200ms);
    ASSERT_TRUE(policy_.delay(now_));
    EXPECT_EQ(*policy_.delay(now_), 200ms);
}

// Guards against a delay that stays long after a service has become faster, so that slow requests are never hedged.
TEST_F(HedgePolicyTest, ServiceBecomesFaster_Delay_FollowsWithinTheLastAnswers)
{
    answerAlike(1000, 200ms);
    answerAlike(static_cast<int>(options().maxSamples), 20ms);
    ASSERT_TRUE(policy_.delay(now_));
    EXPECT_EQ(*policy_.delay(now_), 20ms);
}

// Guards against a delay from answers of long ago at a service that has had no requests since.
TEST_F(HedgePolicyTest, AnswersAreOld_Delay_IsNotKnown)
{
    answerAlike(200, 20ms);
    EXPECT_TRUE(policy_.delay(now_ + options().sampleLifetime - 1s));
    EXPECT_FALSE(policy_.delay(now_ + options().sampleLifetime + 1s));
}

// Guards against more hedges than the ratio allows, at any time and in any order of events.
RC_GTEST_FIXTURE_PROP(HedgePolicyTest, AnyOrderOfRequestsAndHedges_Hedges_StayWithinTheRatio, (const std::vector<bool> &isStart))
{
    int started = 0;
    int hedged = 0;
    for (const bool start : isStart) {
        if (start) {
            policy_.onFirstAttempt();
            ++started;
        } else if (!policy_.denial(goodQuery(), now_)) {
            policy_.onHedged();
            ++hedged;
        }
        RC_ASSERT(hedged <= Ratio * started + 1e-9);
    }
}

// Guards against a ratio that is granted much less often than it is stated, and against hedges saved up without a bound.
TEST_F(HedgePolicyTest, RequestsOverTime_Hedges_AreAllowedAtTheRatioAndKeptUpToTheBurst)
{
    int hedged = 0;
    for (int i = 0; i < 1000; ++i) {
        policy_.onFirstAttempt();
        if (!policy_.denial(goodQuery(), now_)) {
            policy_.onHedged();
            ++hedged;
        }
    }
    EXPECT_NEAR(hedged, 1000 * Ratio, 1);
    startRequests(1000);
    int atOnce = 0;
    while (atOnce < 1000 && !policy_.denial(goodQuery(), now_)) {
        policy_.onHedged();
        ++atOnce;
    }
    EXPECT_EQ(atOnce, static_cast<int>(options().burst));
    EXPECT_EQ(policy_.denial(goodQuery(), now_), HedgeDenial::RatioUsedUp);
}

// Guards against hedges without the option.
TEST_F(HedgePolicyTest, RatioIsZero_Requests_AreNeverHedged)
{
    HedgePolicy policy(HedgePolicyOptions{});
    for (int i = 0; i < 1000; ++i) {
        policy.onFirstAttempt();
    }
    EXPECT_EQ(policy.denial(goodQuery(), now_), HedgeDenial::RatioUsedUp);
}

// Guards against hedges that take the capacity which refused requests lack.
TEST_F(HedgePolicyTest, CapacityShort_Request_IsNotHedged)
{
    startRequests(100);
    HedgeQuery full = goodQuery();
    full.hasFreeSlot = false;
    EXPECT_EQ(policy_.denial(full, now_), HedgeDenial::CapacityShort);
    HedgeQuery late = goodQuery();
    late.isGatewayLate = true;
    EXPECT_EQ(policy_.denial(late, now_), HedgeDenial::CapacityShort);
    policy_.onRefused(now_);
    EXPECT_EQ(policy_.denial(goodQuery(), now_ + 999ms), HedgeDenial::CapacityShort);
    EXPECT_FALSE(policy_.denial(goodQuery(), now_ + 1001ms));
}

// Guards against a second call that can't be answered before the deadline.
TEST_F(HedgePolicyTest, DeadlineNear_Request_IsNotHedged)
{
    startRequests(100);
    HedgeQuery query = goodQuery();
    query.timeLeft = 199ms;
    EXPECT_EQ(policy_.denial(query, now_), HedgeDenial::DeadlineNear);
    query.timeLeft = 200ms;
    EXPECT_FALSE(policy_.denial(query, now_));
}

// Guards against a hedge that breaks one of the rules for all calls, and against a reason that hides an earlier one.
TEST_F(HedgePolicyTest, SeveralReasons_Denial_IsTheFirstOfTheList)
{
    HedgeQuery query = goodQuery();
    query.hasRetryBudget = false;
    query.attempts = query.maxAttempts;
    query.hasFreeSlot = false;
    query.hasOtherEndpoint = false;
    query.hasUnlimitedEndpoint = false;
    query.timeLeft = 0ms;
    query.isSuspected = true;
    query.isStopping = true;
    EXPECT_EQ(policy_.denial(query, now_), HedgeDenial::RatioUsedUp);
    startRequests(100);
    EXPECT_EQ(policy_.denial(query, now_), HedgeDenial::RetryBudgetUsedUp);
    query.hasRetryBudget = true;
    EXPECT_EQ(policy_.denial(query, now_), HedgeDenial::MaxAttemptsReached);
    query.maxAttempts = 2;
    query.attempts = 1;
    EXPECT_EQ(policy_.denial(query, now_), HedgeDenial::CapacityShort);
    query.hasFreeSlot = true;
    EXPECT_EQ(policy_.denial(query, now_), HedgeDenial::NoOtherEndpoint);
    query.hasOtherEndpoint = true;
    EXPECT_EQ(policy_.denial(query, now_), HedgeDenial::EndpointLimited);
    query.hasUnlimitedEndpoint = true;
    EXPECT_EQ(policy_.denial(query, now_), HedgeDenial::DeadlineNear);
    query.timeLeft = 700ms;
    EXPECT_EQ(policy_.denial(query, now_), HedgeDenial::Suspected);
    query.isSuspected = false;
    EXPECT_EQ(policy_.denial(query, now_), HedgeDenial::Stopping);
    query.isStopping = false;
    EXPECT_FALSE(policy_.denial(query, now_));
}

}

}
