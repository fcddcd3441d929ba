/**
 * Runs two gateways before servers of a plain service that end when they run one certain request, which its caller repeats.
 */
#include "crashingengine.h"
#include "endpointthread.h"
#include "usersplatformfixture.h"

#include <thread>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class DeadlyRequestTest : public UsersPlatformTest
{
protected:
    static constexpr const char *DeadlyPath = "/look/deadly";
    static constexpr std::chrono::milliseconds RestartTime{300};
    /** Within this time after the third crash all gateways must know the request (contact_ms by default). */
    static constexpr std::chrono::milliseconds ReportTime{3000};

    DeadlyRequestTest()
        : secondIp_(loopbackAddress("127.78."))
        , second_(startGateway("entry-2", secondIp_))
    {
        for (int i = 0; i < 3; ++i) {
            servers_.push_back(std::make_unique<CrashingEngine>(thread_.context(), DeadlyPath, RestartTime));
            putEndpoint("counter-" + std::to_string(i), "look", servers_.back()->address());
        }
        putOpenRoutes({{.service = "look", .timeoutMs = 800}});
    }

    ~DeadlyRequestTest() override
    {
        thread_.stop();
    }

    /** Sends a request to one gateway after the other. */
    int send(const std::string &path, const std::string &body = "blue")
    {
        const bool toSecond = ++sent_ % 2 == 0;
        TestRequest call;
        call.method = "POST";
        call.url
            = "http://" + (toSecond ? secondIp_ : ip_) + ':' + std::to_string((toSecond ? *second_ : *gateway_).port("callers")) + path;
        call.body = body;
        call.headers = {{"Host", "shop.example"}, {"Attempt-Id", "a" + std::to_string(sent_)}, {"Deadline-Ms", "700"}};
        call.timeoutMs = 3000;
        return sendRequest(call).code;
    }

    int crashes()
    {
        int sum = 0;
        for (const auto &server : servers_) {
            sum += server->crashes();
        }
        return sum;
    }

    EndpointThread thread_;
    std::vector<std::unique_ptr<CrashingEngine>> servers_;
    std::string secondIp_;
    std::unique_ptr<TestProcess> second_;
    int sent_ = 0;
};

// Guards against a request that ends one server after the other, since it is sent again for each of its repeats at any gateway.
TEST_F(DeadlyRequestTest, RequestCrashedThreeServers_ItComesAgain_FewServersCrashAndOtherRequestsAreServed)
{
    ASSERT_TRUE(waitUntil([&] { return send("/look/1") == 200 && send("/look/1") == 200; }));
    ASSERT_TRUE(waitUntil([&] {
        send(DeadlyPath);
        return crashes() >= 3;
    }));
    std::this_thread::sleep_for(ReportTime);
    const int before = crashes();
    int refused = 0;
    int served = 0;
    for (int i = 0; i < 60; ++i) {
        refused += send(DeadlyPath) == 503 ? 1 : 0;
        served += send("/look/1") == 200 ? 1 : 0;
        served += send("/look/new" + std::to_string(i)) == 200 ? 1 : 0;
        std::this_thread::sleep_for(100ms);
    }
    EXPECT_LE(crashes() - before, 3);
    EXPECT_GE(refused, 57);
    EXPECT_GE(served, 110);
}

// Guards against sound requests that are blamed for a crash which they only shared.
TEST_F(DeadlyRequestTest, ServersCrashUnderAnotherRequest_SoundRequestsWithTheSamePath_AreServed)
{
    ASSERT_TRUE(waitUntil([&] { return send("/look/1") == 200 && send("/look/1") == 200; }));
    ASSERT_TRUE(waitUntil([&] {
        send(DeadlyPath);
        return crashes() >= 3;
    }));
    EXPECT_TRUE(waitUntil([&] { return send("/look/1", "") == 200; }, 5000));
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(send("/look/1", ""), 200);
    }
}

}

}
