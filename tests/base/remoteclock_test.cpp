/**
 * Tests of RemoteClock: the mapped time is never later than the remote process read its clock, however its calls were delayed.
 */
#include "remoteclock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class RemoteClockTest : public testing::Test
{
protected:
    RemoteClock clock_;
    TimePoint start_{1000s};
};

TEST_F(RemoteClockTest, NoRemoteTime_ReadingTime_IsTheTimeOfTheCall)
{
    EXPECT_EQ(start_, clock_.readingTime(start_, std::nullopt, start_ + 2s));
}

TEST_F(RemoteClockTest, LongCallAfterAShortOne_ReadingTime_IsCloseToItsAnswer)
{
    clock_.readingTime(start_, 70ms, start_ + 4ms);
    const TimePoint sentAt = start_ + 10ms;
    const TimePoint receivedAt = sentAt + 2s;
    const TimePoint reading = clock_.readingTime(sentAt, 70ms + 10ms + 2s, receivedAt);
    EXPECT_LE(reading, receivedAt);
    EXPECT_GT(reading, receivedAt - 10ms);
}

TEST_F(RemoteClockTest, RemoteClockJumps_ReadingTime_StaysWithinTheCall)
{
    clock_.readingTime(start_, 70ms, start_ + 4ms);
    EXPECT_EQ(start_ + 3s, clock_.readingTime(start_ + 1s, 1h, start_ + 3s));
    EXPECT_GE(clock_.readingTime(start_ + 4s, 0ms, start_ + 5s), start_ + 4s);
}

TEST_F(RemoteClockTest, TimesOfBothClocks_Converted_AreTheSameInstant)
{
    EXPECT_FALSE(clock_.remoteTime(start_));
    EXPECT_FALSE(clock_.localTime(70ms));
    clock_.readingTime(start_, 70ms, start_ + 4ms);
    const auto remote = clock_.remoteTime(start_ + 5s);
    ASSERT_TRUE(remote);
    EXPECT_NEAR(static_cast<double>(remote->count()), 5070, 4);
    const auto local = clock_.localTime(*remote);
    ASSERT_TRUE(local);
    EXPECT_LE(*local, start_ + 5s + 1ms);
    EXPECT_GE(*local, start_ + 5s - 5ms);
}

/** Calls with random delays in both directions, to a process whose clock is up to 0.05 % faster or slower. */
RC_GTEST_PROP(RemoteClock, AnyDelays_ReadingTime_IsNeverLate, ())
{
    const int drift = *rc::gen::inRange(-500, 501);
    const auto delays
        = *rc::gen::container<std::vector<std::pair<int, int>>>(40, rc::gen::pair(rc::gen::inRange(0, 3000), rc::gen::inRange(0, 3000)));
    RemoteClock clock;
    const TimePoint start{1000s};
    TimePoint now = start;
    for (const auto &[there, back] : delays) {
        const TimePoint sentAt = now;
        const TimePoint readAt = sentAt + Milliseconds(there);
        const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(readAt - start);
        const auto remote = std::chrono::duration_cast<Milliseconds>(elapsed + elapsed * drift / 1000000 + 5s);
        now = readAt + Milliseconds(back);
        const TimePoint reading = clock.readingTime(sentAt, remote, now);
        RC_ASSERT(reading >= sentAt);
        RC_ASSERT(reading <= readAt + 1ms);
    }
}

}

}
