/**
 * Tests the connections to callers over real sockets on loopback. They guard against requests that are read wrongly, answers that look
 * complete and aren't, and callers whose disconnection goes unnoticed.
 */
#include "callerserver.h"
#include "suspendclock.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <gtest/gtest.h>

#include <sys/resource.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

class CallerServerTest : public testing::Test
{
protected:
    CallerServerTest()
    {
        client_.connect(tcp::endpoint(asio::ip::address_v4::loopback(), server_.port()));
        client_.non_blocking(true);
    }

    void send(const std::string &bytes)
    {
        asio::write(client_, asio::buffer(bytes));
        run();
    }

    void run()
    {
        context_.restart();
        context_.run_for(60ms);
        std::array<char, 4096> buffer{};
        std::error_code error;
        std::size_t size = 0;
        while ((size = client_.read_some(asio::buffer(buffer), error)) > 0) {
            received_.append(buffer.data(), size);
        }
        ended_ = ended_ || error == asio::error::eof;
    }

    CallerLimits limits_{200, 100, Milliseconds(100), Milliseconds(300)};
    asio::io_context context_;
    std::vector<std::shared_ptr<CallerExchange>> exchanges_;
    CallerServer server_{context_,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0),
                         [this] { return limits_; },
                         [this](const auto &exchange) { exchanges_.push_back(exchange); }};
    tcp::socket client_{context_};
    std::string received_;
    bool ended_ = false;
};

/** Takes all descriptors that the process may still open, for as long as it lives. */
class NoFreeDescriptors
{
public:
    NoFreeDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const int lowestFree = dup(STDIN_FILENO);
        close(lowestFree);
        rlimit none = before_;
        none.rlim_cur = static_cast<rlim_t>(lowestFree);
        setrlimit(RLIMIT_NOFILE, &none);
    }

    ~NoFreeDescriptors()
    {
        setrlimit(RLIMIT_NOFILE, &before_);
    }

private:
    rlimit before_{};
};

// Guards against an event loop that does nothing but try to accept a connection for which there is no descriptor.
TEST_F(CallerServerTest, NoDescriptorIsFree_WaitingConnection_IsTriedNowAndThenAndAcceptedLater)
{
    run();
    tcp::socket second(context_);
    second.connect(tcp::endpoint(asio::ip::address_v4::loopback(), server_.port()));
    context_.restart();
    {
        const NoFreeDescriptors none;
        EXPECT_LT(context_.run_for(300ms), 20U);
    }
    context_.run_for(300ms);
    EXPECT_EQ(2U, server_.openConnectionCount());
}

TEST_F(CallerServerTest, RequestWithBody_Arrives_IsDispatchedCompleteAndAnswered)
{
    send("POST /a?b=1 HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nContent-Length: 5\r\n\r\nhel");
    EXPECT_TRUE(exchanges_.empty());
    send("lo");
    ASSERT_EQ(exchanges_.size(), 1U);
    EXPECT_EQ(exchanges_[0]->head().target, "/a?b=1");
    EXPECT_EQ(exchanges_[0]->body(), "hello");
    exchanges_[0]->sendResponse({200, "OK", {{"X-Two", "2"}}}, "bye");
    run();
    EXPECT_EQ(received_, "HTTP/1.1 200 OK\r\nX-Two: 2\r\nContent-Length: 3\r\n\r\nbye");
    EXPECT_FALSE(ended_);
}

TEST_F(CallerServerTest, PipelinedRequest_Arrives_IsDispatchedAfterFirstResponse)
{
    send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_EQ(exchanges_.size(), 1U);
    exchanges_[0]->sendResponse({200, "OK", {}}, "");
    run();
    ASSERT_EQ(exchanges_.size(), 2U);
    EXPECT_EQ(exchanges_[1]->head().target, "/2");
}

TEST_F(CallerServerTest, CallerDisconnects_ResponsePending_HandlerIsCalled)
{
    send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    bool gone = false;
    exchanges_.at(0)->onCallerGone([&gone] { gone = true; });
    client_.close();
    context_.restart();
    context_.run_for(50ms);
    EXPECT_TRUE(gone);
    EXPECT_FALSE(exchanges_[0]->isOpen());
}

// Guards against requests of callers that had left being handed on, since the request is read before the end behind it.
TEST_F(CallerServerTest, CallerLeavesBeforeItsRequestIsRead_RequestIsNotDispatched)
{
    run();
    asio::write(client_, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    client_.close();
    context_.restart();
    context_.run_for(50ms);
    EXPECT_TRUE(exchanges_.empty());
    EXPECT_EQ(server_.openConnectionCount(), 0U);
}

// Guards against new connections that wait for a turn of the event loop each while the loop has other work.
TEST_F(CallerServerTest, NewConnectionsArrive_LoopIsBusy_AllAreServedWithinAFewTurns)
{
    constexpr std::size_t Connections = 100;
    std::vector<tcp::socket> callers;
    for (std::size_t i = 0; i < Connections; ++i) {
        callers.emplace_back(context_);
        callers.back().connect(tcp::endpoint(asio::ip::address_v4::loopback(), server_.port()));
        asio::write(callers.back(), asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    }
    constexpr int Turns = 10;
    int turns = 0;
    std::function<void()> work = [&] {
        std::this_thread::sleep_for(1ms);
        if (++turns < Turns) {
            asio::post(context_, work);
        }
    };
    asio::post(context_, work);
    context_.restart();
    while (turns < Turns) {
        context_.run_one();
    }
    EXPECT_EQ(exchanges_.size(), Connections);
}

TEST_F(CallerServerTest, StreamAborted_Caller_ReceivesNoCompleteResponse)
{
    send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    exchanges_.at(0)->beginResponse({200, "OK", {}}, std::nullopt);
    exchanges_[0]->sendBody("data: 1\n\n");
    run();
    exchanges_[0]->abort();
    run();
    EXPECT_NE(received_.find("data: 1"), std::string::npos);
    EXPECT_EQ(received_.find("0\r\n\r\n"), std::string::npos);
}

TEST_F(CallerServerTest, StreamEnds_Caller_GetsLastChunkAndKeepsConnection)
{
    send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    exchanges_.at(0)->beginResponse({200, "OK", {}}, std::nullopt);
    exchanges_[0]->sendBody("0123456789abcdef");
    exchanges_[0]->endResponse();
    run();
    EXPECT_NE(received_.find("\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n"), std::string::npos);
    EXPECT_FALSE(ended_);
}

TEST_F(CallerServerTest, LengthAndChunkedBothStated_Request_IsRefused)
{
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    EXPECT_TRUE(exchanges_.empty());
    EXPECT_TRUE(received_.starts_with("HTTP/1.1 400"));
    EXPECT_TRUE(ended_);
}

TEST_F(CallerServerTest, HeadTooLarge_Request_IsRefused)
{
    send("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(300, 'x'));
    EXPECT_TRUE(received_.starts_with("HTTP/1.1 431"));
}

// Guards against a limit that holds only for heads which arrive in several pieces.
TEST_F(CallerServerTest, HeadTooLargeArrivesAtOnceAndWhole_Request_IsRefused)
{
    send("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(300, 'x') + "\r\n\r\n");
    EXPECT_TRUE(exchanges_.empty());
    EXPECT_TRUE(received_.starts_with("HTTP/1.1 431")) << received_;
}

// Guards against heads of many short fields, which take more memory than their bytes.
TEST_F(CallerServerTest, HeadHasTooManyFields_Request_IsRefused)
{
    limits_.headerBytes = 16384;
    std::string head = "GET / HTTP/1.1\r\nHost: h\r\n";
    for (int i = 0; i < 2000; ++i) {
        head += "a:b\r\n";
    }
    send(head);
    EXPECT_TRUE(received_.starts_with("HTTP/1.1 431")) << received_;
    EXPECT_TRUE(ended_);
}

// Guards against memory, or an exception, for a length that is only stated.
TEST_F(CallerServerTest, LengthBeyondAllMemoryIsStatedAndNothingBoundsIt_Request_IsReadOn)
{
    limits_.bodyBytes = 0;
    EXPECT_NO_THROW(send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000000000000000\r\n\r\nx"));
    EXPECT_TRUE(exchanges_.empty());
    EXPECT_FALSE(ended_);
}

/** All bodies together have a bound below that of two of the largest. */
class KeptBodiesTest : public CallerServerTest
{
protected:
    static constexpr std::size_t MaxBodyBytes = 150;

    void sendFrom(tcp::socket &caller, const std::string &bytes)
    {
        asio::write(caller, asio::buffer(bytes));
        context_.restart();
        context_.run_for(20ms);
    }

    static std::string headOf(std::size_t length)
    {
        return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
    }

    tcp::socket callerOf(const CallerServer &server)
    {
        tcp::socket caller(context_);
        caller.connect(tcp::endpoint(asio::ip::address_v4::loopback(), server.port()));
        return caller;
    }

    CallerServer boundedServer_{context_,
                                tcp::endpoint(asio::ip::address_v4::loopback(), 0),
                                [this] { return limits_; },
                                [this](const auto &exchange) { exchanges_.push_back(exchange); },
                                MaxBodyBytes};
};

// Guards against bodies, each below its bound, that exceed the process's memory together.
TEST_F(KeptBodiesTest, BodyWouldExceedTheBoundOfAll_Request_IsToBeRefusedBeforeItsBodyArrives)
{
    tcp::socket first = callerOf(boundedServer_);
    tcp::socket second = callerOf(boundedServer_);
    sendFrom(first, headOf(90) + std::string(90, 'x'));
    sendFrom(second, headOf(90));
    ASSERT_EQ(exchanges_.size(), 2U);
    EXPECT_FALSE(exchanges_[0]->isBodyGivenUp());
    EXPECT_TRUE(exchanges_[1]->isBodyGivenUp());
    exchanges_[1]->sendResponse({503, "Unavailable", {}}, "");
    sendFrom(second, std::string(90, 'x'));
    EXPECT_EQ(exchanges_.size(), 2U) << "the body isn't another request";
    exchanges_[0]->sendResponse({200, "OK", {}}, "");
    exchanges_.clear();
    EXPECT_EQ(boundedServer_.keptBodyBytes(), 0U);
}

TEST_F(KeptBodiesTest, ArrivingBodiesExceedTheBoundOfAll_LargestThatIsStillRead_IsGivenUp)
{
    tcp::socket passedOn = callerOf(boundedServer_);
    tcp::socket larger = callerOf(boundedServer_);
    tcp::socket smaller = callerOf(boundedServer_);
    sendFrom(larger, headOf(60) + std::string(40, 'x'));
    sendFrom(smaller, headOf(60) + std::string(10, 'x'));
    sendFrom(passedOn, headOf(60) + std::string(60, 'x'));
    sendFrom(smaller, std::string(20, 'x'));
    ASSERT_EQ(exchanges_.size(), 1U);
    sendFrom(larger, std::string(19, 'x'));
    sendFrom(smaller, std::string(5, 'x'));
    ASSERT_EQ(exchanges_.size(), 2U);
    EXPECT_FALSE(exchanges_[0]->isBodyGivenUp());
    EXPECT_TRUE(exchanges_[1]->isBodyGivenUp());
    sendFrom(smaller, std::string(25, 'x'));
    ASSERT_EQ(exchanges_.size(), 3U);
    EXPECT_FALSE(exchanges_[2]->isBodyGivenUp());
    EXPECT_EQ(exchanges_[2]->body().size(), 60U);
}

TEST_F(CallerServerTest, BodyTooLarge_Request_IsRefusedBeforeBodyArrives)
{
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n");
    EXPECT_TRUE(received_.starts_with("HTTP/1.1 413"));
}

TEST_F(CallerServerTest, IncompleteHead_TimeoutPasses_RequestIsRefused)
{
    send("GET / HTTP/1.1\r\nHos");
    context_.restart();
    context_.run_for(150ms);
    server_.closeExpiredConnections(std::chrono::steady_clock::now() + 10s);
    run();
    EXPECT_TRUE(received_.starts_with("HTTP/1.1 408"));
}

TEST_F(CallerServerTest, CloseAnnounced_NextResponse_ClosesConnection)
{
    send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    server_.announceClose();
    exchanges_.at(0)->sendResponse({200, "OK", {}}, "");
    run();
    EXPECT_NE(received_.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(ended_);
}

class ClosingConnectionTest : public CallerServerTest
{
protected:
    static constexpr std::size_t ResponseBytes = std::size_t{16} << 20U;

    ClosingConnectionTest()
    {
        server_.announceClose();
        send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        exchanges_.at(0)->sendResponse({200, "OK", {}}, std::string(ResponseBytes, 'x'));
    }

    /** Reads up to this many bytes, and then lets the server look at its connections, after some more time. */
    void readSome(std::size_t bytes)
    {
        std::string buffer(bytes, '\0');
        std::error_code error;
        readBytes_ += client_.read_some(asio::buffer(buffer), error);
        hasEnded_ = error == asio::error::eof;
        context_.restart();
        context_.run_for(2ms);
        now_ += 2500ms;
        server_.closeExpiredConnections(now_);
    }

    TimePoint now_ = suspendAwareNow();
    std::size_t readBytes_ = 0;
    bool hasEnded_ = false;
};

// Guards against LOST: a planned stop that cuts the answer of a slow reader two seconds after the gateway has it.
TEST_F(ClosingConnectionTest, ReaderIsSlow_GetsItsWholeResponse)
{
    for (int i = 0; i < 200 && !hasEnded_; ++i) {
        readSome(std::size_t{1} << 20U);
    }
    EXPECT_GT(readBytes_, ResponseBytes);
}

TEST_F(ClosingConnectionTest, ReaderStandsStill_ConnectionIsClosedAfterAWhile)
{
    for (int i = 0; i < 4; ++i) {
        readSome(0);
    }
    EXPECT_EQ(server_.openConnectionCount(), 0U);
}

TEST_F(CallerServerTest, IdleConnection_CloseIdleConnections_ClosesGracefully)
{
    run();
    server_.closeIdleConnections();
    run();
    EXPECT_TRUE(ended_);
    EXPECT_TRUE(received_.empty());
}

}

}
