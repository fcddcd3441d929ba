/** The limits that endpoints name, as heads of answers and reports of other gateways arrive in any order. */
#include "endpointlimits.h"

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

    EndpointLimits limits_;
    const std::string run_ = EndpointLimits::runOf(endpointStartedAt(1000));
    const TimePoint start_{100s};
};

TEST_F(EndpointLimitsTest, AnswerNamesNoLimitAnyMore_LimitEnds)
{
    EXPECT_FALSE(limits_.limitOf(run_));
    EXPECT_TRUE(limits_.observe(run_, 14.2, start_));
    EXPECT_FALSE(limits_.observe(run_, 14.2, start_ + 1s));
    EXPECT_TRUE(limits_.observe(run_, 9.5, start_ + 2s));
    EXPECT_EQ(limits_.limitOf(run_), 9.5);
    EXPECT_TRUE(limits_.observe(run_, std::nullopt, start_ + 3s));
    EXPECT_FALSE(limits_.limitOf(run_));
}

TEST_F(EndpointLimitsTest, OlderAnswerIsReportedLate_LimitIsNotBroughtBack)
{
    limits_.observe(run_, 14.2, start_);
    limits_.observe(run_, std::nullopt, start_ + 3s);
    EXPECT_FALSE(limits_.observe(run_, 14.2, start_ + 2s));
    EXPECT_FALSE(limits_.limitOf(run_));
}

TEST_F(EndpointLimitsTest, EndpointNeverNamedALimit_OlderReportBringsNone)
{
    limits_.observe(run_, std::nullopt, start_ + 3s);
    EXPECT_FALSE(limits_.observe(run_, 14.2, start_ + 2s));
    EXPECT_FALSE(limits_.limitOf(run_));
}

TEST_F(EndpointLimitsTest, EndpointRestarts_LimitOfItsFormerRunDoesNotHold)
{
    limits_.observe(run_, 14.2, start_);
    EXPECT_FALSE(limits_.limitOf(EndpointLimits::runOf(endpointStartedAt(2000))));
    limits_.remove(run_);
    EXPECT_FALSE(limits_.limitOf(run_));
}

}

}
