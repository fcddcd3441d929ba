/**
 * Tests of StagePlanner with engines whose prefill rates were learned: how many prefill, and which ones.
 */
#include "stageplanner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class StagePlannerRatesTest : public testing::Test
{
protected:
    static EngineTraits traits()
    {
        EngineTraits result;
        result.slots = 32;
        result.kvCacheTokens = 1400000;
        result.kvBytesPerToken = 18432;
        result.linkMegabitsPerSecond = 22000000;
        result.stageChangeTime = 3s;
        return result;
    }

    void addEngines(unsigned count, EngineStage stage)
    {
        for (unsigned i = 0; i < count; ++i) {
            EndpointRecord engine;
            engine.id = "engine-" + std::to_string(engines_.size());
            engine.dataCentre = "dc-0";
            engine.stage = stage;
            engines_.push_back(engine);
        }
    }

    /** Plans once a second with the same workload and applies the changes. */
    void play(int seconds, const EngineWork &work, const EngineRates &rates)
    {
        for (int second = 0; second < seconds; ++second) {
            now_ += 1s;
            for (const auto &change : planner_.plan(engines_, 0, traits(), work, now_, rates)) {
                const auto isIt = [&change](const EndpointRecord &each) { return each.id == change.engine.id; };
                std::find_if(engines_.begin(), engines_.end(), isIt)->stage = change.stage;
            }
        }
    }

    /** The same rate for the first @p count engines. */
    EngineRates ratesOfFirst(std::size_t count, double tokensPerMs) const
    {
        EngineRates rates;
        for (std::size_t i = 0; i < count; ++i) {
            rates[engines_[i].id] = tokensPerMs;
        }
        return rates;
    }

    std::set<std::string> prefillEngines() const
    {
        std::set<std::string> ids;
        for (const auto &engine : engines_) {
            if (engine.stage == EngineStage::Prefill) {
                ids.insert(engine.id);
            }
        }
        return ids;
    }

    std::vector<EndpointRecord> engines_;
    StagePlanner planner_{StagePlannerOptions{}};
    TimePoint now_{};
    /** Prompts that occupy 2.7 engines of 55 tokens a ms, and half an engine of 320; long answers that fill three engines. */
    const EngineWork work_{150, 150, 0, 90};
};

}

// Guards against engines that are moved to decode because the planner takes slow ones for six times as fast.
TEST_F(StagePlannerRatesTest, EnginesReadASixth_RateIsLearned_MoreOfThemKeepPrefilling)
{
    addEngines(6, EngineStage::Prefill);
    addEngines(3, EngineStage::Decode);
    StagePlanner unlearned = planner_;
    const auto engines = engines_;
    play(200, work_, ratesOfFirst(9, 55));
    const auto learnedCount = prefillEngines().size();
    planner_ = unlearned;
    engines_ = engines;
    now_ = {};
    play(200, work_, {});
    EXPECT_GE(learnedCount, 5U);
    EXPECT_LE(prefillEngines().size(), 4U) << "with the stated rate";
}

// Guards against a plan that follows one engine of many.
TEST_F(StagePlannerRatesTest, FewRatesAreKnown_Plan_FollowsTheStatedRate)
{
    addEngines(6, EngineStage::Prefill);
    addEngines(3, EngineStage::Decode);
    play(200, work_, ratesOfFirst(1, 55));
    EXPECT_LE(prefillEngines().size(), 4U);
}

// Guards against prompts that are prefilled by the slowest engines of a service.
TEST_F(StagePlannerRatesTest, NoPrefillEngineLeft_RatesAreKnown_TheFastestPrefill)
{
    addEngines(6, EngineStage::Decode);
    EngineRates rates = ratesOfFirst(6, 310);
    rates["engine-2"] = 620;
    rates["engine-4"] = 600;
    rates["engine-5"] = 590;
    const auto changes = planner_.plan(engines_, 0, traits(), EngineWork{700, 700, 0, 40}, now_ + 1s, rates);
    ASSERT_GE(changes.size(), 2U);
    EXPECT_EQ(changes[0].engine.id, "engine-2");
    EXPECT_EQ(changes[1].engine.id, "engine-4");
}

// Guards against the loss of the fastest prefill engines when some are to decode.
TEST_F(StagePlannerRatesTest, NoDecodeEngineLeft_RatesAreKnown_TheSlowestDecode)
{
    addEngines(6, EngineStage::Prefill);
    EngineRates rates = ratesOfFirst(6, 620);
    rates["engine-3"] = 310;
    rates.erase("engine-5");
    const auto changes = planner_.plan(engines_, 0, traits(), EngineWork{700, 700, 0, 40}, now_ + 1s, rates);
    ASSERT_GE(changes.size(), 2U);
    EXPECT_EQ(changes[0].engine.id, "engine-3");
    EXPECT_EQ(changes[1].engine.id, "engine-5") << "an unknown rate counts as the mean";
}

}
