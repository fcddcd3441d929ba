/**
 * Tests the bound on the bytes that all connections keep together. They guard against a sum of bounded messages that exceeds the process's
 * memory, and against small messages that pay for a large one.
 */
#include "bytebudget.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace Chestnutcove {

namespace {

class ByteBudgetTest : public testing::Test
{
protected:
    struct Holder
    {
        Holder(ByteBudget &budget)
            : share(budget, [this] { exceeded = true; })
        {
        }
        bool exceeded = false;
        ByteBudget::Share share;
    };

    ByteBudget budget_{1000};
    Holder first_{budget_};
    Holder second_{budget_};
};

TEST_F(ByteBudgetTest, SharesWithinTheLimit_AllAreKept)
{
    first_.share.resize(400);
    second_.share.resize(600);
    EXPECT_EQ(budget_.used(), 1000U);
    EXPECT_FALSE(first_.exceeded);
    EXPECT_FALSE(second_.exceeded);
}

// Guards against a small message that is given up since a large one has used the budget.
TEST_F(ByteBudgetTest, SmallShareExceedsTheLimit_LargestShareIsGivenUp)
{
    first_.share.resize(990);
    second_.share.resize(20);
    EXPECT_TRUE(first_.exceeded);
    EXPECT_FALSE(second_.exceeded);
    EXPECT_EQ(budget_.used(), 20U);
}

TEST_F(ByteBudgetTest, OneShareExceedsTheLimitAlone_ItIsGivenUp)
{
    first_.share.resize(1001);
    EXPECT_TRUE(first_.exceeded);
    EXPECT_EQ(budget_.used(), 0U);
}

// Guards against bytes in use that count as given up, and against a search without end for bytes that could be.
TEST_F(ByteBudgetTest, FixedShareIsLargest_LimitIsExceeded_TheOtherIsGivenUp)
{
    first_.share.resize(900);
    first_.share.fix();
    second_.share.resize(200);
    EXPECT_FALSE(first_.exceeded);
    EXPECT_TRUE(second_.exceeded);
    EXPECT_EQ(budget_.used(), 900U);
    first_.share.resize(1100);
    EXPECT_FALSE(first_.exceeded);
    EXPECT_EQ(budget_.used(), 1100U);
}

TEST_F(ByteBudgetTest, ShareEnds_ItsBytesAreFree)
{
    {
        Holder third(budget_);
        third.share.resize(900);
    }
    EXPECT_EQ(budget_.used(), 0U);
    first_.share.resize(1000);
    EXPECT_FALSE(first_.exceeded);
}

RC_GTEST_FIXTURE_PROP(ByteBudgetTest, AnyResizes_SumStaysWithinTheLimitAndMatchesTheShares, ())
{
    std::vector<std::unique_ptr<Holder>> holders;
    for (int i = 0; i < 8; ++i) {
        holders.push_back(std::make_unique<Holder>(budget_));
    }
    std::vector<std::size_t> kept(holders.size());
    for (int step = 0; step < 50; ++step) {
        const auto index = *rc::gen::inRange<std::size_t>(0, holders.size());
        const auto bytes = *rc::gen::inRange<std::size_t>(0, 700);
        kept[index] = bytes;
        holders[index]->share.resize(bytes);
        std::size_t sum = 0;
        for (std::size_t i = 0; i < holders.size(); ++i) {
            if (std::exchange(holders[i]->exceeded, false)) {
                kept[i] = 0;
            }
            sum += kept[i];
        }
        RC_ASSERT(budget_.used() == sum);
        RC_ASSERT(sum <= std::size_t{1000});
    }
}

}

}
