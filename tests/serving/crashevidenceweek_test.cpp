/**
 * A week in which one part of prompts crashes each engine that may try it, without a network or a clock.
 */
#include "crashevidence.h"

#include <gtest/gtest.h>

#include <malloc.h>

#include <string>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class CrashEvidenceWeekTest : public testing::Test
{
protected:
    static constexpr const char *Service = "model";
    static constexpr Duration Day = 24h;
    /** Time between two requests with the part. */
    static constexpr Duration Interval = 10s;

    /** Requests with the part come all the time; those that aren't refused crash their engine. */
    void runFor(Duration time)
    {
        const std::vector<PromptPart> prompt{{"deadly", 10}, {"own", 10}};
        for (const TimePoint end = now_ + time; now_ < end; now_ += Interval) {
            if (!evidence_.blockedFor(Service, prompt, now_)) {
                evidence_.onCrashed("run" + std::to_string(++crashes_), Service, prompt, now_, now_ + 100ms);
            }
            evidence_.expire(now_);
        }
    }

    static std::size_t heapBytes()
    {
        return mallinfo2().uordblks;
    }

    TimePoint now_{1h};
    int crashes_ = 0;
    CrashEvidence evidence_{CrashEvidenceOptions{}, [](const std::string &) { return true; }};
};

// Guards against evidence that grows with each trial of a part, which is kept for as long as it crashes engines.
TEST_F(CrashEvidenceWeekTest, PartCrashesAnEngineInEachTrial_WhatIsKept_DoesNotGrow)
{
    constexpr std::size_t AllowedGrowth = 4096;
    runFor(Day);
    const std::size_t afterOneDay = heapBytes();
    runFor(6 * Day);
    EXPECT_LE(heapBytes(), afterOneDay + AllowedGrowth) << crashes_ << " crashes";
}

}

}
