#include "cases.h"

namespace review {

namespace {

constexpr int Machines = 2;
/** The rule counts processes that end three times. */
constexpr int Rounds = 3;
constexpr int Requests = 1100;
constexpr std::size_t PrefixBytes = 15800;
constexpr auto RoundTime = std::chrono::seconds(12);

/** Parts of one token, or one part with as many tokens and an id as long as all of them. */
std::string prefix(bool hasManyParts)
{
    if (!hasManyParts) {
        return std::string(PrefixBytes - 5, 'a') + ":3950";
    }
    std::string text;
    while (text.size() + 4 < PrefixBytes) {
        text += "a:1,";
    }
    return text + "b:1";
}

}

int manyPromptParts(const Surroundings &surroundings)
{
    Record &record = surroundings.record;
    Platform platform;
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < 9; ++i) {
        // Work that takes some seconds.
        servers.push_back(std::make_unique<Server>("127.0.0.1", [](const Request &request, int) {
            return Server::Answer{"HTTP/1.1 200 OK\r\nAttempt-Id: " + request.field("attempt-id")
                                      + "\r\nResponse-Stamp: s\r\nServer-Load: 1,0,32\r\nContent-Length: 2\r\n\r\nok",
                                  request.path() == "/lm/short" ? std::chrono::milliseconds(2) : std::chrono::milliseconds(8000),
                                  nullptr};
        }));
        platform.putRow("servers", "i-" + std::to_string(i), serverEntry("lm", servers.back()->address()));
    }
    Json route = routeTo("lm", "idempotent", 15000, 1, true);
    route["sticky"] = true;
    platform.putRow("op", "config", {{"version", 1}, {"routes", {route}}, {"services", {serviceOf("lm")}}, {"limits", usualLimits()}});
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 0; i < Machines; ++i) {
        gateways.push_back(std::make_unique<Gateway>(
            surroundings.root, surroundings.temporary, "front-" + std::to_string(i + 1), loopbackAddress(i + 1), platform));
    }
    std::vector<int> ends(Machines);
    std::size_t most = 0;
    for (int round = 0; round < Rounds; ++round) {
        for (int i = 0; i < Machines; ++i) {
            Gateway &gateway = *gateways[static_cast<std::size_t>(i)];
            waitUntilReady(gateway);
            Client check(gateway.ip(), gateway.callersPort());
            check.send("GET /lm/short HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: c\r\nDeadline-Ms: 2000\r\n\r\n");
            const int status = check.receive(std::chrono::milliseconds(3000)).status;
            record.line("machine %d, round %d: ready, an ordinary request gets %d", i + 1, round + 1, status);
            if (status != 200) {
                throw CannotRun{"an ordinary request is not served"};
            }
            std::atomic<bool> isOver = false;
            std::atomic<bool> isKilled = false;
            std::atomic<std::size_t> peak = 0;
            // The platform: a process that exceeds memory_mb is killed (DEPLOY.md).
            std::thread watcher([&] {
                while (!isOver && !isKilled) {
                    const std::size_t used = gateway.ownMemoryMegabytes();
                    peak = std::max<std::size_t>(peak, used);
                    if (used > Gateway::MemoryMegabytes) {
                        gateway.kill();
                        isKilled = true;
                    }
                    std::this_thread::sleep_for(std::chrono::milliseconds(20));
                }
            });
            const auto end = Clock::now() + RoundTime;
            const std::string parts = prefix(surroundings.hasTrouble);
            std::vector<std::unique_ptr<Client>> crowd;
            for (int request = 0; request < Requests && !isKilled; ++request) {
                crowd.push_back(std::make_unique<Client>(gateway.ip(), gateway.callersPort()));
                crowd.back()->send("GET /lm/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: m" + std::to_string(request)
                                   + "\r\nDeadline-Ms: 14000\r\nToken-Counts: 3950,2\r\nPrompt-Prefix: " + parts + "\r\n\r\n");
            }
            record.line(
                "machine %d, round %d: %zu requests with heads of %zu bytes were sent", i + 1, round + 1, crowd.size(), parts.size());
            int answered = 0;
            for (auto &client : crowd) {
                const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now());
                answered += client->receive(std::max(left, std::chrono::milliseconds(1))).status > 0 ? 1 : 0;
            }
            isOver = true;
            watcher.join();
            most = std::max<std::size_t>(most, peak);
            record.line("machine %d, round %d: answered %d, most own memory %zu MB of %d MB%s",
                        i + 1,
                        round + 1,
                        answered,
                        peak.load(),
                        Gateway::MemoryMegabytes,
                        isKilled ? ", the platform kills the process" : "");
            if (isKilled) {
                ++ends[static_cast<std::size_t>(i)];
                std::this_thread::sleep_for(std::chrono::milliseconds(300));
                gateway.start();
            }
            crowd.clear();
            if (!surroundings.hasTrouble) {
                // The answers to this round are long over in the next one.
                std::this_thread::sleep_for(std::chrono::milliseconds(300));
            }
        }
    }
    int machinesOfThree = 0;
    std::string counts;
    for (const int count : ends) {
        machinesOfThree += count >= 3 ? 1 : 0;
        counts += ' ' + std::to_string(count);
    }
    record.result("times that the process of each machine exceeded " + std::to_string(Gateway::MemoryMegabytes) + " MB:" + counts
                  + ", most own memory seen " + std::to_string(most) + " MB");
    return machinesOfThree >= 2 ? ExitBroken : ExitHeld;
}

}
