/**
 * When a usage window is sealed. Guards against sealing it without the figures of a gateway whose writes the store refuses for some
 * seconds.
 */
#include "sealschedule.h"

#include "usageledger.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class SealScheduleTest : public testing::Test
{
protected:
    SealSchedule schedule_{500ms, 8000ms};
};

TEST_F(SealScheduleTest, AllFiguresAreStored_WindowJustEnded_IsNotSealedWhileClocksMayDiffer)
{
    EXPECT_FALSE(schedule_.isDue(400ms, true));
    EXPECT_TRUE(schedule_.isDue(500ms, true));
}

TEST_F(SealScheduleTest, StoreRefusesGatewayForSeconds_WindowEnded_IsNotSealedWithoutItsFigures)
{
    EXPECT_FALSE(schedule_.isDue(7900ms, false));
}

TEST_F(SealScheduleTest, GatewayStaysAway_ReportIsDueSoon_IsSealedWithoutItsFigures)
{
    EXPECT_TRUE(schedule_.isDue(8000ms, false));
}

TEST(UsageLedger, WindowWasSealedWithoutFigures_EachWindowHoldsOnlyItsOwn_TheyAreDroppedAndReturned)
{
    UsageLedger ledger(LateUsagePolicy::Drop);
    ledger.add(7, "desk", {5, 0, 0});
    ledger.add(9, "desk", {1, 0, 0});
    ledger.nextFlush();
    const CustomerUsage late = ledger.onWindowSealed(9, {{"desk", {3, 0, 0}}});
    EXPECT_EQ(2U, late.at("desk").requests);
    const auto flush = ledger.nextFlush();
    ASSERT_TRUE(flush);
    EXPECT_EQ(9U, flush->window);
    EXPECT_EQ(1U, flush->figures.at("desk").requests);
}

TEST(UsageLedger, WindowWasSealedWithoutFigures_NothingMayBeLost_TheyMoveToOpenWindow)
{
    UsageLedger ledger;
    ledger.add(7, "desk", {5, 0, 0});
    ledger.nextFlush();
    EXPECT_EQ(2U, ledger.onWindowSealed(9, {{"desk", {3, 0, 0}}}).at("desk").requests);
    const auto flush = ledger.nextFlush();
    ASSERT_TRUE(flush);
    EXPECT_EQ(9U, flush->window);
    EXPECT_EQ(2U, flush->figures.at("desk").requests);
}

TEST(UsageLedger, FlushOfWindowIsPending_OldestUnstored_IsStillThatWindow)
{
    UsageLedger ledger;
    EXPECT_FALSE(ledger.oldestUnstored());
    ledger.add(7, "desk", {1, 0, 0});
    ledger.add(8, "desk", {1, 0, 0});
    ledger.nextFlush();
    EXPECT_EQ(7U, ledger.oldestUnstored());
    ledger.onFlushed();
    EXPECT_EQ(8U, ledger.oldestUnstored());
}

}

}
