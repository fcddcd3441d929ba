/**
 * Tests of QuotaDivider: which gateways hold shares, and when a division is settled.
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

    static GatewayStatus status(std::uint64_t divisionSeen)
    {
        GatewayStatus result;
        result.address = "10.0.0.1:7000";
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

    std::vector<std::string> holders() const
    {
        return divider_.current().vms();
    }

    QuotaDivider divider_{QuotaDividerOptions{}};
    TimePoint now_{1000s};
};

TEST_F(QuotaDividerTest, NoDivisionStored_FirstDivision_IsSettledAtOnce)
{
    ASSERT_TRUE(storeNextDivision({{"vm-1", status(0)}, {"vm-2", status(0)}}));
    EXPECT_TRUE(divider_.current().settled);
    EXPECT_EQ(1U, divider_.current().number);
    EXPECT_EQ((std::vector<std::string>{"vm-1", "vm-2"}), holders());
}

TEST_F(QuotaDividerTest, NoGatewayListens_NextDivision_IsNone)
{
    GatewayStatus starting;
    EXPECT_FALSE(storeNextDivision({{"vm-1", starting}}));
    EXPECT_FALSE(storeNextDivision({}));
}

TEST_F(QuotaDividerTest, NothingChanged_NextDivision_IsNone)
{
    const Gateways gateways{{"vm-1", status(1)}, {"vm-2", status(1)}};
    ASSERT_TRUE(storeNextDivision(gateways));
    now_ += 60s;
    EXPECT_FALSE(storeNextDivision(gateways));
}

TEST_F(QuotaDividerTest, NewDivision_ReportedByAllGateways_IsSettledAtOnce)
{
    storeNextDivision({{"vm-1", status(0)}, {"vm-2", status(0)}});
    ASSERT_TRUE(storeNextDivision({{"vm-1", status(1)}, {"vm-2", status(1)}, {"vm-3", status(0)}}));
    ASSERT_FALSE(divider_.current().settled);
    now_ += 1s;
    EXPECT_FALSE(storeNextDivision({{"vm-1", status(2)}, {"vm-2", status(1)}, {"vm-3", status(2)}}));
    EXPECT_TRUE(storeNextDivision({{"vm-1", status(2)}, {"vm-2", status(2)}, {"vm-3", status(0)}}));
    EXPECT_TRUE(divider_.current().settled);
}

TEST_F(QuotaDividerTest, NewDivision_FormerHolderCutOff_IsSettledAfterSettleTime)
{
    storeNextDivision({{"vm-1", status(0)}, {"vm-2", status(0)}});
    GatewayStatus silent = status(1);
    silent.isUnresponsive = true;
    const Gateways gateways{{"vm-1", status(2)}, {"vm-2", silent}};
    ASSERT_TRUE(storeNextDivision(gateways));
    EXPECT_EQ((std::vector<std::string>{"vm-1"}), holders());
    now_ += QuotaShareOptions{}.settleTime - 1ms;
    EXPECT_FALSE(storeNextDivision(gateways));
    now_ += 1ms;
    EXPECT_TRUE(storeNextDivision(gateways));
    EXPECT_TRUE(divider_.current().settled);
}

TEST_F(QuotaDividerTest, GatewayStops_ItsLastStatus_GivesItsSharesAwayAndSettlesAtOnce)
{
    storeNextDivision({{"vm-1", status(0)}, {"vm-2", status(0)}});
    GatewayStatus stopped = status(std::numeric_limits<std::uint64_t>::max());
    stopped.isLeaving = true;
    const Gateways gateways{{"vm-1", status(2)}, {"vm-2", stopped}};
    ASSERT_TRUE(storeNextDivision(gateways));
    EXPECT_EQ((std::vector<std::string>{"vm-1"}), holders());
    EXPECT_TRUE(storeNextDivision(gateways));
    EXPECT_TRUE(divider_.current().settled);
}

TEST_F(QuotaDividerTest, GatewayReturnsAtAnotherAddress_NextDivision_HasTheNewAddress)
{
    storeNextDivision({{"vm-1", status(0)}, {"vm-2", status(0)}});
    GatewayStatus moved = status(1);
    moved.address = "10.0.0.9:7000";
    ASSERT_TRUE(storeNextDivision({{"vm-1", status(1)}, {"vm-2", moved}}));
    EXPECT_EQ("10.0.0.9:7000", divider_.current().gateways.at(1).address);
}

}

}
