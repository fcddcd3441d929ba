/**
 * Tests of StagePlanner: how many engines prefill and how many decode under the expected loads, and when engines are reassigned.
 */
#include "stageplanner.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class StagePlannerTest : public testing::Test
{
protected:
    static EngineTraits traits()
    {
        EngineTraits result;
        result.slots = 32;
        result.kvCacheTokens = 1400000;
        result.kvBytesPerToken = 327680;
        result.linkMegabitsPerSecond = 22000000;
        result.stageChangeTime = 3s;
        return result;
    }

    void addEngines(unsigned count, unsigned prefillEngines)
    {
        for (unsigned i = 0; i < count; ++i) {
            EndpointRecord engine;
            engine.id = "engine-" + std::to_string(engines_.size());
            engine.dataCentre = "dc-" + std::to_string(engines_.size() % 3);
            engine.stage = i < prefillEngines ? EngineStage::Prefill : EngineStage::Decode;
            engines_.push_back(engine);
        }
    }

    /** Runs steps until the number of engines counts as constant and a plan was made. @return the number of changes. */
    std::size_t settle(const std::optional<EngineWork> &work)
    {
        std::size_t changes = 0;
        for (int i = 0; i < 4; ++i) {
            changes += step(work);
        }
        return changes;
    }

    /** Runs one step per second with the workload of that second. @return the number of changes. */
    template<typename WorkAt>
    std::size_t changesOver(int seconds, WorkAt workAt)
    {
        std::size_t changes = 0;
        for (int second = 0; second < seconds; ++second) {
            changes += step(workAt(second));
        }
        return changes;
    }

    /** Plans once and applies the changes. @return their number. */
    std::size_t step(const std::optional<EngineWork> &work)
    {
        now_ += 1s;
        const auto changes = planner_.plan(engines_, 0, traits(), work, now_);
        for (const auto &change : changes) {
            const auto engine
                = std::find_if(engines_.begin(), engines_.end(), [&](const auto &each) { return each.id == change.engine.id; });
            engine->stage = change.stage;
        }
        return changes.size();
    }

    std::size_t prefillEngines() const
    {
        return static_cast<std::size_t>(
            std::count_if(engines_.begin(), engines_.end(), [](const auto &engine) { return engine.stage == EngineStage::Prefill; }));
    }

    std::vector<EndpointRecord> engines_;
    StagePlanner planner_{StagePlannerOptions{}};
    TimePoint now_{};
};

TEST_F(StagePlannerTest, NoTraffic_FirstPlan_FollowsTheAssumedWorkload)
{
    addEngines(9, 3);
    settle(std::nullopt);
    EXPECT_GE(prefillEngines(), 6U);
    EXPECT_LE(prefillEngines(), 7U);
}

/** Pattern: engines that prefill a seventh as fast, with slower links and more slots; before traffic nothing of this is known. */
TEST_F(StagePlannerTest, SlowEngines_BeforeTraffic_MostOfThemPrefillTheSame)
{
    EngineTraits slow = traits();
    slow.slots = 64;
    slow.kvBytesPerToken = 18432;
    slow.linkMegabitsPerSecond = 200000;
    addEngines(18, 6);
    for (int i = 0; i < 4; ++i) {
        now_ += 1s;
        for (const auto &change : planner_.plan(engines_, 0, slow, std::nullopt, now_)) {
            const auto engine
                = std::find_if(engines_.begin(), engines_.end(), [&](const auto &each) { return each.id == change.engine.id; });
            engine->stage = change.stage;
        }
    }
    EXPECT_GE(prefillEngines(), 13U);
    EXPECT_LE(prefillEngines(), 16U);
}

TEST_F(StagePlannerTest, EnginesDiscoveredOneByOne_BeforeTraffic_PlanCoversAllOfThem)
{
    addEngines(4, 2);
    EXPECT_EQ(step(std::nullopt), 0U);
    addEngines(5, 1);
    settle(std::nullopt);
    EXPECT_GE(prefillEngines(), 6U);
}

TEST_F(StagePlannerTest, SmallGain_BeforeTraffic_EnginesAreReassigned)
{
    addEngines(9, 5);
    settle(std::nullopt);
    EXPECT_GE(prefillEngines(), 6U);
}

TEST_F(StagePlannerTest, LoadSwingsWithinSeconds_StagesMatchTheMean_NothingChanges)
{
    addEngines(9, 6);
    settle(std::nullopt);
    const auto work = [](int second) {
        const bool prompts = second / 3 % 2 == 0;
        return EngineWork{prompts ? 1200.0 : 250.0, prompts ? 3600.0 : 800.0, 1, prompts ? 25.0 : 60.0};
    };
    EXPECT_EQ(changesOver(60, work), 0U);
}

TEST_F(StagePlannerTest, LoadSwingsEveryFourteenSeconds_TooShortForAChange_NothingChanges)
{
    addEngines(11, 7);
    settle(std::nullopt);
    const auto work = [](int second) {
        const bool prompts = second / 14 % 2 == 1;
        return EngineWork{prompts ? 1400.0 : 450.0, prompts ? 3600.0 : 1300.0, 1, prompts ? 40.0 : 110.0};
    };
    EXPECT_EQ(changesOver(84, work), 0U);
}

TEST_F(StagePlannerTest, ShortBurstOfAnswers_RequestsBeyondTheSlotsQueue_NothingChanges)
{
    addEngines(11, 7);
    settle(std::nullopt);
    const auto work = [](int second) { return EngineWork{1400, 3600, 2, second < 12 ? 40.0 : 400.0}; };
    EXPECT_EQ(changesOver(20, work), 0U);
}

TEST_F(StagePlannerTest, MostlyLongAnswers_ForAMinute_EnginesAreReassignedToDecode)
{
    addEngines(9, 7);
    settle(std::nullopt);
    for (int second = 0; second < 60; ++second) {
        step(EngineWork{100, 300, 2, 150});
    }
    EXPECT_LE(prefillEngines(), 4U);
}

TEST_F(StagePlannerTest, NoPrefillEngineLeft_NextPlan_ReassignsSomeButNotAll)
{
    addEngines(4, 0);
    settle(EngineWork{700, 2250, 0, 40});
    EXPECT_GE(prefillEngines(), 1U);
    EXPECT_LT(prefillEngines(), 4U);
}

TEST_F(StagePlannerTest, PromptsOnlyForAMinute_FourEngines_TwoKeepDecoding)
{
    addEngines(4, 2);
    settle(std::nullopt);
    for (int second = 0; second < 60; ++second) {
        step(EngineWork{2000, 6000, 0, 2});
    }
    EXPECT_EQ(prefillEngines(), 2U);
}

TEST_F(StagePlannerTest, NoDecodeEngineLeft_NextPlan_DoesNotWaitForAConstantNumberOfEngines)
{
    addEngines(8, 8);
    const auto changes = planner_.plan(engines_, 0, traits(), EngineWork{700, 2250, 0, 40}, now_ + 1s);
    ASSERT_FALSE(changes.empty());
    EXPECT_TRUE(changes.front().isUrgent);
}

TEST_F(StagePlannerTest, OneEngineOnly_AnyWorkload_NothingChanges)
{
    addEngines(1, 0);
    EXPECT_EQ(settle(EngineWork{700, 2250, 0, 40}), 0U);
}

}

}
