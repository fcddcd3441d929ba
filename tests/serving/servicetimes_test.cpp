/**
 * Tests of ServiceTimes: how long endpoints take relative to each other, learned from requests of several kinds, and what PlacementPolicy
 * makes of it.
 */
#include "servicetimes.h"

#include "placement.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr double Tolerance = 0.25;

class ServiceTimesTest : public testing::Test
{
protected:
    static EndpointRecord endpoint(const std::string &id)
    {
        EndpointRecord record;
        record.id = id;
        record.service = "app";
        record.dataCentre = "dc-0";
        record.slots = 8;
        record.startedAt = 1;
        return record;
    }

    /** Each endpoint answers requests of a quick route and of one that takes ten times as long; times vary by a fifth. */
    void playRequests(int count, std::optional<double> slowdown = 1.0)
    {
        std::uniform_real_distribution<double> noise(0.8, 1.2);
        std::bernoulli_distribution isLong(0.5);
        for (int i = 0; i < count; ++i) {
            for (const auto &[record, factor] : {std::pair(slow_, 2.0), std::pair(fast_, 1.0)}) {
                const bool isLongRequest = isLong(random_);
                const double seconds = (isLongRequest ? 0.1 : 0.01) * factor * slowdown.value_or(1) * noise(random_);
                now_ += 50ms;
                times().onAnswered(record, isLongRequest ? "long" : "quick", fromSeconds(seconds), ReportedLoad{1, 0, 8, slowdown}, now_);
            }
        }
    }

    ServiceTimes &times()
    {
        return speeds_.serviceTimes();
    }

    double ratio()
    {
        return times().relativeTime(slow_, now_) / times().relativeTime(fast_, now_);
    }

    std::string chosen()
    {
        PlacementQuery query;
        query.dataCentre = "dc-0";
        return placement_.place(query, {slow_, fast_}, now_).runEndpoint->id;
    }

    std::mt19937 random_{20261204};
    EndpointRecord slow_ = endpoint("slow");
    EndpointRecord fast_ = endpoint("fast");
    EndpointLoads loads_;
    EndpointSpeeds speeds_{EndpointSpeedOptions{}};
    PlacementPolicy placement_{PlacementOptions{}, loads_, speeds_};
    TimePoint now_{100s};
};

}

// Guards against a relative time that shows which requests an endpoint got instead of how fast it is.
TEST_F(ServiceTimesTest, EndpointsDifferByTwo_RequestsOfTwoKinds_RatioIsLearned)
{
    playRequests(400);
    EXPECT_NEAR(ratio() / 2, 1, Tolerance);
}

// Guards against a temporary slowdown that is learned as the speed of the endpoint.
TEST_F(ServiceTimesTest, EndpointsAreSlowedDown_RelativeTimes_StayTheSame)
{
    playRequests(200);
    playRequests(200, 2.5);
    EXPECT_NEAR(ratio() / 2, 1, Tolerance);
}

// Guards against other decisions than before for endpoints that report no slowdown.
TEST_F(ServiceTimesTest, ReportsHaveThreeFigures_ManyRequests_NothingIsLearnedAndTheFirstIsChosen)
{
    playRequests(400, std::nullopt);
    EXPECT_EQ(times().size(), 0U);
    EXPECT_EQ(times().relativeTime(slow_, now_), 1);
    EXPECT_EQ(chosen(), "slow") << "the first of equals";
}

// Guards against requests that are spread evenly over endpoints that differ in speed.
TEST_F(ServiceTimesTest, EndpointsDifferByTwo_RequestsInFlight_FastOneHoldsMoreOfThem)
{
    playRequests(400);
    for (int i = 0; i < 12; ++i) {
        loads_.onCallStarted(chosen(), {});
    }
    EXPECT_GE(loads_.loadOf("fast").calls, 7U);
    EXPECT_GE(loads_.loadOf("slow").calls, 3U) << "the slow one is used too";
}

// Guards against requests for an endpoint whose machine is slow for a moment.
TEST_F(ServiceTimesTest, EndpointReportsASlowdown_NextRequest_GoesElsewhereUntilTheReportExpires)
{
    loads_.onLoadReported("slow", {0, 0, 8, 2.5}, now_);
    EXPECT_EQ(chosen(), "fast");
    now_ += 400ms;
    EXPECT_EQ(chosen(), "slow") << "the first of equals";
}

// Guards against memory that grows with routes or endpoints, and times that outlive what they were learned from.
TEST_F(ServiceTimesTest, ManyClassesAndRuns_WhatIsKept_IsBounded)
{
    playRequests(400);
    for (int i = 0; i < 1000; ++i) {
        times().onAnswered(endpoint("other"), "class-" + std::to_string(i), 10ms, ReportedLoad{1, 0, 8, 1.0}, now_);
    }
    EXPECT_EQ(times().relativeTime(endpoint("other"), now_), 1) << "the first request of a class says nothing";
    EndpointRecord restarted = slow_;
    restarted.startedAt = 2;
    EXPECT_EQ(times().relativeTime(restarted, now_), 1);
    times().keepOnly({});
    EXPECT_EQ(times().size(), 0U);
    playRequests(400);
    now_ += 11min;
    EXPECT_EQ(times().relativeTime(slow_, now_), 1);
}

}
