/**
 * Tokens of one share: nothing is made from nothing, and a share that gives tokens away does not accrue them a second time.
 */
#include "shareholder.h"
#include "wallet.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class ShareHolderTest : public testing::Test
{
protected:
    ShareHolderTest()
    {
        holder_.setLimits(100, 50, start_);
    }

    TimePoint start_{1h};
    ShareHolder holder_{500ms};
};

TEST_F(ShareHolderTest, NewShare_StartsEmpty)
{
    EXPECT_DOUBLE_EQ(holder_.level(start_), 0);
}

TEST_F(ShareHolderTest, Idle_FillsUpToTheCapOnly)
{
    EXPECT_DOUBLE_EQ(holder_.level(start_ + 100ms), 10);
    EXPECT_DOUBLE_EQ(holder_.level(start_ + 10s), 50);
}

TEST_F(ShareHolderTest, OutstandingGrant_KeepsTheShareFromRefilling)
{
    const TimePoint full = start_ + 10s;
    EXPECT_DOUBLE_EQ(holder_.grant({1, 1}, 50, full), 50);
    EXPECT_DOUBLE_EQ(holder_.level(full + 400ms), 0);
    EXPECT_NEAR(holder_.level(full + 600ms), 10, 10.1);
}

TEST_F(ShareHolderTest, RepeatedGrant_GivesNothing)
{
    const TimePoint full = start_ + 10s;
    EXPECT_DOUBLE_EQ(holder_.grant({1, 1}, 20, full), 20);
    EXPECT_DOUBLE_EQ(holder_.grant({1, 1}, 20, full), 0);
}

TEST_F(ShareHolderTest, ReturnedTwice_CountsOnce)
{
    const TimePoint full = start_ + 10s;
    holder_.grant({1, 1}, 20, full);
    holder_.giveBack({1, 1}, 20, full);
    holder_.giveBack({1, 1}, 20, full);
    EXPECT_DOUBLE_EQ(holder_.level(full), 50);
}

TEST_F(ShareHolderTest, Suspended_GivesNothingAndAccruesNothing)
{
    holder_.setSuspended(true, start_ + 100ms);
    EXPECT_DOUBLE_EQ(holder_.take(5, start_ + 200ms), 0);
    holder_.setSuspended(false, start_ + 1s);
    EXPECT_DOUBLE_EQ(holder_.level(start_ + 1s), 10);
}

TEST(WalletTest, ExpiredLot_IsNotSpent)
{
    Wallet wallet;
    const TimePoint start{1h};
    wallet.add({10, start + 500ms, "a", 1}, start);
    EXPECT_DOUBLE_EQ(wallet.balance(start + 499ms), 10);
    EXPECT_TRUE(wallet.take(10, start + 500ms).empty());
}

}

}
