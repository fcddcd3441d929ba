/**
 * Case: the reader of a gateway's log pauses for some seconds, and a caller that the operator doesn't control sends requests with long ids,
 * inside max_header_bytes. Ordinary requests must still be answered by half a second after their route's timeout.
 */
#include "harness.h"

#include <array>

using namespace Review;

namespace {

constexpr int Servers = 3;
constexpr int WorkMs = 20;
constexpr int TimeoutMs = 1000;
/** The rule asks for an answer by then. */
constexpr int AnswerByMs = TimeoutMs + 500;
constexpr int OrdinaryRequests = 40;
constexpr int OrdinaryIntervalMs = 50;
constexpr int LongRequests = 12;
/** Of the long ids in each pause of the reader; with all other fields, the requests stay below max_header_bytes. */
constexpr std::array<std::size_t, 3> LongIdBytes{15000, 11000, 7500};
constexpr std::size_t ShortIdBytes = 16;
/** Time for the gateway to write on once the reader goes on. */
constexpr int RecoveryMs = 2000;

Json configuration()
{
    return {{"version", 1},
            {"routes",
             {{{"name", "r-look"},
               {"host", "shop.example"},
               {"path_prefix", "/look/"},
               {"kind", "idempotent"},
               {"timeout_ms", TimeoutMs},
               {"target_latency_ms", 150},
               {"priority", 2},
               {"service", "app"},
               {"max_attempts", 2},
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
    runs.add(attempt.substr(0, 20), id);
    sleepMs(WorkMs);
    return sendAll(fd, response(200, {{"Attempt-Id", attempt}, {"Response-Stamp", "stamp"}, {"Server-Load", "1,0,6"}}, "found"));
}

std::string requestText(const std::string &attempt)
{
    return "GET /look/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: " + std::to_string(TimeoutMs)
        + "\r\nX-Api-Key: key-1\r\n\r\n";
}

/** Sends ordinary requests at intervals. @return how many had no answer in time. */
int countUnanswered(const Gateway &gateway, Record &record, const std::string &prefix)
{
    std::atomic<int> unanswered = 0;
    std::vector<std::thread> clients;
    for (int i = 0; i < OrdinaryRequests; ++i) {
        clients.emplace_back([&, i] {
            const std::string attempt = prefix + std::to_string(i);
            record.write("client sends " + attempt);
            const Message answer = call(gateway.ip(), gateway.port(), requestText(attempt), AnswerByMs);
            record.write("client gets " + (answer.isWhole ? std::to_string(answer.status()) : std::string("no answer in time")) + " for "
                         + attempt);
            unanswered += answer.isWhole ? 0 : 1;
        });
        sleepMs(OrdinaryIntervalMs);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    return unanswered;
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
    const int before = countUnanswered(gateway, record, "before-");
    if (before > 0) {
        record.say("the gateway does not serve: " + std::to_string(before) + " of " + std::to_string(OrdinaryRequests) + " unanswered");
        finish(gateway, CouldNotRun);
    }
    int worst = 0;
    for (const std::size_t longBytes : LongIdBytes) {
        record.write("the reader of the log pauses");
        gateway.pauseLog(true);
        for (int i = 0; i < LongRequests; ++i) {
            std::string attempt = "other-" + std::to_string(i) + '-';
            attempt.resize(hasTrouble() ? longBytes : ShortIdBytes, 'a');
            const Message answer = call(gateway.ip(), gateway.port(), requestText(attempt), 200);
            record.write("another caller's request with an id of " + std::to_string(attempt.size())
                         + " bytes: " + (answer.isWhole ? std::to_string(answer.status()) : std::string("no answer yet")));
        }
        worst = std::max(worst, countUnanswered(gateway, record, "during-"));
        record.write(gateway.isReady() ? "the gateway says that it is ready" : "the gateway doesn't answer whether it is ready");
        record.write("the reader of the log goes on");
        gateway.pauseLog(false);
        sleepMs(RecoveryMs);
    }
    record.say("ordinary requests without an answer half a second after the timeout: " + std::to_string(worst) + " of "
               + std::to_string(OrdinaryRequests) + " in the worst of " + std::to_string(LongIdBytes.size()) + " pauses");
    finish(gateway, worst > OrdinaryRequests / 2 ? Broken : Held);
}
