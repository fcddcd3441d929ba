/**
 * Tests how long an endpoint is expected to read the prompts that it was given.
 */
#include "prefillbacklog.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class PrefillBacklogTest : public testing::Test
{
protected:
    static constexpr double TokensPerSecond = 1000;

    double seconds() const
    {
        return backlog_.seconds(TokensPerSecond, now_);
    }

    PrefillBacklog backlog_;
    TimePoint now_{1h};
};

TEST_F(PrefillBacklogTest, PromptsAreGiven_Backlog_IsAllOfThemLessTheFirstsProgress)
{
    EXPECT_EQ(seconds(), 0);
    backlog_.add({1, 1}, 500, now_);
    now_ += 100ms;
    backlog_.add({1, 2}, 2000, now_);
    EXPECT_DOUBLE_EQ(seconds(), 2.4);
    backlog_.remove({1, 1}, now_);
    EXPECT_DOUBLE_EQ(seconds(), 2);
    now_ += 1s;
    EXPECT_DOUBLE_EQ(seconds(), 1);
}

// Guards against an endpoint that seems free since its current prompt takes longer than expected.
TEST_F(PrefillBacklogTest, FirstPromptIsOverdue_Backlog_StillHoldsTheOthers)
{
    backlog_.add({1, 1}, 500, now_);
    backlog_.add({1, 2}, 2000, now_);
    now_ += 1min;
    EXPECT_DOUBLE_EQ(seconds(), 2);
}

TEST_F(PrefillBacklogTest, LaterPromptOrUnknownOneEnds_FirstsProgress_IsKept)
{
    backlog_.add({1, 1}, 500, now_);
    backlog_.add({1, 2}, 2000, now_);
    now_ += 100ms;
    backlog_.remove({1, 2}, now_);
    backlog_.remove({1, 3}, now_);
    EXPECT_DOUBLE_EQ(seconds(), 0.4);
}

}

}
