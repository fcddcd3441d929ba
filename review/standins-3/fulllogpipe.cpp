#include "cases.h"

namespace review {

namespace {

constexpr int TimeoutMs = 2000;
/** CONFIG: an answer is due this much after the route's timeout at the latest. */
constexpr int AnswerSlackMs = 500;
constexpr int OrdinaryCallers = 10;
constexpr int OrdinaryPauseMs = 1000;
/** Within max_header_bytes. */
constexpr std::size_t LongIdBytes = 10000;
constexpr int LongPauseMs = 10;
/** The reader of the log takes so much every few seconds. */
constexpr std::size_t LogReadBytes = 4096;
constexpr auto LogReadPause = std::chrono::milliseconds(5000);
constexpr auto TroubleTime = std::chrono::seconds(40);

std::string requestWithId(const std::string &id)
{
    return "GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 2000\r\n\r\n";
}

}

int fullLogPipe(const Surroundings &surroundings)
{
    Record &record = surroundings.record;
    Platform platform;
    Server server("127.0.0.1", [](const Request &request, int) {
        return Server::Answer{"HTTP/1.1 200 OK\r\nAttempt-Id: " + request.field("attempt-id")
                                  + "\r\nResponse-Stamp: s\r\nServer-Load: 1,0,32\r\nContent-Length: 2\r\n\r\nok",
                              std::chrono::milliseconds(2),
                              nullptr};
    });
    platform.putRow("servers", "i-1", serverEntry("orders", server.address()));
    platform.putRow("op",
                    "config",
                    {{"version", 1},
                     {"routes", {routeTo("orders", "idempotent", TimeoutMs, 2, true)}},
                     {"services", {serviceOf("orders")}},
                     {"limits", usualLimits()}});
    Gateway gateway(surroundings.root, surroundings.temporary, "front-1", loopbackAddress(1), platform);
    waitUntilReady(gateway);
    record.line("the gateway is ready");
    std::atomic<bool> isOver = false;
    std::atomic<int> unanswered = 0;
    std::atomic<int> late = 0;
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < OrdinaryCallers; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; !isOver; ++i) {
                Client client(gateway.ip(), gateway.callersPort());
                const std::string id = "o" + std::to_string(caller) + "-" + std::to_string(i);
                client.send(requestWithId(id));
                const auto sentAt = Clock::now();
                const int status = client.receive(std::chrono::milliseconds(TimeoutMs + AnswerSlackMs)).status;
                late += status > 0 && Clock::now() - sentAt >= std::chrono::milliseconds(TimeoutMs) ? 1 : 0;
                if (status == -1) {
                    ++unanswered;
                    record.line("caller %d: %s has no answer %d ms after it was sent", caller, id.c_str(), TimeoutMs + AnswerSlackMs);
                } else {
                    answered += status == 200 ? 1 : 0;
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(OrdinaryPauseMs));
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    if (surroundings.hasTrouble) {
        gateway.setLogReader(LogReadBytes, LogReadPause);
        record.line("the reader of the log becomes slow: %zu bytes every %d ms", LogReadBytes, static_cast<int>(LogReadPause.count()));
    }
    const auto end = Clock::now() + TroubleTime;
    for (int i = 0; Clock::now() < end; ++i) {
        Client client(gateway.ip(), gateway.callersPort());
        client.send(requestWithId(std::string(LongIdBytes, 'a') + std::to_string(i)));
        const int status = client.receive(std::chrono::milliseconds(TimeoutMs + AnswerSlackMs)).status;
        if (status != 200) {
            record.line("caller with long ids: request %d got %d (-1 for no answer)", i, status);
            Client ready(gateway.ip(), gateway.readyPort());
            ready.send("GET /chestnutcove/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
            record.line("readiness: %d (-1 for no answer in a second)", ready.receive(std::chrono::milliseconds(1000)).status);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(LongPauseMs));
    }
    gateway.setLogReader(0, std::chrono::milliseconds(0));
    record.line("the reader of the log keeps up again");
    isOver = true;
    for (auto &caller : callers) {
        caller.join();
    }
    record.result("ordinary requests answered with 200: " + std::to_string(answered) + ", unanswered at the timeout: "
                  + std::to_string(late + unanswered) + ", of these still unanswered half a second later: " + std::to_string(unanswered));
    return unanswered > late ? ExitBroken : ExitHeld;
}

}
