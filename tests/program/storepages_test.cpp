/**
 * Tests reads of rows that the users' store returns in several pages. They guard against rows that are taken for missing since they stand
 * behind the last row of a page.
 */
#include "httptable.h"
#include "scriptedendpoint.h"
#include "storeformat.h"

#include <absl/strings/escaping.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class StorePagesTest : public testing::Test
{
protected:
    static Script page(const std::vector<std::string> &keys, bool hasMore)
    {
        nlohmann::json rows = nlohmann::json::array();
        for (const std::string &key : keys) {
            rows.push_back({{"table", "t"}, {"part", ""}, {"key", key}, {"value", absl::Base64Escape("value of " + key)}, {"ver", 1}});
        }
        const std::string body = nlohmann::json{{"rows", rows}, {"more_pages", hasMore}, {"ver", 1}, {"now_ms", 1}}.dump();
        return {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
    }

    absl::StatusOr<TableRows> get(const std::vector<std::string> &keys)
    {
        PlatformOptions options;
        options.url = "http://" + store_.record().address.text();
        BasicHttpTable<Platform::StoreFormat> table(client_, options);
        std::optional<absl::StatusOr<TableRows>> result;
        table.get(keys, [&result](absl::StatusOr<TableRows> rows) { result = std::move(rows); });
        const auto end = std::chrono::steady_clock::now() + 3s;
        while (!result && std::chrono::steady_clock::now() < end) {
            context_.run_one_for(20ms);
        }
        return result.value_or(absl::InternalError("no result"));
    }

    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(context_);
    ScriptedEndpoint store_{context_};
    HttpClient client_{context_.get_executor(), std::chrono::seconds(60)};
};

// Guards against usage that is never reported after 500 windows: a seal that stands behind the page's last row was taken for missing.
TEST_F(StorePagesTest, RowsBetweenTheKeysFillAPage_LastKey_IsReadToo)
{
    store_.scripts = {page({"a", "b", "c"}, true), page({"z"}, false)};
    const auto rows = get({"a", "z"});
    ASSERT_TRUE(rows.ok()) << rows.status();
    EXPECT_TRUE(rows->contains("a"));
    ASSERT_TRUE(rows->contains("z"));
    EXPECT_EQ(rows->at("z").value, "value of z");
    EXPECT_EQ(store_.requests, 2);
}

TEST_F(StorePagesTest, MoreRowsBehindTheLastKey_OneReadIsEnough)
{
    store_.scripts = {page({"a", "z"}, true)};
    EXPECT_TRUE(get({"a", "z"}).ok());
    EXPECT_EQ(store_.requests, 1);
}

}

}
