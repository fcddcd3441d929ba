/**
 * The order of service at an endpoint: priority of classes, fairness among customers, no starvation, and a bounded queue. Also the retry
 * budget and the assembly of streamed answers.
 */
#include "answerassembler.h"
#include "dispatcher.h"
#include "retrybudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class FairQueueTest : public testing::Test
{
protected:
    void push(const std::string &customer, ServiceClass serviceClass, double tokens, double weight = 1)
    {
        queue_.push({++handle_, customer, serviceClass, weight, tokens, tokens / 100, TimePoint{1h}, TimePoint{2h}});
    }

    FairQueue queue_;
    std::uint64_t handle_ = 0;
};

TEST_F(FairQueueTest, UrgentAndBulkWait_UrgentGoesFirst)
{
    push("labels", ServiceClass::Bulk, 10);
    push("chats", ServiceClass::Urgent, 10);
    EXPECT_EQ(queue_.pop()->customer, "chats");
}

TEST_F(FairQueueTest, UrgentNeverEnds_EachLowerClassIsServedWithinSixteenDispatches)
{
    push("desk", ServiceClass::Standard, 10);
    push("labels", ServiceClass::Bulk, 10);
    std::map<std::string, int> served;
    for (int i = 0; i < 16; ++i) {
        push("chats", ServiceClass::Urgent, 10);
        ++served[queue_.pop()->customer];
    }
    EXPECT_EQ(served["desk"], 1);
    EXPECT_EQ(served["labels"], 1);
}

TEST_F(FairQueueTest, OneCustomerFloods_OtherCustomerGetsHalf)
{
    for (int i = 0; i < 100; ++i) {
        push("flood", ServiceClass::Standard, 100);
    }
    for (int i = 0; i < 20; ++i) {
        push("small", ServiceClass::Standard, 100);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 40; ++i) {
        ++served[queue_.pop()->customer];
    }
    EXPECT_EQ(served["small"], 20);
}

TEST_F(FairQueueTest, CustomerReturnsFromIdle_EarnsNoCredit)
{
    push("early", ServiceClass::Standard, 10);
    queue_.pop();
    for (int i = 0; i < 50; ++i) {
        push("busy", ServiceClass::Standard, 100);
    }
    for (int i = 0; i < 20; ++i) {
        queue_.pop();
    }
    for (int i = 0; i < 50; ++i) {
        push("early", ServiceClass::Standard, 100);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 20; ++i) {
        ++served[queue_.pop()->customer];
    }
    EXPECT_NEAR(served["early"], 10, 1);
}

RC_GTEST_PROP(FairQueue, BackloggedCustomers_ServedTokensDifferByAtMostTwoLargestRequests, ())
{
    const auto sizes
        = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(1, 200)));
    FairQueue queue;
    std::uint64_t handle = 0;
    std::map<std::string, double> waiting;
    for (const auto &[customer, size] : sizes) {
        const std::string name(1, static_cast<char>('a' + customer));
        queue.push({++handle, name, ServiceClass::Standard, 1, static_cast<double>(size), 0, TimePoint{1h}, TimePoint{2h}});
        waiting[name] += size;
    }
    std::map<std::string, double> served;
    while (const auto next = queue.pop()) {
        served[next->customer] += next->tokens;
        waiting[next->customer] -= next->tokens;
        for (const auto &[left, leftWaiting] : waiting) {
            for (const auto &[right, rightWaiting] : waiting) {
                if (leftWaiting > 0 && rightWaiting > 0) {
                    RC_ASSERT(std::abs(served[left] - served[right]) <= 400);
                }
            }
        }
    }
    RC_ASSERT(queue.size() == 0U);
}

class DispatcherTest : public testing::Test
{
protected:
    SubmittedRequest request(const std::string &customer, ServiceClass serviceClass = ServiceClass::Standard)
    {
        SubmittedRequest result;
        result.id = {1, ++number_};
        result.tick = clock_.issue(now_);
        result.customer = customer;
        result.serviceClass = serviceClass;
        result.promptTokens = 100;
        result.expectedOutputTokens = 100;
        result.queueTimeout = 60s;
        return result;
    }

    TimePoint now_{1h};
    TickClock clock_{7, 300ms};
    Dispatcher dispatcher_{{1, 4, 1000, 100}, clock_};
    std::uint64_t number_ = 0;
};

TEST_F(DispatcherTest, QueueFullAndOneCustomerHoldsMost_ItsLastRequestIsEvicted)
{
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(dispatcher_.submit(request("flood"), now_).refusal, RefusalReason::None);
    }
    const SubmitDecision decision = dispatcher_.submit(request("small"), now_);
    EXPECT_EQ(decision.refusal, RefusalReason::None);
    ASSERT_TRUE(decision.evicted.has_value());
    EXPECT_EQ(decision.evicted->number, 4U);
    EXPECT_EQ(dispatcher_.submit(request("flood"), now_).refusal, RefusalReason::QueueFull);
}

TEST_F(DispatcherTest, DeadlineCannotBeMet_RefusedAtOnceWithRetryTime)
{
    dispatcher_.submit(request("a"), now_);
    dispatcher_.dispatch(now_);
    dispatcher_.submit(request("a"), now_);
    SubmittedRequest hurried = request("b");
    hurried.queueTimeout = 100ms;
    const SubmitDecision decision = dispatcher_.submit(hurried, now_);
    EXPECT_EQ(decision.refusal, RefusalReason::DeadlineUnreachable);
    EXPECT_GT(decision.retryAfter, Duration::zero());
}

TEST_F(DispatcherTest, Draining_RefusesNewRequestsAndFinishesRunningOnes)
{
    const SubmittedRequest running = request("a");
    dispatcher_.submit(running, now_);
    EXPECT_TRUE(dispatcher_.dispatch(now_).has_value());
    dispatcher_.setDraining(true);
    EXPECT_EQ(dispatcher_.submit(request("b"), now_).refusal, RefusalReason::Draining);
    EXPECT_EQ(dispatcher_.running(), 1U);
    dispatcher_.onFinished(running.id, 100, 50, now_);
    EXPECT_EQ(dispatcher_.running(), 0U);
}

TEST_F(DispatcherTest, ClosedRecords_AreDroppedInTime)
{
    for (int i = 0; i < 100; ++i) {
        dispatcher_.cancel({9, static_cast<std::uint64_t>(i)}, clock_.issue(now_), now_);
    }
    EXPECT_EQ(dispatcher_.recordCount(), 100U);
    dispatcher_.expire(now_ + 1s);
    EXPECT_EQ(dispatcher_.recordCount(), 0U);
}

TEST(RetryBudget, ManyFailures_RetriesStayWithinTheRatio)
{
    RetryBudget budget(0.1, 5);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.recordFirstAttempt();
        retries += budget.tryTakeRetry() ? 1 : 0;
    }
    EXPECT_LE(retries, 105);
    EXPECT_GE(retries, 95);
}

TEST(AnswerAssembler, PiecesOfTextAndToolCalls_MakeOneMessage)
{
    AnswerAssembler answer;
    answer.add(R"([{"index":0,"delta":{"role":"assistant","content":"Mẫu "}}])");
    answer.add(
        R"([{"index":0,"delta":{"content":"xanh","tool_calls":[{"index":0,"id":"c","function":{"name":"stock","arguments":"{\"a\""}}]}}])");
    EXPECT_FALSE(answer.isComplete());
    answer.add(R"([{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"stop"}])");
    EXPECT_TRUE(answer.isComplete());
    EXPECT_EQ(answer.text(), "Mẫu xanh");
    EXPECT_EQ(answer.choices()[0]["message"]["tool_calls"][0]["function"]["arguments"], "{\"a\":1}");
}

}

}
