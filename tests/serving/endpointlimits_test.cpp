/** The limits that endpoints name, as heads of answers and reports of other gateways arrive in any order. */
#include "endpointlimits.h"
#include "limitreport.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class EndpointLimitsTest : public testing::Test
{
protected:
    static EndpointRecord endpointStartedAt(std::uint64_t startedAt)
    {
        EndpointRecord record;
        record.id = "engine-1";
        record.startedAt = startedAt;
        return record;
    }

    bool observe(std::optional<double> perSecond, TimePoint seenAt)
    {
        return limits_.observe(run_, {perSecond, seenAt});
    }

    /** Requests a second of the run's limit; 0 if it names none. */
    double limit() const
    {
        const RateLimit *limit = limits_.find(run_);
        return limit == nullptr ? 0 : limit->rate;
    }

    EndpointLimits limits_;
    const std::string run_ = EndpointLimits::runOf(endpointStartedAt(1000));
    const TimePoint start_{100s};
};

TEST_F(EndpointLimitsTest, AnswerNamesNoLimitAnyMore_LimitEnds)
{
    EXPECT_EQ(limit(), 0);
    EXPECT_TRUE(observe(14.2, start_));
    EXPECT_FALSE(observe(14.2, start_ + 1s));
    EXPECT_TRUE(observe(9.5, start_ + 2s));
    EXPECT_EQ(limit(), 9.5);
    EXPECT_TRUE(observe(std::nullopt, start_ + 3s));
    EXPECT_EQ(limit(), 0);
}

TEST_F(EndpointLimitsTest, OlderAnswerIsReportedLate_LimitIsNotBroughtBack)
{
    observe(14.2, start_);
    observe(std::nullopt, start_ + 3s);
    EXPECT_FALSE(observe(14.2, start_ + 2s));
    EXPECT_EQ(limit(), 0);
}

TEST_F(EndpointLimitsTest, EndpointNeverNamedALimit_OlderReportBringsNone)
{
    observe(std::nullopt, start_ + 3s);
    EXPECT_FALSE(observe(14.2, start_ + 2s));
    EXPECT_EQ(limit(), 0);
}

TEST_F(EndpointLimitsTest, EndpointRestarts_LimitOfItsFormerRunDoesNotHold)
{
    observe(14.2, start_);
    EXPECT_EQ(limits_.find(EndpointLimits::runOf(endpointStartedAt(2000))), nullptr);
    limits_.remove(run_);
    EXPECT_EQ(limit(), 0);
}

TEST_F(EndpointLimitsTest, UnitsUsedUp_LimitChanges_UnitsMayBeHadAgain)
{
    observe(14.2, start_);
    limits_.onUsedUp(run_, start_ + 2s);
    EXPECT_EQ(limits_.usedUpUntil(run_), start_ + 2s);
    observe(20.0, start_ + 1s);
    EXPECT_EQ(limits_.usedUpUntil(run_), TimePoint{});
}

TEST_F(EndpointLimitsTest, LimitIsSmall_SharesContainWholeUnits)
{
    for (const double perSecond : {0.0, 0.5, 3.0, 5.0, 14.2, 200.0}) {
        observe(perSecond, start_);
        const RateLimit *limit = limits_.find(run_);
        ASSERT_NE(limit, nullptr);
        EXPECT_GE(limit->burst / static_cast<double>(limit->maxHolders), 1);
        EXPECT_GT(limit->rate, 0);
    }
}

TEST_F(EndpointLimitsTest, RunNotObservedForLong_IsForgotten)
{
    observe(14.2, start_);
    limits_.removeStale(start_ + 9min);
    EXPECT_EQ(limits_.limitedRuns(), 1U);
    limits_.removeStale(start_ + 11min);
    EXPECT_EQ(limits_.limitedRuns(), 0U);
}

TEST_F(EndpointLimitsTest, LimitEnded_OtherGateways_AreToldForSomeTime)
{
    observe(std::nullopt, start_);
    EXPECT_TRUE(limits_.recentLimits(start_ + 1s).empty());
    observe(14.2, start_ + 1s);
    observe(std::nullopt, start_ + 5s);
    observe(std::nullopt, start_ + 20s);
    EXPECT_EQ(limits_.recentLimits(start_ + 20s).size(), 1U);
    EXPECT_FALSE(limits_.recentLimits(start_ + 20s).at(run_).perSecond);
    EXPECT_TRUE(limits_.recentLimits(start_ + 36s).empty());
}

TEST(LimitReportTest, Report_WrittenAndRead_IsTheSame)
{
    LimitReport report;
    report.limits["engine-1/1000"] = {14.2, 123456ms};
    report.limits["engine-2/1000"] = {std::nullopt, 123457ms};
    const auto read = LimitReport::fromText(report.toText());
    ASSERT_TRUE(read.ok());
    ASSERT_EQ(read->limits.size(), 2U);
    EXPECT_EQ(read->limits.at("engine-1/1000").perSecond, 14.2);
    EXPECT_EQ(read->limits.at("engine-1/1000").seenAt, 123456ms);
    EXPECT_FALSE(read->limits.at("engine-2/1000").perSecond);
}

TEST(LimitReportTest, TextIsNoReport_Read_IsAnError)
{
    for (const char *text : {"", "[]", "{}", R"({"limits":[{"run":"a"}]})", R"({"limits":[{"run":"a","seenAt":1,"perSecond":-1}]})"}) {
        EXPECT_FALSE(LimitReport::fromText(text).ok()) << text;
    }
}

}

}
