#include "cases.h"

namespace review {

namespace {

constexpr int Rounds = 20;

}

int foreignAnswer(const Surroundings &surroundings)
{
    Record &record = surroundings.record;
    Platform platform;
    // The last answer of each connection, which comes once more at the point where the next one is due.
    std::map<int, std::string> lastAnswers;
    int copies = 0;
    Server server("127.0.0.1", [&](const Request &request, int connection) {
        const std::string id = request.field("attempt-id");
        Server::Answer answer;
        if (surroundings.hasTrouble && id.empty() && !lastAnswers[connection].empty()) {
            answer.bytes = std::exchange(lastAnswers[connection], "");
            ++copies;
            record.line("server: connection %d, request without id of %s: second copy of the last answer first",
                        connection,
                        request.field("tenant").c_str());
        }
        if (id.empty()) {
            answer.bytes += "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            record.line("server: connection %d, request without id: 400, not run", connection);
            return answer;
        }
        const std::string body = "order of " + request.field("tenant") + ", " + id;
        const std::string whole = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Stamp: s." + id
            + "\r\nServer-Load: 1,0,32\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        record.line("server: connection %d, runs %s of %s", connection, id.c_str(), request.field("tenant").c_str());
        lastAnswers[connection] = whole;
        answer.bytes += whole;
        return answer;
    });
    platform.putRow("servers", "i-1", serverEntry("orders", server.address()));
    platform.putRow("op",
                    "config",
                    {{"version", 1},
                     {"routes", {routeTo("orders", "idempotent", 3000, 2, false)}},
                     {"services", {serviceOf("orders")}},
                     {"limits", usualLimits()},
                     {"tenants", {{{"name", "alice"}, {"api_keys", {"key-alice"}}}, {{"name", "bob"}, {"api_keys", {"key-bob"}}}}}});
    Gateway gateway(surroundings.root, surroundings.temporary, "front-1", loopbackAddress(1), platform);
    waitUntilReady(gateway);
    int foreign = 0;
    int served = 0;
    for (int round = 0; round < Rounds; ++round) {
        const std::string id = "a" + std::to_string(round);
        Client alice(gateway.ip(), gateway.callersPort());
        alice.send("GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id
                   + "\r\nDeadline-Ms: 2000\r\nX-Api-Key: key-alice\r\n\r\n");
        const auto first = alice.receive(std::chrono::milliseconds(4000));
        record.line("client alice: sent %s, got %d \"%s\"", id.c_str(), first.status, first.body.c_str());
        served += first.status == 200 ? 1 : 0;
        Client bob(gateway.ip(), gateway.callersPort());
        bob.send("GET /orders/2 HTTP/1.1\r\nHost: shop.example\r\nDeadline-Ms: 2000\r\nX-Api-Key: key-bob\r\n\r\n");
        const auto second = bob.receive(std::chrono::milliseconds(4000));
        record.line("client bob: sent a request without id, got %d \"%s\"", second.status, second.body.c_str());
        if (second.status == 200) {
            ++foreign;
        }
    }
    if (served < Rounds / 2) {
        throw CannotRun{"requests with an id are not served"};
    }
    record.result("requests of bob: " + std::to_string(Rounds) + ", second copies sent: " + std::to_string(copies)
                  + ", answered with an answer of alice: " + std::to_string(foreign));
    return foreign > 0 ? ExitBroken : ExitHeld;
}

}
