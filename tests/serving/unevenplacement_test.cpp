/**
 * Tests of PlacementPolicy with engines that differ in speed: how prompts are shared between them, and that nothing changes for engines
 * that report no slowdown.
 */
#include "placement.h"

#include <gtest/gtest.h>

#include <map>
#include <vector>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t PromptTokens = 6000;

class UnevenPlacementTest : public testing::Test
{
protected:
    EndpointRecord addEngine(const std::string &id, std::optional<EngineStage> stage)
    {
        EndpointRecord engine;
        engine.id = id;
        engine.dataCentre = "dc-0";
        engine.slots = 32;
        engine.stage = stage;
        engines_.push_back(engine);
        return engine;
    }

    /** A prefill engine of that rate, which is learned from prompts that were alone there. */
    void addPrefillEngine(const std::string &id, double tokensPerMs, std::optional<double> slowdown = 1.0)
    {
        const EndpointRecord engine = addEngine(id, EngineStage::Prefill);
        const Duration duration = prefillTime(tokensPerMs) + EndpointSpeedOptions{}.callOverhead;
        for (int i = 0; i < 20; ++i) {
            speeds_.onPrefilled(engine, {PromptTokens, duration, true, ReportedLoad{1, 0, 32, slowdown}}, now_);
        }
        rates_[id] = tokensPerMs;
    }

    static Duration prefillTime(double tokensPerMs)
    {
        return fromSeconds(static_cast<double>(PromptTokens) / tokensPerMs / 1000);
    }

    /** A prompt that shares no part with another one. */
    static PlacementQuery promptOf(int number)
    {
        PlacementQuery query;
        query.dataCentre = "dc-0";
        query.generation = GenerationDemand{{{"prompt-" + std::to_string(number), PromptTokens}}, PromptTokens, 2};
        query.targetLatency = 150ms;
        query.maxWait = 2s;
        return query;
    }

    /**
     * Load pattern: prompts of the same length arrive evenly, for half a minute, at 0.98 of what the engines prefill together; each engine
     * prefills one after the other. @return the tokens that each engine got.
     */
    std::map<std::string, double> playEvenLoad()
    {
        double tokensPerMs = 0;
        for (const auto &[id, rate] : rates_) {
            tokensPerMs += rate;
        }
        std::map<std::string, double> tokens;
        const TimePoint end = now_ + 30s;
        for (int number = 0; now_ < end; ++number) {
            now_ += prefillTime(tokensPerMs * 0.98);
            endFinished();
            const auto placement = placement_.place(promptOf(number), engines_, now_);
            EXPECT_EQ(placement.result, Placement::Result::Placed);
            if (!placement.prefillEngine) {
                continue;
            }
            const std::string &id = placement.prefillEngine->id;
            tokens[id] += static_cast<double>(PromptTokens);
            start(id);
        }
        return tokens;
    }

    void start(const std::string &id)
    {
        const PromptWork work{PromptTokens, false, now_};
        loads_.onCallStarted(id, work);
        const TimePoint begin = std::max(now_, freeAt_[id]);
        freeAt_[id] = begin + prefillTime(rates_[id]);
        inFlight_.emplace(freeAt_[id], std::pair(id, work));
    }

    void endFinished()
    {
        while (!inFlight_.empty() && inFlight_.begin()->first <= now_) {
            const auto &[id, work] = inFlight_.begin()->second;
            loads_.onCallEnded(id, work, AttemptOutcome::Succeeded, inFlight_.begin()->first);
            inFlight_.erase(inFlight_.begin());
        }
    }

    std::vector<EndpointRecord> engines_;
    /** True rates by engine. */
    std::map<std::string, double> rates_;
    std::map<std::string, TimePoint> freeAt_;
    std::multimap<TimePoint, std::pair<std::string, PromptWork>> inFlight_;
    EndpointLoads loads_;
    EndpointSpeeds speeds_{EndpointSpeedOptions{}};
    PlacementPolicy placement_{PlacementOptions{}, loads_, speeds_};
    TimePoint now_{100s};
};

}

// Guards against prompts that queue at a slow engine while a fast one is idle.
TEST_F(UnevenPlacementTest, EnginesDifferByTwo_EvenLoadNearCapacity_GetWorkInThatRatio)
{
    addPrefillEngine("slow", 300);
    addPrefillEngine("fast", 600);
    addEngine("decode", EngineStage::Decode);
    auto tokens = playEvenLoad();
    ASSERT_GT(tokens["slow"], 0);
    EXPECT_GE(tokens["fast"] / tokens["slow"], 1.6);
    EXPECT_LE(tokens["fast"] / tokens["slow"], 2.4);
}

// Guards against prompts that wait at an engine whose machine is slow for a moment, and against a report that has effect for longer.
TEST_F(UnevenPlacementTest, EngineReportsASlowdown_NextPrompt_GoesElsewhereUntilTheReportExpires)
{
    addPrefillEngine("engine-0", 300);
    addPrefillEngine("engine-1", 300);
    addEngine("decode", EngineStage::Decode);
    const std::string first = placement_.place(promptOf(1), engines_, now_).prefillEngine->id;
    loads_.onLoadReported(first, {0, 0, 32, 2.5}, now_);
    EXPECT_DOUBLE_EQ(loads_.slowdown(first, now_), 2.5);
    EXPECT_NE(placement_.place(promptOf(1), engines_, now_).prefillEngine->id, first);
    EXPECT_DOUBLE_EQ(loads_.slowdown(first, now_ + 200ms), 1.75);
    now_ += 400ms;
    EXPECT_DOUBLE_EQ(loads_.slowdown(first, now_), 1);
    EXPECT_EQ(placement_.place(promptOf(1), engines_, now_).prefillEngine->id, first);
}

// Guards against other waits than before at engines that report three figures, whatever their calls show.
TEST_F(UnevenPlacementTest, ReportsHaveThreeFigures_ExpectedWait_FollowsTheConstant)
{
    addPrefillEngine("engine-0", 55, std::nullopt);
    addEngine("decode", EngineStage::Decode);
    loads_.onLoadReported("engine-0", {0, 0, 32}, now_);
    loads_.onCallStarted("engine-0", {20000, false, now_});
    EXPECT_EQ(placement_.place(promptOf(1), engines_, now_).expectedWait,
              fromSeconds(20000.0 / PlacementOptions{}.prefillTokensPerMs / 1000));
}

}
