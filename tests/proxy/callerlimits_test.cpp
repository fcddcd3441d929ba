/**
 * Tests the limits of what a server keeps for its callers, over real sockets on loopback. They guard against callers that make the process
 * keep requests sent ahead, unread responses or connections without a bound.
 */
#include "callerserver.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

class CallerLimitsTest : public testing::Test
{
protected:
    static constexpr std::size_t MaxBytes = std::size_t{4} << 20U;
    static constexpr std::size_t MaxConnections = 3;
    static constexpr int SmallBuffer = 4096;

    std::unique_ptr<CallerServer> newServer()
    {
        return std::make_unique<CallerServer>(
            context_,
            tcp::endpoint(asio::ip::address_v4::loopback(), 0),
            [] { return CallerLimits{}; },
            [this](const auto &exchange) { onRequest(exchange); },
            budget_);
    }

    tcp::socket newCaller(const CallerServer &server)
    {
        tcp::socket caller(context_);
        caller.open(tcp::v4());
        caller.set_option(asio::socket_base::receive_buffer_size(SmallBuffer));
        caller.connect(tcp::endpoint(asio::ip::address_v4::loopback(), server.port()));
        caller.non_blocking(true);
        run();
        return caller;
    }

    void send(tcp::socket &caller, const std::string &bytes)
    {
        std::error_code error;
        for (std::size_t sent = 0; sent < bytes.size() && !error;) {
            sent += caller.write_some(asio::buffer(bytes.data() + sent, bytes.size() - sent), error);
            run(2ms);
        }
    }

    void run(std::chrono::milliseconds time = 30ms)
    {
        context_.restart();
        context_.run_for(time);
    }

    /** Reads what has arrived. @return whether the connection has ended. */
    bool hasEnded(tcp::socket &caller)
    {
        run();
        std::array<char, 65536> buffer{};
        std::error_code error;
        while (!error) {
            readBytes_ += caller.read_some(asio::buffer(buffer), error);
        }
        return error != asio::error::would_block;
    }

    void onRequest(const std::shared_ptr<CallerExchange> &exchange)
    {
        ++requests_;
        if (answersAtOnce_) {
            exchange->sendResponse({200, "OK", {}}, answer_);
            return;
        }
        exchanges_.push_back(exchange);
    }

    asio::io_context context_;
    std::shared_ptr<CallerBudget> budget_ = std::make_shared<CallerBudget>(MaxBytes, MaxConnections);
    std::vector<std::shared_ptr<CallerExchange>> exchanges_;
    std::string answer_;
    bool answersAtOnce_ = false;
    int requests_ = 0;
    std::size_t readBytes_ = 0;
    std::unique_ptr<CallerServer> server_ = newServer();
};

const std::string Request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

std::string repeat(const std::string &text, int count)
{
    std::string result;
    for (int i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

// Guards against responses that pile up while the caller sends requests and reads nothing, and against a caller that is forgotten after it
// has read them.
TEST_F(CallerLimitsTest, CallerSendsAheadWithoutReading_RequestsWaitUntilItReads)
{
    constexpr int Count = 40;
    answersAtOnce_ = true;
    answer_ = std::string(std::size_t{256} * 1024, 'x');
    tcp::socket caller = newCaller(*server_);
    send(caller, repeat(Request, Count));
    run(200ms);
    EXPECT_LT(requests_, Count);
    EXPECT_LT(budget_->bytes.used(), MaxBytes);
    for (int i = 0; i < 200 && requests_ < Count; ++i) {
        EXPECT_FALSE(hasEnded(caller));
    }
    EXPECT_EQ(requests_, Count);
}

// Guards against input that grows by a whole read for each small request that is answered.
TEST_F(CallerLimitsTest, ThousandsOfRequestsAreSentAhead_BufferedInputStaysBounded)
{
    answersAtOnce_ = true;
    tcp::socket caller = newCaller(*server_);
    std::size_t most = 0;
    const std::string requests = repeat(Request, 2000);
    for (int i = 0; i < 20; ++i) {
        std::error_code error;
        caller.write_some(asio::buffer(requests), error);
        run(1ms);
        most = std::max(most, budget_->bytes.used());
    }
    EXPECT_LT(most, std::size_t{512} * 1024);
}

// Guards against unread responses of many callers that exceed the process's memory together.
TEST_F(CallerLimitsTest, UnreadResponsesExceedTheBudget_ConnectionWithTheMostIsClosed)
{
    tcp::socket larger = newCaller(*server_);
    tcp::socket smaller = newCaller(*server_);
    send(larger, Request);
    send(smaller, Request);
    ASSERT_EQ(exchanges_.size(), 2U);
    exchanges_[0]->beginResponse({200, "OK", {}}, std::nullopt);
    exchanges_[0]->sendBody(std::string(MaxBytes, 'x'));
    exchanges_[1]->beginResponse({200, "OK", {}}, std::nullopt);
    exchanges_[1]->sendBody(std::string(std::size_t{16} << 10U, 'x'));
    exchanges_[0]->sendBody(std::string(MaxBytes, 'x'));
    run();
    EXPECT_FALSE(exchanges_[0]->isOpen());
    EXPECT_TRUE(exchanges_[1]->isOpen());
    EXPECT_LT(budget_->bytes.used(), MaxBytes);
}

// Guards against listeners with bounds of their own, whose sum exceeds the process's descriptors.
TEST_F(CallerLimitsTest, AnotherListenerHasAllConnections_NewOne_TakesThePlaceOfTheLongestIdle)
{
    const auto other = newServer();
    tcp::socket first = newCaller(*other);
    tcp::socket second = newCaller(*other);
    tcp::socket third = newCaller(*other);
    tcp::socket fourth = newCaller(*server_);
    send(fourth, Request);
    // The request counts twice.
    EXPECT_EQ(exchanges_.size(), 1U);
    EXPECT_EQ(budget_->connections.used(), MaxConnections);
    EXPECT_TRUE(hasEnded(first));
    EXPECT_TRUE(hasEnded(second));
    EXPECT_FALSE(hasEnded(third));
}

// Guards against a request that is passed on although no connection to an endpoint can be made for it, and against a request in progress
// that is broken off for another.
TEST_F(CallerLimitsTest, AllConnectionsHaveRequestsInProgress_NextRequest_IsToBeRefused)
{
    tcp::socket first = newCaller(*server_);
    tcp::socket second = newCaller(*server_);
    send(first, Request);
    send(second, Request);
    ASSERT_EQ(exchanges_.size(), 2U);
    EXPECT_FALSE(exchanges_[0]->isBodyGivenUp());
    EXPECT_TRUE(exchanges_[1]->isBodyGivenUp());
    EXPECT_FALSE(hasEnded(first));
}

}

}
