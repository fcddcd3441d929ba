/**
 * A week in which servers come and go under new ids, without a network or a clock: what a gateway keeps of them must not grow.
 */
#include "endpointdirectory.h"
#include "endpointlimits.h"
#include "placement.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class EndpointWeekTest : public testing::Test
{
protected:
    static constexpr int ServersAtOnce = 8;
    static constexpr Duration LifeTime = 8min;
    static constexpr Duration NewServerInterval = LifeTime / ServersAtOnce;
    static constexpr Duration Week = 7 * 24h;
    /** Time for which a limit is remembered that other gateways may still tell of. */
    static constexpr Duration LimitMemory = 10min;
    /** Servers that may still be known: those present, and those that left since the last search. */
    static constexpr std::size_t MaxKnown = ServersAtOnce + 2;

    static EndpointRecord server(int number)
    {
        EndpointRecord record;
        record.id = "server-" + std::to_string(number);
        record.service = "lm";
        record.startedAt = static_cast<std::uint64_t>(number) + 1;
        return record;
    }

    /** A prompt is prefilled by a server whose entry vanishes meanwhile; its answer comes afterwards. */
    void serveWhileLeaving(const EndpointRecord &record)
    {
        const PromptWork prompt{1000, false, now_};
        loads_.onCallStarted(record.id, prompt);
        directory_.onEntriesMissing({record.id}, now_);
        dropEnded();
        now_ += 1s;
        loads_.onLoadReported(record.id, {}, now_);
        limits_.observe(EndpointLimits::runOf(record), {10, now_});
        loads_.onCallEnded(record.id, prompt, AttemptOutcome::Succeeded, now_);
        speeds_.onPrefilled(record, {prompt.tokens, 10ms, true, ReportedLoad{1, 0, 32, 1.0}}, now_);
        placement_.recordPrefill(record.id, {{"part of " + record.id, 500}, {"own", 500}}, prompt.tokens);
    }

    void dropEnded()
    {
        for (const auto &record : directory_.takeEndedRuns(now_)) {
            loads_.removeEndpoint(record.id);
            placement_.removeEndpoint(record.id);
            speeds_.removeEndpoint(record);
            limits_.remove(EndpointLimits::runOf(record));
        }
    }

    void forgetGone()
    {
        std::set<std::string> present;
        for (const auto &record : directory_.allEndpoints()) {
            present.insert(record.id);
        }
        loads_.keepOnly(present);
        placement_.keepOnly(present);
        speeds_.keepOnly(present);
        limits_.removeStale(now_);
    }

    EndpointDirectory directory_{EndpointDirectoryOptions{}};
    EndpointLoads loads_;
    EndpointSpeeds speeds_{EndpointSpeedOptions{}};
    PlacementPolicy placement_{PlacementOptions{}, loads_, speeds_};
    EndpointLimits limits_;
    TimePoint now_{1h};
};

// Guards against memory that grows with each server that ever was, since its last answers come after its entry has gone.
TEST_F(EndpointWeekTest, ServersComeAndGoUnderNewIds_WhatIsKept_DoesNotGrow)
{
    const TimePoint end = now_ + Week;
    for (int number = 0; now_ < end; ++number) {
        directory_.onRegistered(server(number));
        if (number >= ServersAtOnce) {
            serveWhileLeaving(server(number - ServersAtOnce));
        }
        now_ += NewServerInterval;
        forgetGone();
    }
    EXPECT_LE(directory_.allEndpoints().size(), MaxKnown);
    EXPECT_LE(loads_.size(), MaxKnown);
    EXPECT_LE(placement_.trackedEndpoints(), MaxKnown);
    EXPECT_LE(speeds_.size(), MaxKnown);
    EXPECT_LE(limits_.limitedRuns(), MaxKnown + static_cast<std::size_t>(LimitMemory / NewServerInterval));
}

// Guards against the loss of what is known of a server that works, though its entry is missing for a while.
TEST_F(EndpointWeekTest, CallIsInFlight_EndpointIsUnknown_ItsLoadIsKeptUntilTheCallEnds)
{
    const PromptWork prompt{1000, false, now_};
    loads_.onCallStarted("gone", prompt);
    loads_.keepOnly({});
    EXPECT_EQ(loads_.loadOf("gone").calls, 1U);
    loads_.onCallEnded("gone", prompt, AttemptOutcome::Succeeded, now_);
    loads_.keepOnly({});
    EXPECT_EQ(loads_.size(), 0U);
}

}

}
