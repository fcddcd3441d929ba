/**
 * Tests of CoordinationIntervals: what a gateway writes and reads must not grow with the fleet, and the bounds of usage reports hold.
 */
#include "coordinationintervals.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr Milliseconds UsageWindow{5000};

class CoordinationIntervalsTest : public testing::TestWithParam<std::size_t>
{
protected:
    static double callsPerSecond(std::size_t gateways, bool isDutyCandidate)
    {
        const auto intervals = CoordinationIntervals::of(gateways, isDutyCandidate, UsageWindow);
        return 1 / toSeconds(intervals.leaseRead) + 1 / toSeconds(intervals.status) + 1 / toSeconds(intervals.usageWrite);
    }
};

TEST_F(CoordinationIntervalsTest, SmallFleet_Intervals_AreTheShortest)
{
    const auto intervals = CoordinationIntervals::of(5, true, UsageWindow);
    EXPECT_EQ(CoordinationIntervals{}.leaseRead, intervals.leaseRead);
    EXPECT_EQ(CoordinationIntervals{}.status, intervals.status);
    EXPECT_EQ(CoordinationIntervals{}.usageWrite, intervals.usageWrite);
    EXPECT_EQ(CoordinationIntervals{}.unresponsiveTimeout, intervals.unresponsiveTimeout);
}

TEST_F(CoordinationIntervalsTest, LargeFleet_CallsOfAGateway_AreFewerThanInASmallOne)
{
    EXPECT_LT(callsPerSecond(100, false), 0.6);
    EXPECT_LE(callsPerSecond(300, false), callsPerSecond(100, false));
    EXPECT_LT(callsPerSecond(100, false), callsPerSecond(5, false) / 2);
}

TEST_P(CoordinationIntervalsTest, AnyFleet_FiguresOfOneKilledProcess_AreASmallPartOfAWindow)
{
    const auto intervals = CoordinationIntervals::of(GetParam(), false, UsageWindow);
    const double lost = toSeconds(intervals.usageWrite) / toSeconds(UsageWindow) / static_cast<double>(GetParam());
    EXPECT_LE(lost, 0.05);
}

TEST_P(CoordinationIntervalsTest, AnyFleet_UnresponsiveTimeout_SparesTwoLateStatuses)
{
    const auto intervals = CoordinationIntervals::of(GetParam(), false, UsageWindow);
    EXPECT_GT(intervals.unresponsiveTimeout, 2 * intervals.status);
    EXPECT_LE(intervals.status, UsageWindow);
}

INSTANTIATE_TEST_SUITE_P(Sizes, CoordinationIntervalsTest, testing::Values(6, 10, 30, 100, 300, 1000));

}

}
