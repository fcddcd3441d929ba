#include "cases.h"

#include <set>

namespace review {

namespace {

constexpr int Uploads = 1250;
constexpr std::size_t UploadBytes = 40000;
constexpr int OrdinaryCallers = 40;
constexpr int RequestsOfACaller = 12;
/** A head of ordinary size, with a long cookie. */
constexpr std::size_t CookieBytes = 3000;
/** LOST allows as many. */
constexpr int AllowedCuts = 3;

std::string answerTo(const Request &request)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.field("attempt-id")
        + "\r\nResponse-Stamp: s\r\nServer-Load: 1,0,32\r\nContent-Length: 2\r\n\r\nok";
}

}

int cutOffCallers(const Surroundings &surroundings)
{
    Record &record = surroundings.record;
    Platform platform;
    std::mutex mutex;
    std::set<std::string> arrived;
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < 3; ++i) {
        servers.push_back(std::make_unique<Server>("127.0.0.1", [&](const Request &request, int) {
            const std::lock_guard lock(mutex);
            arrived.insert(request.field("attempt-id"));
            return Server::Answer{answerTo(request), std::chrono::milliseconds(300), nullptr};
        }));
        platform.putRow("servers", "i-" + std::to_string(i), serverEntry("orders", servers.back()->address()));
    }
    for (int i = 0; i < 9; ++i) {
        servers.push_back(std::make_unique<Server>("127.0.0.1", [&](const Request &request, int) {
            return Server::Answer{answerTo(request), std::chrono::seconds(10), nullptr};
        }));
        platform.putRow("servers", "u-" + std::to_string(i), serverEntry("uploads", servers.back()->address()));
    }
    platform.putRow("op",
                    "config",
                    {{"version", 1},
                     {"routes", {routeTo("orders", "non_idempotent", 5000, 1, true), routeTo("uploads", "non_idempotent", 15000, 1, true)}},
                     {"services", {serviceOf("orders"), serviceOf("uploads")}},
                     {"limits", usualLimits()}});
    Gateway gateway(surroundings.root, surroundings.temporary, "front-1", loopbackAddress(1), platform);
    waitUntilReady(gateway);
    record.line("the gateway is ready");
    std::atomic<int> answered = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> cutUnsent = 0;
    std::atomic<int> cut = 0;
    std::atomic<bool> isCrowdThere = false;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < OrdinaryCallers; ++caller) {
        callers.emplace_back([&, caller] {
            auto client = std::make_unique<Client>(gateway.ip(), gateway.callersPort());
            int onConnection = 0;
            for (int i = 0; i < RequestsOfACaller; ++i) {
                if (i == 1) {
                    while (!isCrowdThere) {
                        std::this_thread::sleep_for(std::chrono::milliseconds(5));
                    }
                }
                if (!client->isOpen()) {
                    client = std::make_unique<Client>(gateway.ip(), gateway.callersPort());
                    onConnection = 0;
                }
                const std::string id = "o" + std::to_string(caller) + "-" + std::to_string(i);
                client->send("POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id
                             + "\r\nDeadline-Ms: 4000\r\nCookie: " + std::string(CookieBytes, 'c') + "\r\nContent-Length: 4\r\n\r\nblue");
                const auto answer = client->receive(std::chrono::milliseconds(6000));
                bool hasArrived = false;
                {
                    const std::lock_guard lock(mutex);
                    hasArrived = arrived.contains(id);
                }
                const bool isKept = onConnection++ > 0;
                answered += answer.status == 200 ? 1 : 0;
                refused += answer.status == 503 ? 1 : 0;
                if (answer.status == 0) {
                    ++(hasArrived && isKept ? cut : cutUnsent);
                }
                record.line("caller %d: %s, request %d of its connection, %s a server, answer %d%s",
                            caller,
                            id.c_str(),
                            onConnection,
                            hasArrived ? "reached" : "did not reach",
                            answer.status,
                            answer.status == 0 ? " (the connection was closed)" : "");
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    std::vector<std::unique_ptr<Client>> crowd;
    if (surroundings.hasTrouble) {
        const std::string body(UploadBytes, 'b');
        for (int i = 0; i < Uploads; ++i) {
            crowd.push_back(std::make_unique<Client>(gateway.ip(), gateway.callersPort()));
            crowd.back()->send("POST /uploads/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: u" + std::to_string(i)
                               + "\r\nDeadline-Ms: 14000\r\nContent-Length: " + std::to_string(UploadBytes) + "\r\n\r\n" + body);
        }
        record.line("%d uploads of %zu bytes were sent", Uploads, UploadBytes);
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    isCrowdThere = true;
    for (auto &caller : callers) {
        caller.join();
    }
    record.result("ordinary requests answered: " + std::to_string(answered) + ", refused: " + std::to_string(refused)
                  + ", cut off though a server had them, on kept connections: " + std::to_string(cut)
                  + ", otherwise cut off: " + std::to_string(cutUnsent) + ", own memory of the gateway "
                  + std::to_string(gateway.ownMemoryMegabytes()) + " of " + std::to_string(Gateway::MemoryMegabytes) + " MB");
    if (!gateway.isRunning()) {
        throw CannotRun{"the gateway has ended"};
    }
    return cut > AllowedCuts ? ExitBroken : ExitHeld;
}

}
