/**
 * Tests of EndpointSpeeds: rates learned from the calls of one gateway among others at an engine that prefills one prompt after the other.
 */
#include "endpointspeeds.h"

#include "endpointloads.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr double Tolerance = 0.2;
constexpr double MeanTokens = 5250;

Duration milliseconds(double count)
{
    return fromSeconds(count / 1000);
}

class EndpointSpeedsTest : public testing::Test
{
protected:
    struct Prompt
    {
        TimePoint arrivedAt{};
        TimePoint endedAt{};
        double tokens = 0;
        double slowdown = 1;
        /** Sent by this gateway. */
        bool isOwn = false;
    };

    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }

    /** Prompts at random times, at an engine that is busy for @p utilisation of the time; times vary by a tenth beside the slowdown. */
    std::vector<Prompt> playPrompts(double tokensPerMs, double utilisation, std::size_t count)
    {
        std::vector<Prompt> prompts(count);
        std::exponential_distribution<double> gap(utilisation * tokensPerMs / (MeanTokens * MeanSlowdown));
        TimePoint freeAt = now_;
        for (Prompt &prompt : prompts) {
            now_ += milliseconds(gap(random_));
            prompt.arrivedAt = now_;
            prompt.tokens = std::floor(uniform(1500, 2 * MeanTokens - 1500));
            prompt.slowdown = uniform(1, 2 * MeanSlowdown - 1);
            prompt.isOwn = uniform(0, 1) < 0.3;
            const double duration = prompt.tokens / tokensPerMs * prompt.slowdown * uniform(0.9, 1.1);
            freeAt = std::max(freeAt, prompt.arrivedAt) + milliseconds(duration);
            prompt.endedAt = freeAt + milliseconds(uniform(1, 3));
        }
        return prompts;
    }

    /** What the engine reports when it answers the prompt: the prompts that have arrived and aren't done, with this one. */
    static ReportedLoad reportOf(const Prompt &prompt, const std::vector<Prompt> &prompts)
    {
        const auto isPresent = [&prompt](const Prompt &each) { return each.arrivedAt <= prompt.endedAt && each.endedAt >= prompt.endedAt; };
        const auto present = static_cast<unsigned>(std::count_if(prompts.begin(), prompts.end(), isPresent));
        return {1, present - 1, 32, prompt.slowdown};
    }

    /** Gives the answers of this gateway's prompts to the class under test, in the order of time. */
    void learnFrom(const std::vector<Prompt> &prompts)
    {
        struct Event
        {
            TimePoint at{};
            bool isEnd = false;
            const Prompt *prompt = nullptr;
        };
        std::vector<Event> events;
        for (const Prompt &prompt : prompts) {
            if (prompt.isOwn) {
                events.push_back({prompt.arrivedAt, false, &prompt});
                events.push_back({prompt.endedAt, true, &prompt});
            }
        }
        std::stable_sort(events.begin(), events.end(), [](const Event &left, const Event &right) { return left.at < right.at; });
        for (const Event &event : events) {
            const Prompt &prompt = *event.prompt;
            const PromptWork work{static_cast<std::uint64_t>(prompt.tokens), false, prompt.arrivedAt};
            if (!event.isEnd) {
                loads_.onCallStarted(engine_.id, work);
                continue;
            }
            loads_.onCallEnded(engine_.id, work, AttemptOutcome::Succeeded, event.at);
            const bool wasAlone = loads_.wasAlone(engine_.id, prompt.arrivedAt);
            speeds_.onPrefilled(
                engine_, {work.tokens, prompt.endedAt - prompt.arrivedAt, wasAlone, reportOf(prompt, prompts)}, prompt.endedAt);
        }
    }

    /** A prompt that was alone at an engine of that rate. */
    void learnOne(double tokensPerMs, std::optional<double> slowdown = 1.0)
    {
        now_ += 100ms;
        const Duration duration = milliseconds(6000 / tokensPerMs * slowdown.value_or(1)) + EndpointSpeedOptions{}.callOverhead;
        speeds_.onPrefilled(engine_, {6000, duration, true, ReportedLoad{0, 0, 32, slowdown}}, now_);
    }

    void learnSeveral(double tokensPerMs, int count)
    {
        for (int i = 0; i < count; ++i) {
            learnOne(tokensPerMs * uniform(0.95, 1.05));
        }
    }

    std::optional<double> learned() const
    {
        return speeds_.prefillTokensPerMs(engine_, now_);
    }

    static constexpr double MeanSlowdown = 1.5;

    std::mt19937 random_{20261204};
    EndpointRecord engine_ = [] {
        EndpointRecord engine;
        engine.id = "engine-0";
        engine.startedAt = 1;
        return engine;
    }();
    EndpointLoads loads_;
    EndpointSpeeds speeds_{EndpointSpeedOptions{}};
    TimePoint now_{100s};
};

}

// Guards against rates that are far too low because prompts of this gateway or of others were in front: 12 and 18 of 54.6 before.
TEST_F(EndpointSpeedsTest, EngineIsBusyHalfOfTheTime_RatesOfThreeKinds_AreLearnedWithinAFifth)
{
    for (const double tokensPerMs : {55.0, 310.0, 672.0}) {
        engine_.id = "engine-" + std::to_string(tokensPerMs);
        learnFrom(playPrompts(tokensPerMs, 0.5, 1000));
        ASSERT_TRUE(learned().has_value()) << tokensPerMs;
        EXPECT_NEAR(*learned() / tokensPerMs, 1, Tolerance) << tokensPerMs;
    }
}

// Guards against a rate that collapses, and moves engines to other stages, when prompts queue for long.
TEST_F(EndpointSpeedsTest, EngineIsOverloadedForAWhile_LearnedRate_StaysWithinAFifth)
{
    learnFrom(playPrompts(55, 0.4, 600));
    ASSERT_TRUE(learned().has_value());
    learnFrom(playPrompts(55, 1.3, 600));
    EXPECT_NEAR(*learned() / 55, 1, Tolerance);
}

// Guards against an estimate that follows single calls, such as a prompt that was cached or a pause of the engine.
TEST_F(EndpointSpeedsTest, FewOddSamples_AmongMany_DoNotMoveTheRate)
{
    learnSeveral(310, 40);
    for (const double odd : {3100.0, 31.0, 2000.0, 10.0, 5000.0, 4000.0}) {
        learnOne(odd);
    }
    EXPECT_NEAR(*learned() / 310, 1, Tolerance);
}

// Guards against a rate that is learned from one or two calls.
TEST_F(EndpointSpeedsTest, TooFewSamples_Rate_IsNotKnown)
{
    for (std::size_t i = 1; i < EndpointSpeedOptions{}.minSamples; ++i) {
        learnOne(55);
        EXPECT_FALSE(learned().has_value());
    }
    learnOne(55);
    EXPECT_TRUE(learned().has_value());
}

// Guards against other decisions than before for engines that report no slowdown.
TEST_F(EndpointSpeedsTest, ReportHasThreeFigures_ManySamples_NothingIsLearned)
{
    for (int i = 0; i < 100; ++i) {
        learnOne(55, std::nullopt);
    }
    EXPECT_FALSE(learned().has_value());
    EXPECT_EQ(speeds_.size(), 0U);
}

// Guards against a temporary slowdown that is learned as the speed of the engine.
TEST_F(EndpointSpeedsTest, EngineIsSlowedDown_Rate_IsTheOneWithoutSlowdown)
{
    for (int i = 0; i < 20; ++i) {
        learnOne(310, i % 2 == 0 ? 2.5 : 1.0);
    }
    EXPECT_NEAR(*learned() / 310, 1, Tolerance);
}

// Guards against samples that show the queue in front instead of the engine.
TEST_F(EndpointSpeedsTest, PromptWasNotAlone_ByOwnCallsOrTheReport_SampleIsNotUsed)
{
    for (int i = 0; i < 50; ++i) {
        speeds_.onPrefilled(engine_, {6000, 100ms, false, ReportedLoad{1, 0, 32, 1.0}}, now_);
        speeds_.onPrefilled(engine_, {6000, 100ms, true, ReportedLoad{1, 1, 32, 1.0}}, now_);
        speeds_.onPrefilled(engine_, {6000, 100ms, true, std::nullopt}, now_);
    }
    EXPECT_EQ(speeds_.size(), 0U);
}

// Guards against an estimate that never follows an engine whose machine has become another one.
TEST_F(EndpointSpeedsTest, EngineBecomesSlowerByTwo_SamplesOfBeforeHaveExpired_RateFollows)
{
    learnSeveral(310, 48);
    for (const TimePoint end = now_ + EndpointSpeedOptions{}.sampleLifetime + 10s; now_ < end;) {
        learnSeveral(155, 1);
        now_ += 5s;
    }
    EXPECT_NEAR(*learned() / 155, 1, Tolerance);
}

// Guards against rates that outlive what they were learned from.
TEST_F(EndpointSpeedsTest, NoSampleForLong_Rate_IsForgotten)
{
    learnSeveral(55, 20);
    now_ += 9min;
    EXPECT_TRUE(learned().has_value());
    now_ += 2min;
    EXPECT_FALSE(learned().has_value());
}

// Guards against the speed of another machine for an engine that was started anew under its old id.
TEST_F(EndpointSpeedsTest, EngineIsStartedAnew_Rate_BeginsFromTheStartValue)
{
    learnSeveral(55, 20);
    const EndpointRecord ended = engine_;
    engine_.startedAt = 2;
    EXPECT_FALSE(learned().has_value());
    learnSeveral(310, 20);
    EXPECT_NEAR(*learned() / 310, 1, Tolerance);
    speeds_.onPrefilled(ended, {6000, 109ms, true, ReportedLoad{1, 0, 32, 1.0}}, now_);
    speeds_.removeEndpoint(ended);
    EXPECT_NEAR(*learned() / 310, 1, Tolerance) << "a late answer of the ended run, and its end";
    speeds_.removeEndpoint(engine_);
    EXPECT_EQ(speeds_.size(), 0U);
}

}
