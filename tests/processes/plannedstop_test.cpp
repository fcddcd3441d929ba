/**
 * Stops the real gateway in a planned way (SIGTERM) while requests wait, arrive and are sent again. They guard against requests that are
 * passed on although the process ends before they can, and against callers that get no answer at its end.
 */
#include "endpointthread.h"
#include "scriptedendpoint.h"
#include "usersplatformfixture.h"

#include <asio/read.hpp>

#include <chrono>
#include <csignal>
#include <memory>
#include <thread>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

constexpr const char *Refusal = "HTTP/1.1 503 Unavailable\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/** A route for requests that must not be repeated, with a time limit beyond the grace of a stop. */
class PlannedStopTest : public UsersPlatformTest
{
protected:
    static constexpr int TimeoutMs = 15000;

    PlannedStopTest()
    {
        putEndpoint("odd-1", "odd", first_.record().address);
        putOpenRoutes({{.kind = "non_idempotent", .timeoutMs = TimeoutMs, .maxAttempts = 2}});
    }

    ~PlannedStopTest() override
    {
        thread_.stop();
    }

    static Script answer(std::chrono::milliseconds delay)
    {
        return {"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: signed\r\nContent-Length: 4\r\n\r\ndone",
                Script::AfterResponse::KeepOpen,
                delay};
    }

    /** Waits until requests reach the first endpoint, whose next answers are these. */
    bool waitUntilServed()
    {
        return waitUntil([&] { return send(*connect()).starts_with("HTTP/1.1 200"); });
    }

    std::unique_ptr<tcp::socket> connect()
    {
        auto socket = std::make_unique<tcp::socket>(context_);
        socket->connect({asio::ip::make_address(ip_), gateway_->port("callers")});
        return socket;
    }

    static std::string head(int deadlineMs = TimeoutMs)
    {
        return "POST /odd/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a1\r\nDeadline-Ms: " + std::to_string(deadlineMs)
            + "\r\nContent-Length: 4\r\nConnection: close\r\n\r\n";
    }

    static std::string readAnswer(tcp::socket &socket)
    {
        std::string bytes;
        std::error_code ignored;
        asio::read(socket, asio::dynamic_buffer(bytes), ignored);
        return bytes;
    }

    std::string send(tcp::socket &socket, int deadlineMs = TimeoutMs)
    {
        asio::write(socket, asio::buffer(head(deadlineMs) + "blue"));
        return readAnswer(socket);
    }

    void beginStop()
    {
        gateway_->sendSignal(SIGTERM);
        stopBegan_ = std::chrono::steady_clock::now();
    }

    void waitUntilAfterStop(std::chrono::milliseconds time)
    {
        std::this_thread::sleep_until(stopBegan_ + time);
    }

    asio::io_context context_;
    EndpointThread thread_;
    ScriptedEndpoint first_{thread_.context()};
    ScriptedEndpoint second_{thread_.context()};
    std::chrono::steady_clock::time_point stopBegan_;
};

// Guards against LOST: a request that was taken early in the grace, was refused by its endpoint late and is sent to another one that can't
// end.
TEST_F(PlannedStopTest, EndpointRefusesLateInTheGrace_Request_IsNotSentAgainAndIsRefusedAsNotRun)
{
    first_.lastScript = answer(0ms);
    ASSERT_TRUE(waitUntilServed());
    first_.scripts = {{Refusal, Script::AfterResponse::KeepOpen, 4000ms}};
    second_.lastScript = answer(10000ms);
    beginStop();
    waitUntilAfterStop(500ms);
    const auto socket = connect();
    asio::write(*socket, asio::buffer(head() + "blue"));
    std::this_thread::sleep_for(200ms);
    putEndpoint("odd-2", "odd", second_.record().address);
    const std::string bytes = readAnswer(*socket);
    EXPECT_TRUE(bytes.starts_with("HTTP/1.1 503")) << bytes;
    EXPECT_LT(std::chrono::steady_clock::now() - stopBegan_, 6s);
    EXPECT_EQ(second_.requests, 0);
}

// Guards against LOST: a caller whose connection is closed without an answer when the process ends.
TEST_F(PlannedStopTest, EndpointIsStillAtWorkAtTheEndOfTheGrace_Caller_GetsAnAnswerThatPromisesNothing)
{
    first_.lastScript = answer(0ms);
    ASSERT_TRUE(waitUntilServed());
    first_.scripts = {answer(14000ms)};
    beginStop();
    waitUntilAfterStop(500ms);
    const std::string bytes = send(*connect());
    EXPECT_TRUE(bytes.starts_with("HTTP/1.1 502")) << bytes;
    EXPECT_GT(std::chrono::steady_clock::now() - stopBegan_, 7s);
}

// Guards against LOST: a request whose head came early in the grace and whose end comes late.
TEST_F(PlannedStopTest, BodyEndsLateInTheGrace_Request_IsRefusedAsNotRunUnlessItsLimitEndsInTime)
{
    first_.lastScript = answer(0ms);
    ASSERT_TRUE(waitUntilServed());
    beginStop();
    waitUntilAfterStop(500ms);
    const auto longLimit = connect();
    const auto shortLimit = connect();
    asio::write(*longLimit, asio::buffer(head() + "bl"));
    asio::write(*shortLimit, asio::buffer(head(5000) + "bl"));
    waitUntilAfterStop(2000ms);
    asio::write(*longLimit, asio::buffer(std::string("u")));
    asio::write(*shortLimit, asio::buffer(std::string("u")));
    waitUntilAfterStop(3500ms);
    const int before = first_.requests;
    asio::write(*longLimit, asio::buffer(std::string("e")));
    EXPECT_TRUE(readAnswer(*longLimit).starts_with("HTTP/1.1 503"));
    EXPECT_EQ(first_.requests, before);
    asio::write(*shortLimit, asio::buffer(std::string("e")));
    EXPECT_TRUE(readAnswer(*shortLimit).starts_with("HTTP/1.1 200"));
}

// Guards against a stop in calm that cuts answers which take up to some seconds.
TEST_F(PlannedStopTest, AnswersTakeUpToFiveSeconds_RequestsOfTheFirstSeconds_AreAnswered)
{
    first_.lastScript = answer(0ms);
    ASSERT_TRUE(waitUntilServed());
    first_.scripts = {answer(100ms), answer(1000ms), answer(3000ms), answer(5000ms)};
    beginStop();
    waitUntilAfterStop(500ms);
    std::vector<std::unique_ptr<tcp::socket>> sockets;
    for (int i = 0; i < 4; ++i) {
        sockets.push_back(connect());
        asio::write(*sockets.back(), asio::buffer(head() + "blue"));
        std::this_thread::sleep_for(50ms);
    }
    for (const auto &socket : sockets) {
        EXPECT_TRUE(readAnswer(*socket).starts_with("HTTP/1.1 200"));
    }
}

}

}
