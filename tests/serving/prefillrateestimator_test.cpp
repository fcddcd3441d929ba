/**
 * Tests of PrefillRateEstimator: the rate of fast and slow engines is found among calls that queue, cost a fixed time besides, or found
 * more in the cache than expected.
 */
#include "prefillrateestimator.h"

#include <gtest/gtest.h>

#include <random>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class PrefillRateEstimatorTest : public testing::TestWithParam<double>
{
protected:
    /** Records calls to engines that prefill @p tokensPerMs, most of them after waiting for a random time. */
    void record(std::size_t calls, double tokensPerMs)
    {
        std::exponential_distribution<double> waits(1.0);
        std::lognormal_distribution<double> sizes(8, 0.7);
        for (std::size_t i = 0; i < calls; ++i) {
            const double tokens = 300 + sizes(random_);
            const double unit = 1000 / tokensPerMs;
            double milliseconds = 2 + tokens / tokensPerMs + waits(random_) * unit;
            if (i % 12 == 0) {
                // The engine had the prompt already.
                milliseconds = 3;
            } else if (i % 15 == 0) {
                milliseconds += 40 * unit;
            }
            estimator_.record(tokens, fromSeconds(milliseconds / 1000));
        }
    }

    std::mt19937 random_{7};
    PrefillRateEstimator estimator_{PrefillRateOptions{}};
};

TEST_P(PrefillRateEstimatorTest, EnginesOfThatRate_Rate_IsFoundWithinAThird)
{
    record(300, GetParam());
    ASSERT_TRUE(estimator_.rate());
    EXPECT_GT(*estimator_.rate(), GetParam() * 0.67);
    EXPECT_LT(*estimator_.rate(), GetParam() * 1.33);
}

INSTANTIATE_TEST_SUITE_P(Rates, PrefillRateEstimatorTest, testing::Values(5, 50, 400, 4000));

TEST_F(PrefillRateEstimatorTest, FewCalls_Rate_IsNotKnown)
{
    record(PrefillRateOptions{}.minSamples - 1, 50);
    EXPECT_FALSE(estimator_.rate());
}

TEST_F(PrefillRateEstimatorTest, AllPromptsOfOneSize_Rate_IsNotKnown)
{
    for (int i = 0; i < 200; ++i) {
        estimator_.record(3000, 30ms + 1ms * (i % 7));
    }
    EXPECT_FALSE(estimator_.rate());
}

TEST_F(PrefillRateEstimatorTest, EnginesReplacedBySlowerOnes_Rate_FollowsTheLatestCalls)
{
    record(300, 400);
    record(300, 50);
    EXPECT_LT(*estimator_.rate(), 70);
}

TEST_F(PrefillRateEstimatorTest, OneGatewayIsFarOff_MedianRate_IsThatOfTheOthers)
{
    EXPECT_EQ(52, medianRate({50, 3000, 52}));
    EXPECT_FALSE(medianRate({}));
}

}

}
