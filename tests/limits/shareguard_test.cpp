/**
 * A share grows after a change of the membership only when no process can spend by an earlier division any more.
 */
#include "shareguard.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class ShareGuardTest : public testing::Test
{
protected:
    ShareGuardTest()
    {
        for (const char *name : {"a", "b", "c"}) {
            row_ = row_.withMember({{name, 1}, "", "dc"});
        }
        guard_.setMembership(row_, now_);
        acknowledgeEpoch("b", 1);
        acknowledgeEpoch("c", 1);
    }

    void acknowledgeEpoch(const std::string &name, std::uint64_t incarnation)
    {
        guard_.onEpochAcknowledged({name, incarnation}, row_.epoch, now_);
    }

    void changeMembership(const MembershipRow &row)
    {
        row_ = row;
        guard_.setMembership(row_, now_);
    }

    bool settlesWithin(Duration within)
    {
        for (Duration passed{}; passed <= within; passed += 10ms) {
            if (guard_.isSettled(now_ + passed)) {
                now_ += passed;
                return true;
            }
        }
        now_ += within;
        return false;
    }

    TimePoint now_{1h};
    MembershipRow row_;
    ShareGuard guard_{{"a", 1}, 400ms, 100ms};
};

TEST_F(ShareGuardTest, AllAcknowledged_SettlesAfterGrantLifetime)
{
    EXPECT_FALSE(guard_.isSettled(now_));
    EXPECT_TRUE(settlesWithin(150ms));
    EXPECT_NEAR(guard_.spendableFraction("desk", now_), 1.0 / 3, 1e-9);
}

TEST_F(ShareGuardTest, MemberRemoved_ShareGrowsOnlyAfterItsFreshnessExpired)
{
    ASSERT_TRUE(settlesWithin(150ms));
    guard_.spendableFraction("desk", now_);
    changeMembership(row_.withoutMember("c"));
    acknowledgeEpoch("b", 1);
    EXPECT_FALSE(settlesWithin(390ms));
    EXPECT_NEAR(guard_.spendableFraction("desk", now_), 1.0 / 3, 1e-9);
    EXPECT_TRUE(settlesWithin(200ms));
    EXPECT_NEAR(guard_.spendableFraction("desk", now_), 1.0 / 2, 1e-9);
}

TEST_F(ShareGuardTest, MemberRemovedTwice_ShareWaitsForItBothTimes)
{
    ASSERT_TRUE(settlesWithin(150ms));
    changeMembership(row_.withoutMember("c"));
    acknowledgeEpoch("b", 1);
    ASSERT_TRUE(settlesWithin(700ms));
    changeMembership(row_.withMember({{"c", 1}, "", "dc"}));
    acknowledgeEpoch("b", 1);
    EXPECT_FALSE(settlesWithin(700ms));
    acknowledgeEpoch("c", 1);
    EXPECT_TRUE(settlesWithin(150ms));
    changeMembership(row_.withoutMember("c"));
    acknowledgeEpoch("b", 1);
    EXPECT_FALSE(settlesWithin(390ms));
    EXPECT_TRUE(settlesWithin(200ms));
}

TEST_F(ShareGuardTest, DelayedMessageOfOldProcess_SuccessorIsNotConsideredStopped)
{
    ASSERT_TRUE(settlesWithin(150ms));
    changeMembership(row_.withMember({{"c", 2}, "", "dc"}));
    acknowledgeEpoch("b", 1);
    acknowledgeEpoch("c", 2);
    ASSERT_TRUE(settlesWithin(150ms));
    changeMembership(row_.withoutMember("c"));
    guard_.onEpochAcknowledged({"c", 1}, 1, now_);
    acknowledgeEpoch("b", 1);
    EXPECT_FALSE(settlesWithin(390ms));
}

}

}
