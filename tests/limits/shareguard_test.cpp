/**
 * When a share may grow after the membership changed.
 */
#include "shareguard.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class ShareGateTest : public testing::Test
{
protected:
    ShareGateTest()
    {
        for (const char *name : {"a", "b", "c"}) {
            row_ = row_.withMember({{name, 1}, "", "dc"});
        }
        gate_.setMembership(row_, now_);
        acknowledge("b", 1);
        acknowledge("c", 1);
    }

    void acknowledge(const std::string &name, std::uint64_t incarnation)
    {
        gate_.onEpochAcknowledged({name, incarnation}, row_.epoch, now_);
    }

    void change(const MembershipRow &row)
    {
        row_ = row;
        gate_.setMembership(row_, now_);
    }

    bool settles(Duration within)
    {
        for (Duration passed{}; passed <= within; passed += 10ms) {
            if (gate_.isSettled(now_ + passed)) {
                now_ += passed;
                return true;
            }
        }
        now_ += within;
        return false;
    }

    TimePoint now_{1h};
    MembershipRow row_;
    ShareGuard gate_{{"a", 1}, 400ms, 100ms};
};

TEST_F(ShareGateTest, AllAcknowledged_SettlesAfterAGrantsLifetime)
{
    EXPECT_FALSE(gate_.isSettled(now_));
    EXPECT_TRUE(settles(150ms));
    EXPECT_NEAR(gate_.spendableFraction("desk", now_), 1.0 / 3, 1e-9);
}

TEST_F(ShareGateTest, MemberRemoved_ShareGrowsOnlyAfterItsProofsRanOut)
{
    ASSERT_TRUE(settles(150ms));
    gate_.spendableFraction("desk", now_);
    change(row_.withoutMember("c"));
    acknowledge("b", 1);
    EXPECT_FALSE(settles(390ms));
    EXPECT_NEAR(gate_.spendableFraction("desk", now_), 1.0 / 3, 1e-9);
    EXPECT_TRUE(settles(200ms));
    EXPECT_NEAR(gate_.spendableFraction("desk", now_), 1.0 / 2, 1e-9);
}

TEST_F(ShareGateTest, RemovedMemberJoinsAgainAndIsRemovedAgain_ItIsWaitedForBothTimes)
{
    ASSERT_TRUE(settles(150ms));
    change(row_.withoutMember("c"));
    acknowledge("b", 1);
    ASSERT_TRUE(settles(700ms));
    change(row_.withMember({{"c", 1}, "", "dc"}));
    acknowledge("b", 1);
    EXPECT_FALSE(settles(700ms));
    acknowledge("c", 1);
    EXPECT_TRUE(settles(150ms));
    change(row_.withoutMember("c"));
    acknowledge("b", 1);
    EXPECT_FALSE(settles(390ms));
    EXPECT_TRUE(settles(200ms));
}

TEST_F(ShareGateTest, LateMessageOfAnOldProcess_DoesNotMakeItsSuccessorLookStopped)
{
    ASSERT_TRUE(settles(150ms));
    change(row_.withMember({{"c", 2}, "", "dc"}));
    acknowledge("b", 1);
    acknowledge("c", 2);
    ASSERT_TRUE(settles(150ms));
    change(row_.withoutMember("c"));
    gate_.onEpochAcknowledged({"c", 1}, 1, now_);
    acknowledge("b", 1);
    EXPECT_FALSE(settles(390ms));
}

}

}
