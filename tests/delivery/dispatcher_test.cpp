/**
 * The dispatcher at the moment at which it forgets a request: what it says of a late copy must still be true.
 */
#include "dispatcher.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class ForgettingDispatcher : public testing::Test
{
protected:
    /** A record is kept for twice this long. */
    static constexpr Milliseconds MaxAge{300};

    /** The request runs to its end without any time passing, so that the record is forgotten as early as possible. */
    void runAtOnce()
    {
        ASSERT_EQ(RefusalReason::None, dispatcher_.submit(request_, start_).refusal);
        ASSERT_EQ(request_.id, dispatcher_.dispatch(start_));
        dispatcher_.finished(request_.id, 10, 10, start_);
    }

    static SubmittedRequest requestWith(const Tick &tick)
    {
        SubmittedRequest request;
        request.id = {1, 1};
        request.tick = tick;
        request.customer = "desk";
        request.queueTimeout = 500ms;
        return request;
    }

    TimePoint start_{1h};
    TickClock clock_{1, MaxAge};
    Dispatcher dispatcher_{DispatcherOptions{}, clock_};
    SubmittedRequest request_ = requestWith(clock_.issue(start_));
};

// Found by RC_PARAMS="seed=1658980081 max_success=1000 max_size=200" on Delivery.NonIdempotentRequest_RunsAtMostOnceAndNotRunIsTrue.
TEST_F(ForgettingDispatcher, CopyArrivesAsRecordIsForgotten_IsNotRefusedAsNotRun)
{
    runAtOnce();
    const RefusalReason reason = dispatcher_.submit(request_, start_ + 2 * MaxAge).refusal;
    EXPECT_TRUE(reason == RefusalReason::Duplicate || reason == RefusalReason::Unknowable);
}

TEST_F(ForgettingDispatcher, CancelledAsRecordIsForgotten_CountsAsRun)
{
    runAtOnce();
    EXPECT_EQ(CancelResult::Ran, dispatcher_.cancel(request_.id, request_.tick, start_ + 2 * MaxAge));
}

TEST_F(ForgettingDispatcher, CopyArrivesAfterRecordIsForgotten_IsUnknowable)
{
    runAtOnce();
    EXPECT_EQ(RefusalReason::Unknowable, dispatcher_.submit(request_, start_ + 2 * MaxAge + 1us).refusal);
}

}

}
