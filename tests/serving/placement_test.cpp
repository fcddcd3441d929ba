/**
 * Tests of PlacementPolicy and EndpointLoads under the expected load patterns: where requests are sent, and which ones are late or refused.
 */
#include "placement.h"

#include <gtest/gtest.h>

#include <set>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class PlacementTest : public testing::Test
{
protected:
    void addEngines(unsigned count, std::optional<EngineStage> stage)
    {
        for (unsigned i = 0; i < count; ++i) {
            EndpointRecord engine;
            engine.id = "engine-" + std::to_string(engines_.size());
            engine.dataCentre = "dc-" + std::to_string(engines_.size() % 3);
            engine.slots = 32;
            engine.stage = stage;
            engines_.push_back(engine);
        }
    }

    static PlacementQuery longPrompt(const std::string &session, const std::string &lastPart = "own")
    {
        PlacementQuery query;
        query.dataCentre = "dc-0";
        query.generation = GenerationDemand{{{"system", 2520}, {session, 3780}, {lastPart, 2890}}, 9190, 2};
        query.targetLatency = 150ms;
        query.maxWait = 2s;
        return query;
    }

    Placement place(const PlacementQuery &query) const
    {
        return placement_.place(query, engines_, now_);
    }

    std::vector<EndpointRecord> engines_;
    EndpointLoads loads_;
    EndpointSpeeds speeds_{EndpointSpeedOptions{}};
    PlacementPolicy placement_{PlacementOptions{}, loads_, speeds_};
    TimePoint now_{100s};
};

// Guards against prefill calls to endpoints that would run them: those of a plain service, whatever the request states.
TEST_F(PlacementTest, EndpointsWithoutStage_LongPrompt_IsNeverPrefilled)
{
    addEngines(3, std::nullopt);
    const auto placement = place(longPrompt("s1"));
    EXPECT_EQ(placement.result, Placement::Result::Placed);
    EXPECT_FALSE(placement.prefillEngine.has_value());
    EXPECT_TRUE(placement.runEndpoint.has_value());
}

TEST_F(PlacementTest, ServiceWithoutEngines_ItsEndpointsHaveStages_NothingIsPrefilled)
{
    addEngines(2, EngineStage::Prefill);
    addEngines(1, EngineStage::Decode);
    PlacementQuery query = longPrompt("s1");
    query.generation.reset();
    const auto placement = place(query);
    EXPECT_FALSE(placement.prefillEngine.has_value());
    EXPECT_EQ(placement.runEndpoint->stage, EngineStage::Decode);
}

// Guards against prompts that are prefilled for nothing while no engine can decode their answers.
TEST_F(PlacementTest, NoDecodeEngineCanTakeIt_LongPrompt_IsNotPrefilled)
{
    addEngines(6, EngineStage::Prefill);
    EXPECT_EQ(place(longPrompt("s1")).result, Placement::Result::NoEndpoint);
    addEngines(1, EngineStage::Decode);
    auto query = longPrompt("s1");
    EXPECT_EQ(place(query).result, Placement::Result::Placed);
    query.excluded.insert(engines_.back().id);
    EXPECT_EQ(place(query).result, Placement::Result::NoEndpoint);
}

TEST_F(PlacementTest, SecondRequestOfSession_EnginesIdle_GoesToTheSamePrefillEngine)
{
    addEngines(6, EngineStage::Prefill);
    addEngines(3, EngineStage::Decode);
    const auto first = place(longPrompt("s1"));
    const auto second = place(longPrompt("s1", "other"));
    ASSERT_TRUE(first.prefillEngine && second.prefillEngine);
    EXPECT_EQ(first.prefillEngine->id, second.prefillEngine->id);
    EXPECT_EQ(first.prefillEngine->stage, EngineStage::Prefill);
}

TEST_F(PlacementTest, ManySessions_EnginesIdle_AreDistributedOverAllPrefillEngines)
{
    addEngines(6, EngineStage::Prefill);
    addEngines(1, EngineStage::Decode);
    std::set<std::string> used;
    for (int i = 0; i < 100; ++i) {
        used.insert(place(longPrompt("s" + std::to_string(i))).prefillEngine->id);
    }
    EXPECT_EQ(used.size(), 6U);
}

TEST_F(PlacementTest, BurstOfOneSession_ItsEngineIsBusy_GoesToAnotherEngineAndIsNotLate)
{
    addEngines(6, EngineStage::Prefill);
    addEngines(1, EngineStage::Decode);
    const std::string sessionEngine = place(longPrompt("s1")).prefillEngine->id;
    for (int i = 0; i < 10; ++i) {
        loads_.onCallStarted(sessionEngine, {2890, false, now_});
    }
    const auto placement = place(longPrompt("s1"));
    EXPECT_EQ(placement.result, Placement::Result::Placed);
    EXPECT_NE(placement.prefillEngine->id, sessionEngine);
    EXPECT_FALSE(placement.isLate);
}

TEST_F(PlacementTest, BurstOfLongPrompts_AllEnginesBusy_IsPlacedAsLateAndThenRefused)
{
    addEngines(3, EngineStage::Prefill);
    addEngines(1, EngineStage::Decode);
    for (const auto &engine : engines_) {
        loads_.onCallStarted(engine.id, {60000, false, now_});
    }
    EXPECT_TRUE(place(longPrompt("s1")).isLate);
    EXPECT_EQ(place(longPrompt("s1")).result, Placement::Result::Placed);
    for (const auto &engine : engines_) {
        loads_.onCallStarted(engine.id, {300000, true, now_});
    }
    EXPECT_EQ(place(longPrompt("s1")).result, Placement::Result::Overloaded);
}

TEST_F(PlacementTest, BurstOfLongPrompts_OnlyLatePromptsQueued_NewOneIsTimely)
{
    addEngines(3, EngineStage::Prefill);
    addEngines(1, EngineStage::Decode);
    for (const auto &engine : engines_) {
        loads_.onCallStarted(engine.id, {60000, true, now_});
    }
    const auto placement = place(longPrompt("s1"));
    EXPECT_EQ(placement.result, Placement::Result::Placed);
    EXPECT_FALSE(placement.isLate);
}

TEST_F(PlacementTest, BurstOfLongPrompts_HalfOfOwnPromptsLate_HalfOfOtherGatewaysPromptsCount)
{
    addEngines(1, EngineStage::Prefill);
    addEngines(1, EngineStage::Decode);
    loads_.onCallStarted("engine-0", {2890, true, now_});
    loads_.onCallStarted("engine-0", {2890, false, now_});
    loads_.onLoadReported("engine-0", {16, 0, 32}, now_);
    EXPECT_FALSE(place(longPrompt("s1")).isLate);
    loads_.onCallStarted("engine-0", {20000, false, now_});
    EXPECT_TRUE(place(longPrompt("s1")).isLate);
}

TEST_F(PlacementTest, BurstOfLongPromptsAtOtherGateways_OwnPromptInFlightForLong_NextOneGoesToSessionEngineAsLate)
{
    addEngines(2, EngineStage::Prefill);
    addEngines(1, EngineStage::Decode);
    const std::string sessionEngine = place(longPrompt("s1")).prefillEngine->id;
    loads_.onCallStarted(sessionEngine, {100, false, now_ - 200ms});
    const auto placement = place(longPrompt("s1"));
    EXPECT_EQ(placement.prefillEngine->id, sessionEngine);
    EXPECT_TRUE(placement.isLate);
}

TEST_F(PlacementTest, LatePromptInFlightForLong_AnotherLateOne_IsRefused)
{
    addEngines(2, EngineStage::Prefill);
    addEngines(1, EngineStage::Decode);
    for (const auto &engine : engines_) {
        loads_.onCallStarted(engine.id, {40000, false, now_});
        loads_.onCallStarted(engine.id, {100, true, now_ - 400ms});
    }
    EXPECT_EQ(place(longPrompt("s1")).result, Placement::Result::Overloaded);
}

TEST_F(PlacementTest, EngineBusyWithOtherGatewaysRequests_LoadReported_PromptsGoElsewhereUntilTheReportExpires)
{
    addEngines(6, EngineStage::Prefill);
    addEngines(1, EngineStage::Decode);
    const std::string sessionEngine = place(longPrompt("s1")).prefillEngine->id;
    loads_.onLoadReported(sessionEngine, {20, 5, 32}, now_);
    EXPECT_NE(place(longPrompt("s1")).prefillEngine->id, sessionEngine);
    now_ += 1s;
    EXPECT_EQ(place(longPrompt("s1")).prefillEngine->id, sessionEngine);
}

TEST_F(PlacementTest, ShortPrompt_PrefillEnginesIdle_RunsOnADecodeEngineOnly)
{
    addEngines(6, EngineStage::Prefill);
    addEngines(3, EngineStage::Decode);
    PlacementQuery query = longPrompt("s1");
    query.generation = GenerationDemand{{{"system", 50}, {"s1", 30}, {"own", 140}}, 220, 2};
    const auto placement = place(query);
    EXPECT_FALSE(placement.prefillEngine.has_value());
    ASSERT_TRUE(placement.runEndpoint.has_value());
    EXPECT_EQ(placement.runEndpoint->stage, EngineStage::Decode);
}

TEST_F(PlacementTest, LongAnswersOccupyAllSlots_NextLongOne_IsRefusedAndShortOneIsNot)
{
    addEngines(2, EngineStage::Prefill);
    addEngines(2, EngineStage::Decode);
    for (const auto &engine : engines_) {
        for (unsigned i = 0; engine.stage == EngineStage::Decode && i < 2 * engine.slots; ++i) {
            loads_.onCallStarted(engine.id, {});
        }
    }
    PlacementQuery query = longPrompt("s1");
    query.generation = GenerationDemand{{{"s1", 80}, {"own", 140}}, 220, 90};
    EXPECT_EQ(place(query).result, Placement::Result::Overloaded);
    const auto prompt = place(longPrompt("s1"));
    EXPECT_EQ(prompt.result, Placement::Result::Placed);
    EXPECT_TRUE(prompt.hasShortAnswer);
}

TEST_F(PlacementTest, DecodeEnginesFull_LongPrompt_IsRefusedBeforePrefill)
{
    addEngines(2, EngineStage::Prefill);
    addEngines(1, EngineStage::Decode);
    for (unsigned i = 0; i < 4 * engines_.back().slots; ++i) {
        loads_.onCallStarted(engines_.back().id, {});
    }
    EXPECT_EQ(place(longPrompt("s1")).result, Placement::Result::Overloaded);
}

TEST_F(PlacementTest, NoPrefillEngine_LongPrompt_RunsOnADecodeEngineOnly)
{
    addEngines(3, EngineStage::Decode);
    EXPECT_TRUE(place(longPrompt("s1")).runEndpoint.has_value());
}

TEST_F(PlacementTest, NoDecodeEngine_ShortPrompt_HasNoEndpoint)
{
    addEngines(3, EngineStage::Prefill);
    PlacementQuery query;
    EXPECT_EQ(place(query).result, Placement::Result::NoEndpoint);
}

TEST_F(PlacementTest, EngineRefusesRequest_NextRequest_GoesToAnotherUntilTheBackoffEnds)
{
    addEngines(2, EngineStage::Decode);
    PlacementQuery query;
    const std::string first = place(query).runEndpoint->id;
    loads_.onCallStarted(first, {0, false, now_});
    loads_.onCallEnded(first, {0, false, now_}, AttemptOutcome::NotRun, now_);
    EXPECT_NE(place(query).runEndpoint->id, first);
    now_ += 100ms;
    EXPECT_EQ(place(query).runEndpoint->id, first) << "preferred again once the backoff has ended";
}

TEST_F(PlacementTest, EndpointWithoutStage_TwoCallsUnanswered_IsAvoided)
{
    addEngines(3, std::nullopt);
    PlacementQuery query;
    query.dataCentre = "dc-0";
    const std::string first = place(query).runEndpoint->id;
    for (int i = 0; i < 2; ++i) {
        loads_.onCallStarted(first, {0, false, now_});
        loads_.onCallEnded(first, {0, false, now_}, AttemptOutcome::NoAnswer, now_);
    }
    for (int i = 0; i < 5; ++i) {
        EXPECT_NE(place(query).runEndpoint->id, first);
    }
}

TEST_F(PlacementTest, EndpointsWithoutStage_OneMoreLoaded_OthersArePreferred)
{
    addEngines(3, std::nullopt);
    PlacementQuery query;
    query.dataCentre = "dc-0";
    for (int i = 0; i < 20; ++i) {
        loads_.onCallStarted("engine-0", {0, false, now_});
    }
    EXPECT_NE(place(query).runEndpoint->id, "engine-0");
}

}

}
