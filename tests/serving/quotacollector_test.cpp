/**
 * Tests of QuotaCollector: which holders a request asks, and what happens to grants that are late, doubled or not needed.
 */
#include "quotacollector.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;
using Result = QuotaVerdict::Result;

class QuotaCollectorTest : public testing::Test
{
protected:
    void request(std::uint64_t id, double units, double maxLot = 1e9)
    {
        collector_.start({id, "desk", units, maxLot, {"vm-1", "vm-2", "vm-3"}});
        poll();
    }

    void poll()
    {
        collector_.expireAsks(now_, Duration::zero());
        actions_ = collector_.poll(now_);
    }

    /** Answers the only ask of the last poll and polls again. */
    void answer(const QuotaAnswer &reply)
    {
        ASSERT_EQ(1U, actions_.asks.size());
        lastAsk_ = actions_.asks.front();
        collector_.onAnswer(lastAsk_.number, reply, now_);
        poll();
    }

    static QuotaAnswer granted()
    {
        return {true, true, {}};
    }

    static QuotaAnswer usedUp(Duration wait)
    {
        return {true, false, wait};
    }

    QuotaCollector collector_{QuotaCollectorOptions{}};
    TimePoint now_{1000s};
    CollectorActions actions_;
    QuotaAsk lastAsk_;
    std::uint64_t lastRequest_ = 7;
};

TEST_F(QuotaCollectorTest, FirstHolderGrants_Request_IsAdmittedWithItsLot)
{
    request(7, 500);
    answer(granted());
    ASSERT_EQ(1U, actions_.verdicts.size());
    EXPECT_EQ(Result::Admitted, actions_.verdicts.front().result);
    ASSERT_EQ(1U, actions_.verdicts.front().lots.size());
    EXPECT_EQ("vm-1", actions_.verdicts.front().lots.front().holder);
    EXPECT_EQ(500, actions_.verdicts.front().lots.front().units);
    EXPECT_FALSE(collector_.isBusy());
}

TEST_F(QuotaCollectorTest, FirstHolderIsUsedUp_Request_AsksTheNextForAllOfItsUnits)
{
    request(7, 500);
    answer(usedUp(300ms));
    ASSERT_EQ(1U, actions_.asks.size());
    EXPECT_EQ("vm-2", actions_.asks.front().holder);
    EXPECT_EQ(500, actions_.asks.front().units);
}

TEST_F(QuotaCollectorTest, TwoHoldersAreUsedUp_Request_IsRefusedAtOnceWithTheShorterWait)
{
    request(7, 500);
    answer(usedUp(300ms));
    answer(usedUp(100ms));
    ASSERT_EQ(1U, actions_.verdicts.size());
    EXPECT_EQ(Result::RateLimited, actions_.verdicts.front().result);
    EXPECT_EQ(Duration(100ms), actions_.verdicts.front().wait);
}

TEST_F(QuotaCollectorTest, OneHolderIsUsedUpAndOneHasNoShare_Request_AsksTheThird)
{
    request(7, 500);
    answer(usedUp(300ms));
    answer({});
    ASSERT_EQ(1U, actions_.asks.size());
    EXPECT_EQ("vm-3", actions_.asks.front().holder);
    answer(granted());
    EXPECT_EQ(Result::Admitted, actions_.verdicts.front().result);
}

TEST_F(QuotaCollectorTest, NoneOfTheAskedIsAHolder_Request_IsNotToldThatTheLimitIsUsedUp)
{
    request(7, 500);
    answer({});
    answer({});
    answer({});
    ASSERT_EQ(1U, actions_.verdicts.size());
    EXPECT_EQ(Result::NoHolder, actions_.verdicts.front().result);
}

/** Pattern: one request that is larger than any single share can be. */
TEST_F(QuotaCollectorTest, RequestLargerThanALot_Request_CollectsLotsOfSeveralHolders)
{
    request(7, 500, 200);
    answer(granted());
    answer(granted());
    EXPECT_EQ(100, actions_.asks.front().units);
    answer(granted());
    ASSERT_EQ(1U, actions_.verdicts.size());
    EXPECT_EQ(Result::Admitted, actions_.verdicts.front().result);
    EXPECT_EQ(3U, actions_.verdicts.front().lots.size());
}

TEST_F(QuotaCollectorTest, OneLotIsMissing_Request_ReturnsTheOthers)
{
    request(7, 500, 200);
    answer(granted());
    answer(usedUp(300ms));
    answer(granted());
    ASSERT_EQ(1U, actions_.verdicts.size());
    EXPECT_EQ(Result::RateLimited, actions_.verdicts.front().result);
    double returned = 0;
    for (const QuotaReturn &item : actions_.returns) {
        returned += item.lot.units;
    }
    poll();
    for (const QuotaReturn &item : actions_.returns) {
        returned += item.lot.units;
    }
    EXPECT_EQ(400, returned);
}

TEST_F(QuotaCollectorTest, HolderIsSilent_Request_AsksTheNextAndLaterOnesLeaveItOut)
{
    request(7, 500);
    now_ += QuotaCollectorOptions{}.answerTimeout;
    poll();
    ASSERT_EQ(1U, actions_.asks.size());
    EXPECT_EQ("vm-2", actions_.asks.front().holder);
    request(8, 100);
    ASSERT_EQ(1U, actions_.asks.size());
    EXPECT_EQ("vm-2", actions_.asks.front().holder);
}

TEST_F(QuotaCollectorTest, SilentHolderAnswersAProbe_NextRequest_AsksItAgain)
{
    request(7, 500);
    now_ += QuotaCollectorOptions{}.answerTimeout;
    poll();
    answer(granted());
    now_ += QuotaCollectorOptions{}.probeInterval;
    poll();
    ASSERT_EQ(1U, actions_.asks.size());
    EXPECT_EQ("vm-1", actions_.asks.front().holder);
    EXPECT_EQ(0, actions_.asks.front().units);
    answer({});
    // Requests begin with another holder each time, and the fourth one with that of the first again.
    for (const char *first : {"vm-2", "vm-3", "vm-1"}) {
        request(++lastRequest_, 100);
        EXPECT_EQ(first, actions_.asks.front().holder);
    }
}

TEST_F(QuotaCollectorTest, ProbeIsNotAnswered_Poll_NamesTheHolder)
{
    request(7, 500);
    now_ += QuotaCollectorOptions{}.answerTimeout;
    poll();
    now_ += QuotaCollectorOptions{}.probeInterval;
    poll();
    now_ += QuotaCollectorOptions{}.answerTimeout;
    poll();
    EXPECT_EQ((std::vector<std::string>{"vm-3", "vm-1"}), actions_.silentHolders);
}

TEST_F(QuotaCollectorTest, AllHoldersAreSilent_NextRequest_AsksOneOfThemAllTheSame)
{
    request(7, 500);
    for (int i = 0; i < 4; ++i) {
        now_ += QuotaCollectorOptions{}.answerTimeout;
        poll();
    }
    request(8, 100);
    ASSERT_EQ(1U, actions_.asks.size());
    EXPECT_EQ("vm-2", actions_.asks.front().holder);
    answer(granted());
    ASSERT_EQ(1U, actions_.verdicts.size());
    EXPECT_EQ(Result::Admitted, actions_.verdicts.front().result);
}

TEST_F(QuotaCollectorTest, GrantArrivesAfterItsTimeout_Lot_IsReturned)
{
    request(7, 500);
    const QuotaAsk late = actions_.asks.front();
    now_ += QuotaCollectorOptions{}.answerTimeout;
    poll();
    collector_.onAnswer(late.number, granted(), now_);
    poll();
    ASSERT_EQ(1U, actions_.returns.size());
    EXPECT_EQ(late.number, actions_.returns.front().lot.number);
    EXPECT_EQ("vm-1", actions_.returns.front().lot.holder);
}

TEST_F(QuotaCollectorTest, GrantArrivesTwice_Lot_CountsOnce)
{
    request(7, 500, 250);
    answer(granted());
    collector_.onAnswer(lastAsk_.number, granted(), now_);
    poll();
    EXPECT_TRUE(actions_.verdicts.empty());
    EXPECT_TRUE(actions_.returns.empty());
}

TEST_F(QuotaCollectorTest, CallerLeavesWhileAHolderIsAsked_LaterGrant_IsReturned)
{
    request(7, 500);
    const QuotaAsk ask = actions_.asks.front();
    collector_.cancel(7);
    collector_.onAnswer(ask.number, granted(), now_);
    poll();
    EXPECT_TRUE(actions_.verdicts.empty());
    EXPECT_EQ(1U, actions_.returns.size());
}

}

}
