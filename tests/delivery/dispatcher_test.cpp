/**
 * The dispatcher at the moment at which it drops the record of a request that ran: a late copy or a Cancel that arrives then must not be
 * answered with "not run".
 */
#include "dispatcher.h"

#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class DispatcherRecordExpiryTest : public testing::Test
{
protected:
    /** A record is kept for twice this long. */
    static constexpr Milliseconds MaxAge{300};

    /** Runs the request to its end without any time passing, so that its record is dropped as early as possible. */
    void runWithoutDelay()
    {
        ASSERT_EQ(RefusalReason::None, dispatcher_.submit(request_, start_).refusal);
        ASSERT_EQ(request_.id, dispatcher_.dispatch(start_));
        dispatcher_.onFinished(request_.id, 10, 10, start_);
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
TEST_F(DispatcherRecordExpiryTest, CopyArrivesAsRecordIsDropped_IsNotRefusedAsNotRun)
{
    runWithoutDelay();
    const RefusalReason reason = dispatcher_.submit(request_, start_ + 2 * MaxAge).refusal;
    EXPECT_TRUE(reason == RefusalReason::Duplicate || reason == RefusalReason::Unknowable);
}

TEST_F(DispatcherRecordExpiryTest, CancelledAsRecordIsDropped_CountsAsRun)
{
    runWithoutDelay();
    EXPECT_EQ(CancelResult::Ran, dispatcher_.cancel(request_.id, request_.tick, start_ + 2 * MaxAge));
}

TEST_F(DispatcherRecordExpiryTest, CopyArrivesAfterRecordIsDropped_IsUnknowable)
{
    runWithoutDelay();
    EXPECT_EQ(RefusalReason::Unknowable, dispatcher_.submit(request_, start_ + 2 * MaxAge + 1us).refusal);
}

}

}
