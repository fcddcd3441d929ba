/**
 * An operator evacuates a data centre, and confines routes and customers to regions, while the real gateway serves requests.
 */
#include "usersplatformfixture.h"

#include <atomic>
#include <chrono>
#include <thread>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class EvacuationProcessTest : public UsersPlatformTest
{
protected:
    /** Time from the acknowledged row to the evacuation (evacuate_ms by default). */
    static constexpr int EvacuationMs = 5000;

    void evacuate(const std::string &dataCentre)
    {
        putRow("op", "evacuate/" + dataCentre, nlohmann::json::object());
    }

    void takeBack(const std::string &dataCentre)
    {
        removeRow("op", "evacuate/" + dataCentre);
    }

    /** Registers another endpoint at the stand-in's address. */
    void addEndpoint(const std::string &id, const std::string &dataCentre)
    {
        putRow("servers",
               id,
               {{"service", "orders"},
                {"address", "127.0.0.1:" + std::to_string(platform_.port("port"))},
                {"zone", dataCentre},
                {"slots", 8},
                {"state", "ready"},
                {"seq", 1}});
    }

    /** Number of requests for the endpoint so far. */
    std::size_t arrivalsAt(const std::string &endpoint)
    {
        std::size_t result = 0;
        const auto state = callAdmin("/admin/state");
        for (const auto &request : state["requests"]) {
            result += request["headers"].value("Expect-Instance", "") == endpoint ? 1 : 0;
        }
        return result;
    }

    bool waitUntilRefused()
    {
        return waitUntil([&] { return sendOrder("/open/1", "").code == 503; }, EvacuationMs);
    }
};

// Guards against requests that reach an endpoint of an evacuated data centre, or that aren't refused as not run where there is no other.
TEST_F(EvacuationProcessTest, DataCentreIsEvacuatedWhileRequestsRun_Requests_AreRefusedUntilItIsTakenBack)
{
    ASSERT_TRUE(waitUntilServed("key-1"));
    std::atomic<bool> isOver = false;
    std::atomic<int> otherAnswers = 0;
    std::jthread caller([&] {
        while (!isOver) {
            const int code = sendOrder("/open/1", "").code;
            otherAnswers += code == 200 || code == 503 ? 0 : 1;
        }
    });
    evacuate("dc-1");
    EXPECT_TRUE(waitUntilRefused());
    std::this_thread::sleep_for(100ms);
    const auto before = arrivalsAt("endpoint-1");
    std::this_thread::sleep_for(1s);
    EXPECT_EQ(sendOrder("/orders/1", "key-1").code, 503);
    EXPECT_EQ(arrivalsAt("endpoint-1"), before);
    takeBack("dc-1");
    EXPECT_TRUE(waitUntilServed("key-1"));
    isOver = true;
    caller.join();
    EXPECT_EQ(otherAnswers, 0);
    EXPECT_GT(arrivalsAt("endpoint-1"), before);
}

// Guards against requests that are refused although another data centre has endpoints, and against new endpoints that are used at once.
TEST_F(EvacuationProcessTest, OtherDataCentreHasEndpoint_Requests_GoThereAndNewEndpointsStayOut)
{
    ASSERT_TRUE(waitUntilServed("key-1"));
    evacuate("dc-1");
    ASSERT_TRUE(waitUntilRefused());
    addEndpoint("endpoint-2", "dc-2");
    ASSERT_TRUE(waitUntilServed("key-1"));
    addEndpoint("endpoint-3", "dc-1");
    const auto before = arrivalsAt("endpoint-1");
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(sendOrder("/orders/1", "key-1").code, 200);
        std::this_thread::sleep_for(20ms);
    }
    EXPECT_EQ(arrivalsAt("endpoint-1"), before);
    EXPECT_EQ(arrivalsAt("endpoint-3"), 0U);
    EXPECT_GE(arrivalsAt("endpoint-2"), 50U);
}

// Guards against a gateway that starts during an evacuation and learns of it only after its first requests.
TEST_F(EvacuationProcessTest, GatewayStartsDuringEvacuation_Requests_NeverReachTheDataCentre)
{
    gateway_->kill();
    evacuate("dc-1");
    const auto before = arrivalsAt("endpoint-1");
    startGateway();
    EXPECT_FALSE(waitUntil([&] { return sendOrder("/open/1", "").code == 200; }, 2000));
    EXPECT_EQ(arrivalsAt("endpoint-1"), before);
    takeBack("dc-1");
    EXPECT_TRUE(waitUntilServed("key-1"));
}

// Guards against an evacuation that ends because the store holds an older copy for a while.
TEST_F(EvacuationProcessTest, StoreComesBackFromCopyWithoutEvacuation_OperatorWritesItAgain_NothingReachesTheDataCentre)
{
    ASSERT_TRUE(waitUntilServed("key-1"));
    callAdmin("/admin/copy");
    evacuate("dc-1");
    ASSERT_TRUE(waitUntilRefused());
    const auto before = arrivalsAt("endpoint-1");
    callAdmin("/admin/restore");
    for (int i = 0; i < 15; ++i) {
        EXPECT_EQ(sendOrder("/open/1", "").code, 503);
        std::this_thread::sleep_for(100ms);
    }
    evacuate("dc-1");
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(sendOrder("/open/1", "").code, 503);
        std::this_thread::sleep_for(100ms);
    }
    EXPECT_EQ(arrivalsAt("endpoint-1"), before);
}

// Guards against requests that leave the regions of their customer or of their route.
TEST_F(EvacuationProcessTest, CustomerIsConfinedToRegion_Requests_ReachNoEndpointElsewhere)
{
    gateway_->kill();
    gateway_ = startGateway("entry-1", ip_, 2000, "zones.dc-1=north\nzones.dc-2=south\n");
    ASSERT_TRUE(waitUntilServed("key-1"));
    auto configuration = nlohmann::json::parse(R"({"version":2,"routes":[],"limits":{},
        "services":[{"name":"orders","health_path":"/healthz","max_connections":50}],
        "tenants":[{"name":"desk","api_keys":["key-2"],"allowed_regions":["south"],"rate_per_s":1000,"burst":1000}]})");
    configuration["routes"].push_back({{"name", "orders"},
                                       {"host", "shop.example"},
                                       {"path_prefix", "/orders/"},
                                       {"kind", "non_idempotent"},
                                       {"timeout_ms", 800},
                                       {"service", "orders"},
                                       {"max_attempts", 1},
                                       {"allowed_regions", {"south", "north"}}});
    putRow("op", "config", configuration);
    ASSERT_TRUE(waitUntil([&] { return sendOrder("/orders/1", "key-2").code == 503; }));
    const auto before = arrivalsAt("endpoint-1");
    addEndpoint("endpoint-2", "dc-2");
    ASSERT_TRUE(waitUntilServed("key-2"));
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(sendOrder("/orders/1", "key-2").code, 200);
    }
    EXPECT_EQ(arrivalsAt("endpoint-1"), before);
}

}

}
