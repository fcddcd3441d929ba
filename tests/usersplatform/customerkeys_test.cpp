/**
 * Tests whether a configuration asks callers for keys, and whose keys count, however its list of customers looks.
 */
#include "routecatalogue.h"
#include "rowdecoder.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Chestnutcove::Platform {

namespace {

using Json = nlohmann::json;

class CustomerKeysTest : public testing::Test
{
protected:
    static RouteCatalogue catalogueOf(const Json &configuration)
    {
        return RouteCatalogue(*decodeConfiguration(configuration.dump()));
    }

    static RouteCatalogue catalogueWith(const Json &customers)
    {
        return catalogueOf({{"version", 1}, {"tenants", customers}});
    }
};

TEST_F(CustomerKeysTest, ConfigurationWithoutCustomers_Callers_NeedNoKey)
{
    EXPECT_FALSE(catalogueOf({{"version", 1}}).needsKeys());
}

// Guards against requests that run without a key once the last customer is gone, or where no customer can be read (ROUTE).
TEST_F(CustomerKeysTest, ListOfCustomersIsEmptyOrUnreadable_Callers_NeedKeysAndNoneIsKnown)
{
    const Json noName{{"api_keys", {"key-1"}}};
    const Json emptyName{{"name", ""}, {"api_keys", {"key-1"}}};
    for (const Json &customers : {Json::array(),
                                  Json(nullptr),
                                  Json::object(),
                                  Json("desk"),
                                  Json(5),
                                  Json(false),
                                  Json::array({5, nullptr}),
                                  Json::array({noName}),
                                  Json::array({emptyName})}) {
        const RouteCatalogue catalogue = catalogueWith(customers);
        EXPECT_TRUE(catalogue.needsKeys()) << customers;
        EXPECT_EQ(catalogue.findCustomer("key-1"), nullptr) << customers;
        EXPECT_EQ(catalogue.findCustomer(""), nullptr) << customers;
    }
}

// Guards against requests without a key that are taken for those of a customer.
TEST_F(CustomerKeysTest, KeysOfACustomerAreMissingEmptyOrOfAnotherType_RequestWithoutAKey_BelongsToNobody)
{
    for (const Json &keys : {Json::array(), Json(nullptr), Json(""), Json("key-1"), Json::array({"", 5, nullptr})}) {
        const RouteCatalogue catalogue = catalogueWith(Json::array({{{"name", "desk"}, {"api_keys", keys}}, {{"name", "counter"}}}));
        EXPECT_TRUE(catalogue.needsKeys()) << keys;
        EXPECT_EQ(catalogue.findCustomer(""), nullptr) << keys;
        EXPECT_EQ(catalogue.findCustomer("key-1"), nullptr) << keys;
    }
}

TEST_F(CustomerKeysTest, AnonymousIsOfAnotherType_Route_NeedsAKey)
{
    for (const Json &anonymous : {Json(1), Json("true"), Json(nullptr), Json::array({true})}) {
        const Json route{
            {"host", "a.example"}, {"path_prefix", "/a/"}, {"kind", "idempotent"}, {"service", "app"}, {"anonymous", anonymous}};
        EXPECT_FALSE(catalogueOf({{"version", 1}, {"routes", {route}}}).routes().front().anonymous) << anonymous;
    }
}

}

}
