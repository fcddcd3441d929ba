/**
 * Runs the real gateway before two endpoints, one of which leaves a request without an answer.
 */
#include "endpointthread.h"
#include "scriptedendpoint.h"
#include "usersplatformfixture.h"

#include <asio/post.hpp>
#include <asio/read.hpp>

#include <chrono>
#include <future>
#include <thread>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

constexpr const char *Success = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: signed\r\nContent-Length: 4\r\n\r\ndone";

class HedgedRequestsTest : public UsersPlatformTest
{
protected:
    /** More answers than the delay of hedges needs. */
    static constexpr int WarmUpRequests = 60;
    static constexpr int MaxRequestsUntilStall = 40;

    ~HedgedRequestsTest() override
    {
        thread_.stop();
    }

    void startWithHedges()
    {
        gateway_.reset();
        gateway_ = startGateway("entry-1", ip_, 2000, {"--hedge-ratio", "0.2"});
    }

    /** A route of this kind to both endpoints, which have answered some requests. */
    void warmUp(const char *kind)
    {
        first_.lastScript = {Success, Script::AfterResponse::KeepOpen};
        second_.lastScript = {Success, Script::AfterResponse::KeepOpen};
        putEndpoint("odd-1", "odd", first_.record().address);
        putEndpoint("odd-2", "odd", second_.record().address);
        putOpenRoutes({{.kind = kind}});
        ASSERT_TRUE(waitUntil([&] { return send().starts_with("HTTP/1.1 200"); }));
        for (int i = 0; i < WarmUpRequests; ++i) {
            ASSERT_TRUE(send().starts_with("HTTP/1.1 200"));
        }
        // Without other load one of the two endpoints gets all requests.
        preferred_ = first_.requests > second_.requests ? &first_ : &second_;
        // A refusal while the gateway started forbids hedges for one second.
        std::this_thread::sleep_for(1200ms);
    }

    void stallNextRequestOfPreferred()
    {
        std::promise<void> isSet;
        asio::post(thread_.context(), [&] {
            preferred_->scripts = {Script{}};
            isSet.set_value();
        });
        isSet.get_future().wait();
    }

    /** Sends requests until the preferred endpoint has got one more. @return the answer to that one. */
    std::string sendUntilPreferredIsAsked()
    {
        const int before = preferred_->requests;
        std::string answer;
        for (int i = 0; i < MaxRequestsUntilStall && preferred_->requests == before; ++i) {
            answer = send();
            ++sent_;
        }
        EXPECT_GT(preferred_->requests, before);
        return answer;
    }

    int requests() const
    {
        return first_.requests + second_.requests;
    }

    /** @return all bytes that the caller gets until its connection ends. */
    std::string send()
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect({asio::ip::make_address(ip_), gateway_->port("callers")});
        const std::string request = "POST /odd/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 1200\r\n"
                                    "Content-Length: 4\r\nConnection: close\r\n\r\nblue";
        asio::write(socket, asio::buffer(request));
        std::string answer;
        std::error_code ignored;
        asio::read(socket, asio::dynamic_buffer(answer), ignored);
        return answer;
    }

    EndpointThread thread_;
    ScriptedEndpoint first_{thread_.context()};
    ScriptedEndpoint second_{thread_.context()};
    ScriptedEndpoint *preferred_ = nullptr;
    int sent_ = 0;
};

// Guards against a caller that waits for an endpoint that has stalled, and against an endpoint that goes on with work nobody waits for.
TEST_F(HedgedRequestsTest, EndpointStalls_IdempotentRequest_IsAnsweredByTheOtherAndTheStalledCallIsClosed)
{
    startWithHedges();
    ASSERT_NO_FATAL_FAILURE(warmUp("idempotent"));
    const int before = requests();
    stallNextRequestOfPreferred();
    const std::string answer = sendUntilPreferredIsAsked();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
    EXPECT_TRUE(answer.ends_with("done")) << answer;
    EXPECT_TRUE(waitUntil([&] { return preferred_->closedWhileWaiting == 1; }));
    EXPECT_GT(requests() - before, sent_);
}

// Guards against a request that runs twice although it must not.
TEST_F(HedgedRequestsTest, EndpointStalls_NonIdempotentRequest_IsSentOnce)
{
    startWithHedges();
    ASSERT_NO_FATAL_FAILURE(warmUp("non_idempotent"));
    const int before = requests();
    stallNextRequestOfPreferred();
    const std::string answer = sendUntilPreferredIsAsked();
    EXPECT_FALSE(answer.starts_with("HTTP/1.1 200")) << answer;
    EXPECT_FALSE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_EQ(requests() - before, sent_);
}

// Guards against hedges that no operator has asked for.
TEST_F(HedgedRequestsTest, NoOption_IdempotentRequest_IsSentOnce)
{
    ASSERT_NO_FATAL_FAILURE(warmUp("idempotent"));
    const int before = requests();
    stallNextRequestOfPreferred();
    const std::string answer = sendUntilPreferredIsAsked();
    EXPECT_FALSE(answer.starts_with("HTTP/1.1 200")) << answer;
    EXPECT_EQ(requests() - before, sent_);
}

}

}
