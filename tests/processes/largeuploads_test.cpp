/**
 * Runs the real gateway while many callers send the largest bodies that are allowed, to an endpoint that doesn't read them. It guards
 * against a gateway that keeps all of them until it exceeds its memory and ends, and with it the requests that sound endpoints are working
 * on.
 */
#include "usersplatformfixture.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

/** The request was passed on and may have run. */
bool mayHaveRun(int status)
{
    return status == BadGateway || status == GatewayTimeout;
}

class LargeUploadsTest : public UsersPlatformTest
{
protected:
    /** Of the gateway's process, as the settings have it by default. */
    static constexpr std::size_t MemoryBytes = std::size_t{256} << 20U;
    static constexpr std::size_t BodyBytes = std::size_t{4} << 20U;
    static constexpr int TimeoutMs = 4000;

    LargeUploadsTest()
    {
        putEndpoint("deaf-1", "uploads", {"127.0.0.1", deaf_.local_endpoint().port()});
        putOpenRoutes({{.service = "uploads", .kind = "non_idempotent", .timeoutMs = TimeoutMs, .maxAttempts = 1},
                       {.service = "orders", .kind = "non_idempotent", .timeoutMs = TimeoutMs, .maxAttempts = 1}});
    }

    int send(const std::string &path, const std::string &body) const
    {
        static std::atomic<int> lastId = 0;
        TestRequest call;
        call.method = "POST";
        call.url = "http://" + ip_ + ':' + std::to_string(gateway_->port("callers")) + path;
        call.body = body;
        call.headers
            = {{"Host", "shop.example"}, {"Attempt-Id", "u" + std::to_string(++lastId)}, {"Deadline-Ms", std::to_string(TimeoutMs)}};
        call.timeoutMs = 3 * TimeoutMs;
        return sendRequest(call).code;
    }

    asio::io_context context_;
    /** Its connections are made by the kernel; nobody reads what arrives on them. */
    asio::ip::tcp::acceptor deaf_{context_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
};

TEST_F(LargeUploadsTest, ManyCallersSendTheLargestBodies_GatewayStaysBelowItsMemoryAndServesOthers)
{
    constexpr int Callers = 100;
    ASSERT_TRUE(waitUntil([&] { return send("/orders/1", "blue") == 200; }));
    const std::string body(BodyBytes, 'x');
    std::atomic<int> passedOn = 0;
    std::atomic<int> refused = 0;
    std::vector<std::jthread> callers;
    for (int i = 0; i < Callers; ++i) {
        callers.emplace_back([&] {
            const int status = send("/uploads/1", body);
            passedOn += mayHaveRun(status) ? 1 : 0;
            refused += status == Unavailable ? 1 : 0;
        });
    }
    constexpr int Orders = 20;
    int served = 0;
    for (int i = 0; i < Orders; ++i) {
        served += send("/orders/1", "blue") == 200 ? 1 : 0;
        std::this_thread::sleep_for(50ms);
    }
    callers.clear();
    EXPECT_TRUE(gateway_->isRunning());
    EXPECT_LT(gateway_->peakResidentBytes(), MemoryBytes);
    EXPECT_EQ(passedOn + refused, Callers);
    EXPECT_GT(passedOn, 0);
    EXPECT_EQ(served, Orders);
    EXPECT_TRUE(mayHaveRun(send("/uploads/1", body))) << "the bytes of ended requests still count";
}

}

}
