/**
 * Fixture of the tests that run the real gateway against a stand-in of the users' platform.
 */
#pragma once

#include "endpointrecord.h"
#include "testprocess.h"

#include <gtest/gtest.h>

#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Chestnutcove {

class UsersPlatformTest : public testing::Test
{
protected:
    /** @param furtherSettings lines that the gateways' settings contain in addition. */
    explicit UsersPlatformTest(std::string furtherSettings = {})
        : platform_({STANDIN, "users-platform"})
        , furtherSettings_(std::move(furtherSettings))
    {
        putConfiguration(1, {"key-1"});
        putRow("servers",
               "endpoint-1",
               {{"service", "orders"},
                {"address", "127.0.0.1:" + std::to_string(platform_.port("port"))},
                {"zone", "dc-1"},
                {"slots", 8},
                {"state", "ready"},
                {"seq", 1}});
        startGateway();
    }

    void startGateway()
    {
        ip_ = loopbackAddress("127.77.");
        gateway_ = startGateway("entry-1", ip_);
    }

    /** Each test process uses its own loopback addresses, since the metrics port is fixed and several test processes may run at once. */
    static std::string loopbackAddress(const std::string &network)
    {
        return network + std::to_string(getpid() / 250 % 250) + '.' + std::to_string(getpid() % 250 + 1);
    }

    /** @param moreSettings whole lines that follow the usual ones. */
    std::unique_ptr<TestProcess>
    startGateway(const std::string &vm, const std::string &ip, int revocationMs = 2000, const std::string &moreSettings = "")
    {
        const std::string store = "127.0.0.1:" + std::to_string(platform_.port("port"));
        const std::string file = testing::TempDir() + "usersplatform-" + vm + '-' + std::to_string(getpid()) + ".conf";
        std::ofstream(file) << "node=" << vm << "\nzone=dc-1\nip=" << ip << "\nlisten.front=" << ip << ":0\nlisten.ready=" << ip
                            << ":0\nplatform.address=" << store << "\ncloud.address=" << store
                            << "\ncloud.duties=usage_report\nbounds.revoke_ms=" << revocationMs
                            << "\nbounds.usage_window_s=1\nbounds.usage_late_s=4\nbounds."
                               "retry_budget_slack=50\n"
                            << furtherSettings_ << moreSettings;
        return std::make_unique<TestProcess>(std::vector<std::string>{CHESTNUTCOVE, "gateway", "--platform"}, "CHESTNUTCOVE_BOOT", file);
    }

    void putRow(const std::string &table, const std::string &key, const nlohmann::json &value)
    {
        callAdmin("/admin/row", {{"table", table}, {"key", key}, {"value", value}});
    }

    void removeRow(const std::string &table, const std::string &key)
    {
        callAdmin("/admin/remove", {{"table", table}, {"key", key}});
    }

    void putConfiguration(int version, const std::vector<std::string> &keys, int ratePerSecond = 1000, int burst = 1000)
    {
        putRow("op", "config", configurationOf(version, keys, ratePerSecond, burst));
    }

    /** A route that needs a key and one that doesn't, and one customer with these keys. */
    static nlohmann::json configurationOf(int version, const std::vector<std::string> &keys, int ratePerSecond = 1000, int burst = 1000)
    {
        const auto route = [](const char *prefix, bool anonymous) {
            return nlohmann::json{{"name", prefix},
                                  {"host", "shop.example"},
                                  {"path_prefix", prefix},
                                  {"kind", "non_idempotent"},
                                  {"timeout_ms", 800},
                                  {"target_latency_ms", 150},
                                  {"service", "orders"},
                                  {"max_attempts", 1},
                                  {"anonymous", anonymous}};
        };
        return {{"version", version},
                {"routes", {route("/orders/", false), route("/open/", true)}},
                {"services", {{{"name", "orders"}, {"health_path", "/healthz"}, {"max_connections", 50}}}},
                {"limits", nlohmann::json::object()},
                {"tenants", {{{"name", "desk"}, {"api_keys", keys}, {"rate_per_s", ratePerSecond}, {"burst", burst}}}}};
    }

    /** A route that needs no key, and the service behind it. */
    struct OpenRoute
    {
        std::string service = "odd";
        std::string kind = "idempotent";
        bool isResumable = false;
        bool hasEngines = false;
        int timeoutMs = 1500;
        int maxAttempts = 2;
    };

    /** Puts a configuration of these routes, each for the path that is named like its service. */
    void putOpenRoutes(const std::vector<OpenRoute> &routes, int version = 2)
    {
        nlohmann::json routeList = nlohmann::json::array();
        nlohmann::json services = nlohmann::json::array();
        for (const OpenRoute &route : routes) {
            routeList.push_back({{"name", route.service},
                                 {"host", "shop.example"},
                                 {"path_prefix", '/' + route.service + '/'},
                                 {"kind", route.kind},
                                 {"resumable", route.isResumable},
                                 {"timeout_ms", route.timeoutMs},
                                 {"target_latency_ms", 150},
                                 {"service", route.service},
                                 {"max_attempts", route.maxAttempts},
                                 {"anonymous", true}});
            services.push_back({{"name", route.service}, {"health_path", "/healthz"}, {"max_connections", 500}});
            if (route.hasEngines) {
                services.back()["engine"] = {{"slots", 8}, {"kv_capacity", 100000}, {"kv_token_bytes", 1000}, {"link_mbps", 1000.0}};
            }
        }
        putRow("op", "config", {{"version", version}, {"routes", routeList}, {"services", services}, {"limits", nlohmann::json::object()}});
    }

    /** @param stage of an engine; empty for an endpoint of a plain service. */
    void putEndpoint(const std::string &id, const std::string &service, const NetworkAddress &address, const std::string &stage = "")
    {
        nlohmann::json entry{
            {"service", service}, {"address", address.text()}, {"zone", "dc-1"}, {"slots", 8}, {"state", "ready"}, {"seq", 1}};
        if (!stage.empty()) {
            entry["stage"] = stage;
        }
        putRow("servers", id, entry);
    }

    /** One open route of this kind to the model service, whose endpoints are engines. */
    void putEngineConfiguration(const char *kind)
    {
        putRow("op",
               "config",
               {{"version", 2},
                {"routes",
                 {{{"name", "ask"},
                   {"host", "shop.example"},
                   {"path_prefix", "/ask/"},
                   {"kind", kind},
                   {"timeout_ms", 800},
                   {"target_latency_ms", 150},
                   {"service", "model"},
                   {"max_attempts", 2},
                   {"anonymous", true}}}},
                {"services",
                 {{{"name", "model"},
                   {"health_path", "/healthz"},
                   {"max_connections", 50},
                   {"engine", {{"slots", 8}, {"kv_capacity", 100000}, {"kv_token_bytes", 1000}, {"link_mbps", 1000.0}}}}}},
                {"limits", nlohmann::json::object()}});
    }

    nlohmann::json callAdmin(const std::string &path, const nlohmann::json &body = nlohmann::json::object())
    {
        TestRequest call;
        call.method = "POST";
        call.url = "http://127.0.0.1:" + std::to_string(platform_.port("port")) + path;
        call.body = body.dump();
        return nlohmann::json::parse(sendRequest(call).body, nullptr, false);
    }

    TestResponse sendOrder(const std::string &path, const std::string &key, const std::string &body = "blue")
    {
        return sendOrderTo(*gateway_, ip_, path, key, body);
    }

    static TestResponse sendOrderTo(
        TestProcess &gateway, const std::string &ip, const std::string &path, const std::string &key, const std::string &body = "blue")
    {
        TestRequest call;
        call.method = "POST";
        call.url = "http://" + ip + ':' + std::to_string(gateway.port("callers")) + path;
        call.body = body;
        call.headers = {{"Host", "shop.example"}, {"Attempt-Id", "a1"}, {"Deadline-Ms", "700"}, {"Tenant", "forged"}};
        if (!key.empty()) {
            call.headers.emplace_back("X-Api-Key", key);
        }
        call.timeoutMs = 3000;
        return sendRequest(call);
    }

    /** Waits until the gateway serves requests with this key. */
    bool waitUntilServed(const std::string &key)
    {
        return waitUntil([&] { return sendOrder("/orders/1", key).code == 200; });
    }

    TestProcess platform_;
    std::unique_ptr<TestProcess> gateway_;
    std::string ip_;

private:
    std::string furtherSettings_;
};

}
