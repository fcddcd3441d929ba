/**
 * Case: the operator takes the only tenant, and so all its keys, out of the configuration. From revoke_ms later on, no request with one of
 * these keys, with another one or with none may run.
 */
#include "harness.h"

using namespace Review;

namespace {

constexpr int Servers = 3;
constexpr int WorkMs = 30;
constexpr int RequestsBefore = 20;
constexpr int RequestsAfter = 20;
/** Past revoke_ms, which is longer than config_ms. */
constexpr int SettleMs = 5500;

/** @param hasTenant whether the tenant is still there; the list of tenants is there in any case. */
Json configuration(int version, bool hasTenant)
{
    Json tenants = Json::array();
    if (hasTenant) {
        tenants.push_back({{"name", "desk"}, {"api_keys", {"key-1", "key-2"}}, {"priority", 1}});
    }
    return {{"version", version},
            {"routes",
             {{{"name", "r-order"},
               {"host", "shop.example"},
               {"path_prefix", "/order/"},
               {"kind", "non_idempotent"},
               {"timeout_ms", 1000},
               {"target_latency_ms", 150},
               {"priority", 2},
               {"service", "app"},
               {"max_attempts", 1},
               {"anonymous", false}}}},
            {"services", {{{"name", "app"}, {"health_path", "/healthz"}, {"max_connections", 110}, {"protocol", "h1"}, {"tls", false}}}},
            {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
            {"tenants", tenants}};
}

bool serveApplication(int fd, const Message &request, const std::string &id, Runs &runs)
{
    if (request.target() == "/healthz") {
        return sendAll(fd, response(200, {{"Instance-Id", id}}, ""));
    }
    const std::string attempt = request.field("Attempt-Id");
    if (request.field("Expect-Instance") != id) {
        return sendAll(fd, response(421, {{"Attempt-Id", attempt}, {"Not-Executed", "1"}}, ""));
    }
    const std::string tenant = request.field("Tenant");
    runs.add(attempt, id, tenant.empty() ? "for no tenant" : "for tenant " + tenant);
    sleepMs(WorkMs);
    return sendAll(fd,
                   response(200, {{"Attempt-Id", attempt}, {"Response-Stamp", "stamp." + attempt}, {"Server-Load", "1,0,6"}}, "placed"));
}

/** Sends requests with the key and counts those that ran. */
int countRuns(const Gateway &gateway, Record &record, Runs &runs, const std::string &prefix, const std::string &key, int count)
{
    int ran = 0;
    for (int i = 0; i < count; ++i) {
        const std::string attempt = prefix + std::to_string(i);
        const std::string text = "POST /order/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: 1000\r\n"
            + (key.empty() ? "" : "X-Api-Key: " + key + "\r\n") + "Content-Length: 4\r\n\r\nbale";
        record.write("client sends " + attempt + (key.empty() ? " without a key" : " with " + key));
        const Message answer = call(gateway.ip(), gateway.port(), text, 2000);
        record.write("client gets " + (answer.isWhole ? std::to_string(answer.status()) : std::string("no answer")) + " for " + attempt);
        ran += runs.of(attempt).empty() ? 0 : 1;
    }
    return ran;
}

}

int main(int argc, char **argv)
{
    const Folders folders = foldersOf(argc, argv);
    Record record(folders.record);
    Runs runs(record);
    Platform platform(record);
    std::vector<std::unique_ptr<Listener>> servers;
    for (int i = 0; i < Servers; ++i) {
        const std::string id = "i-app" + std::to_string(i);
        servers.push_back(std::make_unique<Listener>(
            "127.0.0.1", [id, &runs](int fd, const Message &request) { return serveApplication(fd, request, id, runs); }));
        platform.put("servers", id, serverEntry("app", servers.back()->port(), 6));
    }
    platform.put("op", "config", configuration(1, true));
    Gateway gateway("front-vn-south-a-1", folders.temporary, platform);
    if (!gateway.start() || !gateway.waitUntilReady(40)) {
        record.say("the gateway did not become ready");
        finish(gateway, CouldNotRun);
    }
    sleepMs(500);
    const int served = countRuns(gateway, record, runs, "before-", "key-1", RequestsBefore);
    const int unknownBefore = countRuns(gateway, record, runs, "before-unknown-", "never-granted", RequestsBefore);
    if (served < RequestsBefore / 2) {
        record.say("the gateway does not serve: " + std::to_string(served) + " of " + std::to_string(RequestsBefore));
        finish(gateway, CouldNotRun);
    }
    record.write(hasTrouble() ? "the operator takes the only tenant away" : "the operator writes the same tenant again");
    platform.put("op", "config", configuration(2, !hasTrouble()));
    sleepMs(SettleMs);
    const int revoked = hasTrouble() ? countRuns(gateway, record, runs, "revoked-", "key-1", RequestsAfter) : 0;
    const int unknown = countRuns(gateway, record, runs, "unknown-", "never-granted", RequestsAfter);
    const int keyless = countRuns(gateway, record, runs, "keyless-", "", RequestsAfter);
    record.say("before: " + std::to_string(served) + " ran with a key, " + std::to_string(unknownBefore)
               + " with one that was never granted; after: " + std::to_string(revoked) + " with a key that was taken away, "
               + std::to_string(unknown) + " with one that was never granted, " + std::to_string(keyless) + " without a key");
    finish(gateway, unknownBefore + revoked + unknown + keyless > 0 ? Broken : Held);
}
