/**
 * Tests of QuotaDivider: when a division is settled, and that gateways that were frozen, restarted one after the other or rejected by the
 * store have a share again soon after they return.
 */
#include "quotadivider.h"

#include <gtest/gtest.h>

#include <limits>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class QuotaDividerTest : public testing::Test
{
protected:
    using Gateways = std::map<std::string, GatewayStatus>;

    static GatewayStatus status(double demand, std::uint64_t divisionSeen)
    {
        GatewayStatus result;
        result.demand["desk"] = demand;
        result.divisionSeen = divisionSeen;
        return result;
    }

    /** Replaces the stored division by the next one, as the lease holder does. @return false if there is none. */
    bool storeNextDivision(const Gateways &gateways)
    {
        const auto division = divider_.nextDivision(gateways, now_);
        if (division) {
            divider_.onDivisionRead(*division, now_);
        }
        return division.has_value();
    }

    QuotaDivider divider_{QuotaDividerOptions{}};
    TimePoint now_{1000s};
};

TEST_F(QuotaDividerTest, NoDivisionStored_FirstDivision_IsSettledAtOnce)
{
    ASSERT_TRUE(storeNextDivision({{"vm-1", status(1, 0)}, {"vm-2", status(1, 0)}}));
    EXPECT_TRUE(divider_.current().settled);
    EXPECT_EQ(1U, divider_.current().number);
}

TEST_F(QuotaDividerTest, NewDivision_ReportedByAllGateways_IsSettledAtOnce)
{
    storeNextDivision({{"vm-1", status(100, 0)}, {"vm-2", status(100, 0)}});
    now_ += 5s;
    ASSERT_TRUE(storeNextDivision({{"vm-1", status(300, 1)}, {"vm-2", status(100, 1)}}));
    ASSERT_FALSE(divider_.current().settled);
    now_ += 1s;
    EXPECT_FALSE(storeNextDivision({{"vm-1", status(300, 2)}, {"vm-2", status(100, 1)}}));
    EXPECT_TRUE(storeNextDivision({{"vm-1", status(300, 2)}, {"vm-2", status(100, 2)}}));
    EXPECT_TRUE(divider_.current().settled);
}

TEST_F(QuotaDividerTest, NewDivision_OneGatewayCutOff_IsSettledAfterSettleTime)
{
    storeNextDivision({{"vm-1", status(100, 0)}, {"vm-2", status(100, 0)}});
    now_ += 5s;
    storeNextDivision({{"vm-1", status(300, 1)}, {"vm-2", status(100, 1)}});
    const Gateways gateways{{"vm-1", status(300, 2)}, {"vm-2", status(100, 1)}};
    now_ += QuotaShareOptions{}.settleTime - 1ms;
    EXPECT_FALSE(storeNextDivision(gateways));
    now_ += 1ms;
    EXPECT_TRUE(storeNextDivision(gateways));
}

TEST_F(QuotaDividerTest, GatewayJoins_DivisionIsRecent_DoesNotWaitForMinInterval)
{
    storeNextDivision({{"vm-1", status(100, 0)}});
    now_ += 100ms;
    ASSERT_TRUE(storeNextDivision({{"vm-1", status(100, 1)}, {"vm-2", status(0, 0)}}));
    EXPECT_GT(divider_.current().fractionOf("desk", "vm-2"), 0.1);
}

TEST_F(QuotaDividerTest, GatewayWasFrozen_ItReturns_HasItsEvenShareAtOnce)
{
    const Gateways all{{"vm-1", status(100, 9)}, {"vm-2", status(100, 9)}};
    storeNextDivision(all);
    now_ += 6s;
    storeNextDivision({{"vm-1", status(200, 9)}, {"vm-2", status(0, 9)}});
    storeNextDivision({{"vm-1", status(200, 9)}, {"vm-2", status(0, 9)}});
    ASSERT_TRUE(divider_.current().settled);
    QuotaShares shares("vm-2", {});
    shares.onDivisionRead(divider_.current(), now_, now_);
    CustomerQuota customer;
    customer.name = "desk";
    customer.rate = 1000;
    customer.burst = 1000;
    now_ += 1s;
    EXPECT_TRUE(shares.admit(customer, 100, now_).admitted);
}

TEST_F(QuotaDividerTest, SeveralGatewaysUnresponsive_Division_GivesMostToTheOthers)
{
    Gateways gateways;
    for (int i = 1; i <= 5; ++i) {
        gateways["vm-" + std::to_string(i)] = status(100, 9);
    }
    storeNextDivision(gateways);
    for (const char *vm : {"vm-1", "vm-2", "vm-3"}) {
        gateways[vm].isUnresponsive = true;
        gateways[vm].demand.clear();
    }
    now_ += 4s;
    ASSERT_TRUE(storeNextDivision(gateways));
    EXPECT_GT(divider_.current().fractionOf("desk", "vm-4"), 0.4);
    EXPECT_GT(divider_.current().fractionOf("desk", "vm-1"), 0.03);
}

TEST_F(QuotaDividerTest, GatewayHasStopped_LastStatusRead_DivisionIsSettled)
{
    storeNextDivision({{"vm-1", status(100, 0)}, {"vm-2", status(100, 0)}});
    now_ += 5s;
    const Gateways gateways{{"vm-1", status(300, 2)}, {"vm-2", status(0, std::numeric_limits<std::uint64_t>::max())}};
    ASSERT_TRUE(storeNextDivision(gateways));
    EXPECT_TRUE(storeNextDivision(gateways));
    EXPECT_TRUE(divider_.current().settled);
}

TEST_F(QuotaDividerTest, LeaseHolderLostBeforeSettling_SettleTimePasses_GatewaysUseTheNewShares)
{
    storeNextDivision({{"vm-1", status(100, 0)}, {"vm-2", status(100, 0)}});
    now_ += 5s;
    storeNextDivision({{"vm-1", status(300, 1)}, {"vm-2", status(100, 1)}});
    const QuotaDivision unsettled = divider_.current();
    ASSERT_FALSE(unsettled.settled);
    QuotaShares shares("vm-1", {});
    shares.onDivisionRead(unsettled, now_, now_);
    CustomerQuota customer;
    customer.name = "desk";
    customer.rate = 1000;
    customer.burst = 0;
    EXPECT_NEAR(0.5, shares.admit(customer, 0, now_).fraction, 0.01);
    now_ += QuotaShareOptions{}.settleTime;
    shares.onDivisionRead(unsettled, now_, now_);
    EXPECT_GT(shares.admit(customer, 0, now_).fraction, 0.6);
}

}

}
