/**
 * Tests of GatewayStatus and GatewayLiveness: detection of unresponsive gateways, and which of them are waited for.
 */
#include "gatewaystatus.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class GatewayLivenessTest : public testing::Test
{
protected:
    static GatewayStatus status(std::uint64_t heartbeat, std::uint64_t storedThrough)
    {
        GatewayStatus result;
        result.heartbeat = heartbeat;
        result.usageStoredThrough = storedThrough;
        return result;
    }

    GatewayLiveness liveness_{5s, 60s};
    TimePoint now_{1000s};
};

TEST_F(GatewayLivenessTest, GatewayHasNotStoredItsUsage_HaveAllStoredUsage_IsFalseUntilTheTimeout)
{
    liveness_.update({{"vm-1", status(1, 9)}, {"vm-2", status(1, 8)}}, now_);
    EXPECT_TRUE(liveness_.haveAllStoredUsage(8, 15s, now_));
    EXPECT_FALSE(liveness_.haveAllStoredUsage(9, 15s, now_));
    EXPECT_FALSE(liveness_.haveAllStoredUsage(9, 15s, now_ + 14s));
}

TEST_F(GatewayLivenessTest, GatewayUnresponsiveBeyondTimeout_HaveAllStoredUsage_LeavesItOut)
{
    liveness_.update({{"vm-1", status(1, 9)}, {"vm-2", status(1, 8)}}, now_);
    EXPECT_TRUE(liveness_.haveAllStoredUsage(9, 15s, now_ + 15s));
}

TEST_F(GatewayLivenessTest, GatewayUnresponsive_ExpectedGateways_KeepsItWithoutWorkUntilRetentionEnds)
{
    GatewayStatus busy = status(1, 9);
    busy.work["model"].busySlots = 3;
    liveness_.update({{"vm-1", busy}}, now_);
    EXPECT_EQ(3, liveness_.expectedGateways(now_ + 4s).at("vm-1").work.at("model").busySlots);
    EXPECT_FALSE(liveness_.expectedGateways(now_ + 4s).at("vm-1").isUnresponsive);
    EXPECT_TRUE(liveness_.expectedGateways(now_ + 6s).at("vm-1").work.empty());
    EXPECT_TRUE(liveness_.expectedGateways(now_ + 6s).at("vm-1").isUnresponsive);
    EXPECT_TRUE(liveness_.expectedGateways(now_ + 61s).empty());
}

TEST_F(GatewayLivenessTest, RowsNotReadForLong_FirstReadAfterwards_CountsNoGatewayAsUnresponsive)
{
    liveness_.update({{"vm-1", status(1, 9)}, {"vm-2", status(1, 9)}}, now_);
    now_ += 1s;
    liveness_.update({{"vm-1", status(1, 9)}, {"vm-2", status(1, 9)}}, now_);
    now_ += 30s;
    liveness_.update({{"vm-1", status(1, 9)}, {"vm-2", status(1, 9)}}, now_);
    EXPECT_EQ(2U, liveness_.liveGateways(now_).size());
    for (int i = 0; i < 4; ++i) {
        now_ += 1s;
        liveness_.update({{"vm-1", status(2, 9)}, {"vm-2", status(1, 9)}}, now_);
    }
    EXPECT_EQ(1U, liveness_.liveGateways(now_).size());
}

TEST_F(GatewayLivenessTest, Status_SerialisedAndParsed_KeepsStoredUsage)
{
    GatewayStatus written = status(3, 12);
    written.address = "10.0.0.1:7000";
    written.isLeaving = true;
    const auto read = GatewayStatus::fromText(written.toText());
    ASSERT_TRUE(read.ok());
    EXPECT_EQ("10.0.0.1:7000", read->address);
    EXPECT_TRUE(read->isLeaving);
    EXPECT_EQ(12U, read->usageStoredThrough);
    EXPECT_FALSE(GatewayStatus::fromText("{}").ok());
}

}

}
