/**
 * Tests of QuotaDivision: few gateways hold each customer's limit, all gateways agree on them, and the stored row stays small.
 */
#include "quotadivision.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace Chestnutcove {

namespace {

constexpr std::size_t LargeFleet = 370;
constexpr std::size_t LargeCustomerCount = 430;
/** Largest value that the platform's store accepts in a row. */
constexpr std::size_t MaxRowBytes = 65536;

class QuotaDivisionTest : public testing::Test
{
protected:
    static std::vector<GatewayAddress> gateways(std::size_t count, std::size_t first = 0)
    {
        std::vector<GatewayAddress> result;
        for (std::size_t i = first; i < first + count; ++i) {
            result.push_back({"front-south-region-zone-" + std::to_string(i), "10.101.102." + std::to_string(i) + ":17000"});
        }
        return result;
    }
};

TEST_F(QuotaDivisionTest, LargestFleetWithAllGatewaysReplaced_Text_FitsIntoARow)
{
    const QuotaDivision division = QuotaDivision{}.successor(gateways(LargeFleet)).successor(gateways(LargeFleet, LargeFleet));
    EXPECT_LT(division.toText().size(), MaxRowBytes);
}

TEST_F(QuotaDivisionTest, LargestFleet_Customers_AreSpreadOverTheGateways)
{
    const QuotaDivision division = QuotaDivision{}.successor(gateways(LargeFleet));
    std::map<std::string, std::size_t> shares;
    for (std::size_t i = 0; i < LargeCustomerCount; ++i) {
        const auto holders = division.holdersOf("customer-" + std::to_string(i));
        EXPECT_EQ(MaxQuotaHolders, holders.size());
        for (const auto &holder : holders) {
            ++shares[holder];
        }
    }
    for (const auto &[vm, count] : shares) {
        EXPECT_LE(count, 20U) << vm;
    }
}

TEST_F(QuotaDivisionTest, LargeFleet_HoldersFraction_IsAQuarterOfTheLimit)
{
    const QuotaDivision division = QuotaDivision{}.successor(gateways(103));
    for (const auto &holder : division.holdersOf("desk")) {
        EXPECT_DOUBLE_EQ(0.25, division.fractionOf("desk", holder));
    }
}

TEST_F(QuotaDivisionTest, LargeFleet_AskingOrders_SpreadTheFirstAsksOverTheHolders)
{
    const QuotaDivision division = QuotaDivision{}.successor(gateways(103));
    std::map<std::string, std::size_t> firstAsks;
    for (const auto &vm : division.vms()) {
        ++firstAsks[division.askingOrder("desk", vm).front()];
    }
    ASSERT_EQ(MaxQuotaHolders, firstAsks.size());
    for (const auto &[vm, count] : firstAsks) {
        EXPECT_GT(count, 12U) << vm;
        EXPECT_EQ(vm, division.askingOrder("desk", vm).front());
    }
}

TEST_F(QuotaDivisionTest, TwoGateways_Fractions_AreHalves)
{
    const QuotaDivision division = QuotaDivision{}.successor({{"vm-1", "a"}, {"vm-2", "b"}});
    EXPECT_DOUBLE_EQ(0.5, division.fractionOf("desk", "vm-1"));
    EXPECT_DOUBLE_EQ(0.5, division.fractionOf("desk", "vm-2"));
    EXPECT_DOUBLE_EQ(0, division.fractionOf("desk", "vm-3"));
}

TEST_F(QuotaDivisionTest, Division_SerialisedAndParsed_IsTheSame)
{
    const QuotaDivision division = QuotaDivision{}.successor(gateways(3)).successor(gateways(2, 7));
    const auto read = QuotaDivision::fromText(division.toText());
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(read->number, division.number);
    EXPECT_EQ(read->settled, division.settled);
    EXPECT_EQ(read->gateways, division.gateways);
    EXPECT_EQ(read->previousVms, division.previousVms);
    EXPECT_FALSE(QuotaDivision::fromText("{}").ok());
    EXPECT_FALSE(QuotaDivision::fromText("[1").ok());
}

/** Whatever gateways join and leave, the fractions that may be spent before and after settling never add up to more than the limit. */
RC_GTEST_PROP(QuotaDivision, AnyTwoSetsOfGateways_SpendableFractions_AddUpToAtMostOne, ())
{
    const auto members = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 4));
    std::vector<GatewayAddress> before;
    std::vector<GatewayAddress> after;
    std::vector<std::string> vms;
    for (std::size_t i = 0; i < members.size(); ++i) {
        vms.push_back("vm-" + std::to_string(i));
        if ((members[i] & 1) != 0) {
            before.push_back({vms.back(), "address"});
        }
        if ((members[i] & 2) != 0) {
            after.push_back({vms.back(), "address"});
        }
    }
    const QuotaDivision previous = QuotaDivision{}.successor(before);
    const QuotaDivision next = previous.successor(after);
    double unsettled = 0;
    double settled = 0;
    for (const auto &vm : vms) {
        // A gateway that has not read the new division yet spends its fraction of the previous one.
        unsettled += std::max(previous.fractionOf("desk", vm), next.unsettledFractionOf("desk", vm));
        settled += next.fractionOf("desk", vm);
        RC_ASSERT(next.unsettledFractionOf("desk", vm) <= next.fractionOf("desk", vm));
    }
    RC_ASSERT(unsettled <= 1.000001);
    RC_ASSERT(settled <= 1.000001);
}

}

}
