/**
 * What gateways tell each other through their rows.
 */
#include "gatewaystatus.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class GatewayLivenessTest : public testing::Test
{
protected:
    static GatewayStatus status(std::uint64_t beat, std::uint64_t storedThrough)
    {
        GatewayStatus result;
        result.beat = beat;
        result.usageStoredThrough = storedThrough;
        return result;
    }

    GatewayLiveness liveness_{5s, 60s};
    TimePoint now_{1000s};
};

TEST_F(GatewayLivenessTest, OneGatewayHasFiguresLeft_HaveStoredUsage_IsFalseAlsoWhileItIsSilent)
{
    liveness_.observed({{"vm-1", status(1, 9)}, {"vm-2", status(1, 8)}}, now_);
    EXPECT_TRUE(liveness_.haveStoredUsage(8, 15s, now_));
    EXPECT_FALSE(liveness_.haveStoredUsage(9, 15s, now_));
    EXPECT_FALSE(liveness_.haveStoredUsage(9, 15s, now_ + 14s));
}

TEST_F(GatewayLivenessTest, GatewayIsSilentForLong_HaveStoredUsage_DoesNotWaitForIt)
{
    liveness_.observed({{"vm-1", status(1, 9)}, {"vm-2", status(1, 8)}}, now_);
    EXPECT_TRUE(liveness_.haveStoredUsage(9, 15s, now_ + 15s));
}

TEST_F(GatewayLivenessTest, GatewayIsSilentForSeconds_Expected_KeepsItWithoutDemand)
{
    GatewayStatus asked = status(1, 9);
    asked.demand["desk"] = 100;
    liveness_.observed({{"vm-1", asked}}, now_);
    EXPECT_EQ(100, liveness_.expected(now_ + 4s).at("vm-1").demand.at("desk"));
    EXPECT_TRUE(liveness_.expected(now_ + 6s).at("vm-1").demand.empty());
    EXPECT_TRUE(liveness_.expected(now_ + 61s).empty());
}

TEST_F(GatewayLivenessTest, Status_RoundTrip_KeepsStoredUsage)
{
    const auto read = GatewayStatus::fromText(status(3, 12).toText());
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(12U, read->usageStoredThrough);
    EXPECT_FALSE(GatewayStatus::fromText("{}").ok());
}

}

}
