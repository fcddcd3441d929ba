/**
 * Tests what a process does at which time of a planned stop.
 */
#include "stopschedule.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class StopScheduleTest : public testing::Test
{
protected:
    /** @param limit the rest of the request's time limit. */
    bool mayBegin(Milliseconds sinceStop, Milliseconds limit) const
    {
        return schedule_.mayBegin(begin_ + sinceStop, begin_ + sinceStop + limit);
    }

    TimePoint begin_{1000s};
    StopSchedule schedule_{8000ms};
};

TEST_F(StopScheduleTest, NoStop_AllMayBegin)
{
    EXPECT_FALSE(schedule_.isStopping());
    EXPECT_TRUE(schedule_.mayBegin(begin_, begin_ + 1h));
    EXPECT_FALSE(schedule_.mustEndProcess(begin_ + 1h));
}

// Guards against requests that are passed on late in the grace although the process ends before they can.
TEST_F(StopScheduleTest, LateInTheGrace_OnlyRequestsThatEndInTimeMayBegin)
{
    schedule_.begin(begin_);
    EXPECT_TRUE(mayBegin(1000ms, 15000ms));
    EXPECT_FALSE(mayBegin(3000ms, 15000ms));
    EXPECT_TRUE(mayBegin(3000ms, 2000ms));
    EXPECT_FALSE(mayBegin(6000ms, 1000ms));
    EXPECT_FALSE(mayBegin(7000ms, 1ms));
}

TEST_F(StopScheduleTest, GraceEnds_RequestsAreEndedBeforeTheProcessAndTheProcessBeforeItIsKilled)
{
    schedule_.begin(begin_);
    Milliseconds leave{0};
    Milliseconds endRequests{0};
    Milliseconds endProcess{0};
    for (Milliseconds time{0}; time < 8000ms; time += 100ms) {
        leave += schedule_.mustLeave(begin_ + time) ? 0ms : 100ms;
        endRequests += schedule_.mustEndRequests(begin_ + time) ? 0ms : 100ms;
        endProcess += schedule_.mustEndProcess(begin_ + time) ? 0ms : 100ms;
    }
    EXPECT_LT(leave, endRequests);
    EXPECT_LT(endRequests + 200ms, endProcess);
    EXPECT_LT(endProcess, 8000ms);
}

}

}
