/**
 * Runs the real gateway while operators withdraw the last keys of a deployment.
 */
#include "usersplatformfixture.h"

namespace Chestnutcove {

namespace {

class WithdrawnKeysTest : public UsersPlatformTest
{
protected:
    /** Puts the usual routes with this list of customers. */
    void putCustomers(int version, const nlohmann::json &customers)
    {
        nlohmann::json configuration = configurationOf(version, {});
        configuration["tenants"] = customers;
        putRow("op", "config", configuration);
    }

    std::size_t requestsAtEndpoints()
    {
        return callAdmin("/admin/state")["requests"].size();
    }

    void expectNoRequestRuns()
    {
        const std::size_t before = requestsAtEndpoints();
        for (const char *key : {"key-1", "never-granted", ""}) {
            EXPECT_EQ(sendOrder("/orders/1", key).code, 401) << key;
        }
        EXPECT_EQ(requestsAtEndpoints(), before);
    }
};

// Guards against a gateway that serves every request once the last customer is gone: with withdrawn, unknown and no keys (ROUTE, CONFIG).
TEST_F(WithdrawnKeysTest, LastCustomerIsRemoved_RequestsWithAnyKey_AreRefusedAndOpenRoutesAreServed)
{
    ASSERT_TRUE(waitUntilServed("key-1"));
    putCustomers(2, nlohmann::json::array());
    EXPECT_TRUE(waitUntil([&] { return sendOrder("/orders/1", "key-1").code == 401; }, 2000));
    expectNoRequestRuns();
    EXPECT_EQ(sendOrder("/open/1", "").code, 200);
}

// Guards against the same at a gateway that has never seen a customer.
TEST_F(WithdrawnKeysTest, GatewayStartsWithoutAnyReadableCustomer_RequestsWithAnyKey_AreRefused)
{
    putCustomers(2, {{{"api_keys", {"key-1"}}}});
    gateway_.reset();
    startGateway();
    ASSERT_TRUE(waitUntil([&] { return sendOrder("/open/1", "").code == 200; }));
    expectNoRequestRuns();
}

// Guards against a forged name of a customer that reaches an endpoint on a route which needs no key.
TEST_F(WithdrawnKeysTest, CallerOfAnOpenRouteNamesACustomer_Endpoint_GetsNoName)
{
    ASSERT_TRUE(waitUntil([&] { return sendOrder("/open/1", "key-1").code == 200; }));
    const auto seen = callAdmin("/admin/state")["requests"].back();
    EXPECT_FALSE(seen["headers"].contains("Tenant"));
    EXPECT_FALSE(seen["headers"].contains("X-Api-Key"));
}

}

}
