/**
 * Tests of the urgency of calls: which call a model engine handles first, by rank, lateness and length of the answer.
 */
#include "urgency.h"

#include <gtest/gtest.h>

#include <limits>

namespace Chestnutcove {

namespace {

constexpr bool Short = true;
constexpr bool Long = false;

int timely(int rank, bool hasShortAnswer, CallWork work = CallWork::Run)
{
    return urgencyOf({rank, false, work, hasShortAnswer});
}

int late(int rank, bool hasShortAnswer, CallWork work = CallWork::Run)
{
    return urgencyOf({rank, true, work, hasShortAnswer});
}

}

// Guards against batch jobs with short answers that go before interactive requests with long ones.
TEST(Urgency, ShortAnswerOfALowRank_LongOneOfTheHighest_GoesAfterIt)
{
    EXPECT_GT(timely(2, Short), timely(0, Long));
    EXPECT_GT(timely(2, Short), timely(1, Long));
    EXPECT_GT(late(2, Short), late(0, Long));
    EXPECT_GT(timely(2, Short, CallWork::Prefill), timely(0, Long, CallWork::Prefill));
}

// Guards against another order of service than before where short answers have the highest rank and long ones the next.
TEST(Urgency, ShortAnswersHaveTheHighestRank_LongOnesTheNext_KeepTheirUrgencies)
{
    EXPECT_EQ(timely(0, Short), 3);
    EXPECT_EQ(timely(1, Long), 5);
    EXPECT_EQ(late(0, Short, CallWork::Prefill), 8);
    EXPECT_EQ(late(0, Short), 3) << "its prompt was late, its answer occupies a slot only briefly";
    EXPECT_EQ(late(0, Long), 8);
}

// Guards against late requests that make timely ones late.
TEST(Urgency, LateRequestOfAnyRank_TimelyOnesOfOtherRanks_GoesAfterThem)
{
    for (int rank = 0; rank < 5; ++rank) {
        EXPECT_EQ(late(rank, Long), rank == 0 ? 8 : 9);
        EXPECT_EQ(late(rank, Short, CallWork::Prefill), rank == 0 ? 8 : 9);
        EXPECT_LT(timely(rank, Long), late(0, Long));
    }
}

// Guards against urgencies outside of the range that engines know.
TEST(Urgency, RankIsNegativeOrHuge_Urgency_StaysInRange)
{
    EXPECT_EQ(timely(std::numeric_limits<int>::min(), Long), 3);
    EXPECT_EQ(late(std::numeric_limits<int>::min(), Long), 8);
    EXPECT_EQ(timely(3, Long), 7);
    EXPECT_EQ(timely(std::numeric_limits<int>::max(), Long), 7);
    EXPECT_EQ(late(std::numeric_limits<int>::max(), Short), 9);
}

}
