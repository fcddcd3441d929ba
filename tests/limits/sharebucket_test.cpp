/**
 * Tokens of one share: only accrual creates tokens, and a share that granted tokens does not accrue them a second time.
 */
#include "receivedgrants.h"
#include "sharebucket.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class ShareBucketTest : public testing::Test
{
protected:
    ShareBucketTest()
    {
        share_.setLimits(100, 50, start_);
    }

    TimePoint start_{1h};
    ShareBucket share_{500ms};
};

TEST_F(ShareBucketTest, NewShare_StartsEmpty)
{
    EXPECT_DOUBLE_EQ(share_.level(start_), 0);
}

TEST_F(ShareBucketTest, Idle_FillsUpToCap)
{
    EXPECT_DOUBLE_EQ(share_.level(start_ + 100ms), 10);
    EXPECT_DOUBLE_EQ(share_.level(start_ + 10s), 50);
}

TEST_F(ShareBucketTest, GrantOutstanding_ShareDoesNotRefill)
{
    const TimePoint full = start_ + 10s;
    EXPECT_DOUBLE_EQ(share_.grant({1, 1}, 50, full), 50);
    EXPECT_DOUBLE_EQ(share_.level(full + 400ms), 0);
    EXPECT_NEAR(share_.level(full + 600ms), 10, 10.1);
}

TEST_F(ShareBucketTest, GrantRepeated_GrantsNothing)
{
    const TimePoint full = start_ + 10s;
    EXPECT_DOUBLE_EQ(share_.grant({1, 1}, 20, full), 20);
    EXPECT_DOUBLE_EQ(share_.grant({1, 1}, 20, full), 0);
}

TEST_F(ShareBucketTest, GrantReturnedTwice_CountsOnce)
{
    const TimePoint full = start_ + 10s;
    share_.grant({1, 1}, 20, full);
    share_.returnGrant({1, 1}, 20, full);
    share_.returnGrant({1, 1}, 20, full);
    EXPECT_DOUBLE_EQ(share_.level(full), 50);
}

TEST_F(ShareBucketTest, Suspended_NothingIsGivenOutOrAccrued)
{
    share_.setSuspended(true, start_ + 100ms);
    EXPECT_DOUBLE_EQ(share_.take(5, start_ + 200ms), 0);
    share_.setSuspended(false, start_ + 1s);
    EXPECT_DOUBLE_EQ(share_.level(start_ + 1s), 10);
}

TEST(ReceivedGrantsTest, LotExpired_IsNotSpent)
{
    ReceivedGrants grants;
    const TimePoint start{1h};
    grants.add({10, start + 500ms, "a", 1}, start);
    EXPECT_DOUBLE_EQ(grants.balance(start + 499ms), 10);
    EXPECT_TRUE(grants.take(10, start + 500ms).empty());
}

}

}
