/**
 * Two gateways before a cold endpoint and a warm one, with more requests than the cold one tolerates.
 */
#include "usersplatformfixture.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class ColdEndpointProcessTest : public UsersPlatformTest
{
protected:
    static constexpr int Rate = 10;
    /** Rate times bounds.cold_over and bounds.cold_slack, which have their defaults in these tests. */
    static constexpr std::ptrdiff_t Bound = 20;
    /** Until both gateways hold the division that names both. */
    static constexpr std::chrono::seconds DivisionTime{6};

    ColdEndpointProcessTest()
        : secondIp_(loopbackAddress("127.79."))
        , second_(startGateway("entry-2", secondIp_))
    {
        putRow("op",
               "config",
               {{"version", 2},
                {"routes",
                 {{{"name", "open"},
                   {"host", "shop.example"},
                   {"path_prefix", "/open/"},
                   {"kind", "non_idempotent"},
                   {"timeout_ms", 800},
                   {"service", "orders"},
                   {"max_attempts", 1},
                   {"anonymous", true}}}},
                {"services", {{{"name", "orders"}, {"max_connections", 50}, {"cold_per_s", Rate}, {"cold_s", 3}}}},
                {"limits", nlohmann::json::object()}});
    }

    void putOrders(const std::string &id, int sequence, int coldMs)
    {
        putRow("servers",
               id,
               {{"service", "orders"},
                {"address", "127.0.0.1:" + std::to_string(platform_.port("port"))},
                {"zone", "dc-1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_remaining_ms", coldMs},
                {"seq", sequence}});
    }

    bool waitUntilBothServe()
    {
        return waitUntil(
            [&] { return sendOrder("/open/1", "").code == 200 && sendOrderTo(*second_, secondIp_, "/open/1", "").code == 200; });
    }

    /** Sends some 60 requests a second to each gateway for that time. @return the number of requests that were not served. */
    int sendRequests(std::chrono::milliseconds time)
    {
        std::atomic<int> failed = 0;
        const auto end = std::chrono::steady_clock::now() + time;
        const auto send = [&](TestProcess &gateway, const std::string &ip) {
            while (std::chrono::steady_clock::now() < end) {
                failed += sendOrderTo(gateway, ip, "/open/1", "").code == 200 ? 0 : 1;
                std::this_thread::sleep_for(15ms);
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

    /** The most arrivals in any second. */
    static std::ptrdiff_t mostInASecond(const std::vector<std::int64_t> &arrivals)
    {
        std::ptrdiff_t most = 0;
        for (auto it = arrivals.begin(); it != arrivals.end(); ++it) {
            most = std::max(most, std::lower_bound(it, arrivals.end(), *it + 1000) - it);
        }
        return most;
    }

    std::string secondIp_;
    std::unique_ptr<TestProcess> second_;
};

// Guards against an endpoint that crashes since all gateways together send it more than it tolerates while it is cold, and against requests
// that fail although another endpoint is warm.
TEST_F(ColdEndpointProcessTest, EndpointIsCold_ManyRequests_ReachItWithinTheBoundAndTheRestGoesElsewhere)
{
    ASSERT_TRUE(waitUntilBothServe());
    // Both have the stand-in's address, so the second one is taken for a new run there and is cold at first.
    putOrders("endpoint-2", 1, 0);
    std::this_thread::sleep_for(DivisionTime);
    const auto before = arrivalsAt("endpoint-1").size();
    // The first of several endpoints without load is the one that requests prefer.
    putOrders("endpoint-1", 2, 60000);
    // Until both gateways have read the entries.
    std::this_thread::sleep_for(1s);
    EXPECT_EQ(sendRequests(5s), 0);
    auto arrivals = arrivalsAt("endpoint-1");
    arrivals.erase(arrivals.begin(), arrivals.begin() + static_cast<std::ptrdiff_t>(before));
    EXPECT_LE(mostInASecond(arrivals), Bound);
    EXPECT_GT(arrivals.size(), 0U) << "a cold endpoint is used, within its rate";
}

// Guards against requests that wait for a cold endpoint, or reach it beyond the bound, where there is no other.
TEST_F(ColdEndpointProcessTest, OnlyEndpointIsCold_ExcessRequests_AreRefusedAsNotRun)
{
    ASSERT_TRUE(waitUntilBothServe());
    std::this_thread::sleep_for(DivisionTime);
    const auto before = arrivalsAt("endpoint-1").size();
    putOrders("endpoint-1", 2, 60000);
    // Until both gateways have read the entry.
    std::this_thread::sleep_for(1s);
    EXPECT_GT(sendRequests(4s), 100);
    auto arrivals = arrivalsAt("endpoint-1");
    arrivals.erase(arrivals.begin(), arrivals.begin() + static_cast<std::ptrdiff_t>(before));
    EXPECT_LE(mostInASecond(arrivals), Bound);
    EXPECT_GT(arrivals.size(), 0U);
}

}

}
