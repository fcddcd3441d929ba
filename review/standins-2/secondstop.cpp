/**
 * Case: the platform sends SIGTERM to a gateway twice, a second apart, and SIGKILL only after the grace period. No request that the gateway
 * has passed on to a server may end with a closed connection and no complete answer.
 */
#include "harness.h"

using namespace Review;

namespace {

constexpr int Servers = 3;
constexpr int Clients = 8;
constexpr int WorkMs = 300;
constexpr int DeadlineMs = 1000;
constexpr int CalmMs = 4000;
constexpr int SecondSignalAfterMs = 1000;
constexpr int GraceMs = 8000;
constexpr int RetryAfterMs = 100;

Json configuration()
{
    return {{"version", 1},
            {"routes",
             {{{"name", "r-order"},
               {"host", "shop.example"},
               {"path_prefix", "/order/"},
               {"kind", "non_idempotent"},
               {"timeout_ms", DeadlineMs},
               {"target_latency_ms", 150},
               {"priority", 2},
               {"service", "app"},
               {"max_attempts", 1},
               {"anonymous", false}}}},
            {"services", {{{"name", "app"}, {"health_path", "/healthz"}, {"max_connections", 110}, {"protocol", "h1"}, {"tls", false}}}},
            {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
            {"tenants", {{{"name", "desk"}, {"api_keys", {"key-1"}}, {"priority", 1}}}}};
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
    runs.add(attempt, id);
    sleepMs(WorkMs);
    return sendAll(fd,
                   response(200, {{"Attempt-Id", attempt}, {"Response-Stamp", "stamp." + attempt}, {"Server-Load", "1,0,6"}}, "placed"));
}

/** What became of the requests of all clients. */
struct Results
{
    std::mutex mutex;
    std::vector<std::string> answered;
    /** Their connection ended without a complete answer. */
    std::vector<std::string> cut;
};

/** Sends orders one after the other on a kept connection, and on a new one where that is closed, until no more can be made. */
void runClient(const Gateway &gateway, int number, const std::atomic<bool> &mustEnd, Record &record, Results &results)
{
    int fd = -1;
    std::string buffer;
    for (int i = 0; !mustEnd; ++i) {
        if (fd < 0) {
            buffer.clear();
            fd = connectTo(gateway.ip(), gateway.port());
        }
        if (fd < 0) {
            return;
        }
        const std::string attempt = "c" + std::to_string(number) + "-" + std::to_string(i);
        const std::string text = "POST /order/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt
            + "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) + "\r\nX-Api-Key: key-1\r\nContent-Length: 4\r\n\r\nbale";
        record.write("client sends " + attempt);
        const bool isSent = sendAll(fd, text);
        const Message answer = isSent ? readMessage(fd, buffer, Clock::now() + Ms(DeadlineMs + 500)) : Message{};
        record.write("client gets " + (answer.isWhole ? std::to_string(answer.status()) : std::string("no answer")) + " for " + attempt);
        {
            const std::lock_guard lock(results.mutex);
            (answer.isWhole ? results.answered : results.cut).push_back(attempt);
        }
        if (!answer.isWhole || answer.field("Connection") == "close") {
            close(fd);
            fd = -1;
        }
        if (!answer.isWhole || answer.status() != 200) {
            sleepMs(RetryAfterMs);
        }
    }
    if (fd >= 0) {
        close(fd);
    }
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
    platform.put("op", "config", configuration());
    Gateway gateway("front-vn-south-a-1", folders.temporary, platform);
    if (!gateway.start() || !gateway.waitUntilReady(40)) {
        record.say("the gateway did not become ready");
        finish(gateway, CouldNotRun);
    }
    Results results;
    std::atomic<bool> mustEnd = false;
    std::vector<std::thread> clients;
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back([&, i] { runClient(gateway, i, mustEnd, record, results); });
        sleepMs(WorkMs / Clients);
    }
    sleepMs(CalmMs);
    record.write("the platform sends SIGTERM");
    const auto stoppedAt = Clock::now();
    gateway.signal(SIGTERM);
    if (hasTrouble()) {
        sleepMs(SecondSignalAfterMs);
        record.write("the platform sends SIGTERM again");
        gateway.signal(SIGTERM);
    }
    const auto sinceStop = std::chrono::duration_cast<Ms>(Clock::now() - stoppedAt).count();
    const auto ended = gateway.waitForEnd(GraceMs - static_cast<int>(sinceStop));
    record.write("the gateway's process " + (ended ? "ends " + *ended : std::string("gets SIGKILL")));
    mustEnd = true;
    for (std::thread &client : clients) {
        client.join();
    }
    int lost = 0;
    for (const std::string &attempt : results.cut) {
        if (!runs.of(attempt).empty()) {
            ++lost;
            record.write("LOST: " + attempt + " was passed on to a server, and its connection ended without an answer");
        }
    }
    record.say(std::to_string(results.answered.size()) + " requests answered, " + std::to_string(results.cut.size())
               + " cut without an answer, " + std::to_string(lost) + " of them after they had been passed on to a server");
    if (results.answered.size() < Clients) {
        finish(gateway, CouldNotRun);
    }
    finish(gateway, lost > 0 ? Broken : Held);
}
