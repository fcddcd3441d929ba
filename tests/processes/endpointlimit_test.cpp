/**
 * Two gateways before two endpoints, one of which names a limit on the requests that it takes from all gateways together.
 */
#include "usersplatformfixture.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class EndpointLimitProcessTest : public UsersPlatformTest
{
protected:
    static constexpr double Limit = 5;
    /** Time after an endpoint first named its limit from which on it must hold (contact_ms by default). */
    static constexpr std::chrono::milliseconds ContactTime{3000};
    static constexpr std::chrono::milliseconds Window{4000};
    /** What the users' rule allows in a window. */
    static constexpr double MaxRequestsInWindow = 1.5 * Limit * 4 + 5;
    /** The least of a limit that is to be used while there is demand. */
    static constexpr double LeastUse = 0.9;

    EndpointLimitProcessTest()
        : secondIp_(loopbackAddress("127.78."))
        , second_(startGateway("entry-2", secondIp_))
    {
    }

    void addSecondEndpoint()
    {
        putRow("servers",
               "endpoint-2",
               {{"service", "orders"},
                {"address", "127.0.0.1:" + std::to_string(platform_.port("port"))},
                {"zone", "dc-1"},
                {"slots", 8},
                {"state", "ready"},
                {"seq", 1}});
    }

    bool waitUntilBothServe()
    {
        return waitUntil(
            [&] { return sendOrder("/open/1", "").code == 200 && sendOrderTo(*second_, secondIp_, "/open/1", "").code == 200; });
    }

    /** Sends some 30 requests a second to each gateway for that time. @return the number of requests that were not served. */
    int sendRequests(std::chrono::milliseconds time)
    {
        std::atomic<int> failed = 0;
        const auto end = std::chrono::steady_clock::now() + time;
        const auto send = [&](TestProcess &gateway, const std::string &ip) {
            while (std::chrono::steady_clock::now() < end) {
                failed += sendOrderTo(gateway, ip, "/open/1", "").code == 200 ? 0 : 1;
                std::this_thread::sleep_for(30ms);
            }
        };
        std::jthread other([&] { send(*second_, secondIp_); });
        send(*gateway_, ip_);
        other.join();
        return failed;
    }

    /** Times at which requests for the endpoint arrived, in milliseconds of the stand-in, in ascending order. */
    std::vector<std::int64_t> arrivalsAt(const std::string &endpoint)
    {
        std::vector<std::int64_t> result;
        const auto state = callAdmin("/admin/state");
        for (const auto &request : state["requests"]) {
            if (request["headers"].value("Expect-Instance", "") == endpoint) {
                result.push_back(request["atMs"].get<std::int64_t>());
            }
        }
        return result;
    }

    static std::ptrdiff_t countBetween(const std::vector<std::int64_t> &arrivals, std::int64_t from, std::int64_t to)
    {
        return std::lower_bound(arrivals.begin(), arrivals.end(), to) - std::lower_bound(arrivals.begin(), arrivals.end(), from);
    }

    /** The most arrivals in any window that begins at @p from or later. */
    static std::ptrdiff_t mostInWindow(const std::vector<std::int64_t> &arrivals, std::int64_t from)
    {
        std::ptrdiff_t most = 0;
        for (const std::int64_t start : arrivals) {
            most = std::max(most, start < from ? 0 : countBetween(arrivals, start, start + Window.count()));
        }
        return most;
    }

    std::string secondIp_;
    std::unique_ptr<TestProcess> second_;
};

// Guards against an endpoint that gets more requests from all gateways together than the limit that it names, or far fewer.
TEST_F(EndpointLimitProcessTest, EndpointNamesLimit_AllGatewaysTogether_KeepToItAndTheRestGoesElsewhere)
{
    ASSERT_TRUE(waitUntilBothServe());
    addSecondEndpoint();
    // Until both gateways hold shares of limits.
    std::this_thread::sleep_for(6s);
    const auto namedFrom = arrivalsAt("endpoint-1").back();
    callAdmin("/admin/faults", {{"limits", {{"endpoint-1", "5.0"}}}});
    EXPECT_EQ(sendRequests(11s), 0);
    const auto arrivals = arrivalsAt("endpoint-1");
    const auto firstTold = *std::upper_bound(arrivals.begin(), arrivals.end(), namedFrom);
    const auto end = arrivals.back();
    EXPECT_LE(mostInWindow(arrivals, firstTold + ContactTime.count()), MaxRequestsInWindow);
    const double seconds = static_cast<double>(end - firstTold - ContactTime.count()) / 1000;
    EXPECT_GE(static_cast<double>(countBetween(arrivals, firstTold + ContactTime.count(), end)), LeastUse * Limit * seconds - 1);
}

// Guards against a gateway that learns of a limit only from its own answers, and sends many requests before the first of them.
TEST_F(EndpointLimitProcessTest, OtherGatewayWasTold_GatewayWithoutAnAnswerYet_KeepsToTheLimit)
{
    ASSERT_TRUE(waitUntilBothServe());
    std::this_thread::sleep_for(6s);
    callAdmin("/admin/faults", {{"limits", {{"endpoint-1", "2.0"}}}});
    EXPECT_EQ(sendOrder("/open/1", "").code, 200);
    std::this_thread::sleep_for(ContactTime);
    const auto before = arrivalsAt("endpoint-1").size();
    std::vector<std::jthread> callers;
    for (int i = 0; i < 20; ++i) {
        callers.emplace_back([&] { sendOrderTo(*second_, secondIp_, "/open/1", ""); });
    }
    callers.clear();
    EXPECT_LE(arrivalsAt("endpoint-1").size() - before, 4U);
}

// Guards against a limit that outlives its end.
TEST_F(EndpointLimitProcessTest, EndpointNamesLimitNoMore_Requests_ComeToItAsBefore)
{
    ASSERT_TRUE(waitUntilBothServe());
    std::this_thread::sleep_for(6s);
    callAdmin("/admin/faults", {{"limits", {{"endpoint-1", "5.0"}}}});
    sendRequests(2s);
    callAdmin("/admin/faults", {{"limits", nlohmann::json::object()}});
    // Each gateway learns it from its next answer.
    sendRequests(1s);
    const auto before = arrivalsAt("endpoint-1").size();
    EXPECT_EQ(sendRequests(2s), 0);
    EXPECT_GT(arrivalsAt("endpoint-1").size() - before, 10 * Limit);
}

// Guards against requests that wait for, or reach, an endpoint whose limit is used up although there is no other.
TEST_F(EndpointLimitProcessTest, OnlyEndpointNamesLimit_ExcessRequests_AreRefusedAtOnce)
{
    ASSERT_TRUE(waitUntilBothServe());
    std::this_thread::sleep_for(6s);
    callAdmin("/admin/faults", {{"limits", {{"endpoint-1", "2.0"}}}});
    sendRequests(3s);
    const auto before = arrivalsAt("endpoint-1").size();
    int refused = 0;
    for (int i = 0; i < 40; ++i) {
        const auto sentAt = std::chrono::steady_clock::now();
        const int code = sendOrder("/open/1", "").code;
        const auto took = std::chrono::steady_clock::now() - sentAt;
        EXPECT_TRUE(code == 200 || code == 503) << code;
        refused += code == 503 && took < 100ms ? 1 : 0;
        std::this_thread::sleep_for(25ms);
    }
    EXPECT_GE(refused, 30);
    EXPECT_LE(arrivalsAt("endpoint-1").size() - before, 10U);
}

}

}
