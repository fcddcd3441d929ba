/**
 * Runs the real gateway and holds it up (SIGSTOP) while callers come and leave. They guard against requests that reach endpoints although
 * their callers had left long before.
 */
#include "endpointthread.h"
#include "scriptedendpoint.h"
#include "usersplatformfixture.h"

#include <asio/connect.hpp>

#include <csignal>
#include <thread>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

/** An open route for idempotent requests to two endpoints that turn each request away, after a while. */
class LateGatewayTest : public UsersPlatformTest
{
protected:
    static constexpr auto AnswerDelay = 200ms;

    LateGatewayTest()
    {
        for (ScriptedEndpoint *endpoint : {&first_, &second_}) {
            endpoint->lastScript = {
                "HTTP/1.1 503 Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", Script::AfterResponse::KeepOpen, AnswerDelay};
        }
        putEndpoint("full-1", "look", first_.record().address);
        putEndpoint("full-2", "look", second_.record().address);
        putOpenRoutes({{.service = "look", .timeoutMs = 3000}});
    }

    ~LateGatewayTest() override
    {
        thread_.stop();
    }

    /** Waits until the gateway tries both endpoints. */
    bool waitUntilEndpointsAreKnown()
    {
        return waitUntil([&] {
            sendOrder("/look/1", "");
            return first_.requests > 0 && second_.requests > 0;
        });
    }

    int requestsAtEndpoints() const
    {
        return first_.requests + second_.requests;
    }

    tcp::socket connect()
    {
        tcp::socket socket(callerContext_);
        socket.connect({asio::ip::make_address(ip_), gateway_->port("callers")});
        return socket;
    }

    static void sendLook(tcp::socket &socket)
    {
        const std::string request = "GET /look/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 2500\r\n\r\n";
        asio::write(socket, asio::buffer(request));
    }

    EndpointThread thread_;
    ScriptedEndpoint first_{thread_.context()};
    ScriptedEndpoint second_{thread_.context()};
    asio::io_context callerContext_;
};

TEST_F(LateGatewayTest, CallersLeaveBeforeTheirRequestsAreRead_NoneReachesAnEndpoint)
{
    ASSERT_TRUE(waitUntilEndpointsAreKnown());
    std::vector<tcp::socket> callers;
    callers.push_back(connect());
    std::this_thread::sleep_for(50ms);
    const int before = requestsAtEndpoints();
    gateway_->sendSignal(SIGSTOP);
    for (int i = 0; i < 20; ++i) {
        callers.push_back(connect());
    }
    for (tcp::socket &caller : callers) {
        sendLook(caller);
    }
    std::this_thread::sleep_for(100ms);
    callers.clear();
    std::this_thread::sleep_for(600ms);
    gateway_->sendSignal(SIGCONT);
    std::this_thread::sleep_for(500ms);
    EXPECT_EQ(requestsAtEndpoints(), before);
}

// Guards against a second send of a request whose caller left while the gateway was held up: the endpoint's refusal is handled first.
TEST_F(LateGatewayTest, CallerLeavesBeforeItsRequestIsSentAgain_RequestIsNotSentAgain)
{
    ASSERT_TRUE(waitUntilEndpointsAreKnown());
    const int before = requestsAtEndpoints();
    {
        tcp::socket caller = connect();
        sendLook(caller);
        ASSERT_TRUE(waitUntil([&] { return requestsAtEndpoints() == before + 1; }));
        gateway_->sendSignal(SIGSTOP);
        std::this_thread::sleep_for(2 * AnswerDelay);
    }
    std::this_thread::sleep_for(600ms);
    gateway_->sendSignal(SIGCONT);
    std::this_thread::sleep_for(500ms);
    EXPECT_EQ(requestsAtEndpoints(), before + 1);
}

}

}
