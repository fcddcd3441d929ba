#include "cases.h"

namespace review {

namespace {

constexpr int Machines = 2;
/** The rule counts processes that end three times. */
constexpr int Rounds = 3;
constexpr int PrefillEngines = 3;
constexpr int DecodeEngines = 6;
constexpr int Callers = 8;
constexpr int MinAnswers = 100;
constexpr auto RoundTime = std::chrono::seconds(16);
/** Length of the id of the part that requests may share, with and without the trouble. */
constexpr std::size_t LongIdBytes = 15800;
constexpr std::size_t UsualIdBytes = 8;

struct Engine
{
    std::string id;
    std::string stage;
    long acceptedOrders = 0;
    std::string address;
};

Json entryOf(const Engine &engine)
{
    Json entry = serverEntry("lm", engine.address);
    entry["stage"] = engine.stage;
    entry["seq"] = engine.acceptedOrders + 1;
    return entry;
}

std::string respond(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** A model server that reads prompts and answers at once. */
std::string answerOf(Engine &engine, const Request &request, Platform &platform)
{
    const std::string id = "Attempt-Id: " + request.field("attempt-id") + "\r\n";
    if (request.path() == "/chestnutcove/report") {
        return respond(200, "", Json{{"stage", engine.stage}, {"busy", false}, {"seq", engine.acceptedOrders}}.dump());
    }
    if (request.path() == "/chestnutcove/order") {
        const Json order = Json::parse(request.body);
        if (order.value("expected", engine.acceptedOrders) != engine.acceptedOrders) {
            return respond(409, "", "");
        }
        ++engine.acceptedOrders;
        engine.stage = order["stage"].get<std::string>();
        platform.putRow("servers", engine.id, entryOf(engine));
        return respond(202, "", "");
    }
    if (request.field("stage") == "prefill") {
        return engine.stage == "prefill" ? respond(200, id, R"({"handle":"3fa09c41b7d5","tokens":2000,"version":1})")
                                         : respond(421, id, "");
    }
    return respond(200, id + "Response-Stamp: s\r\nServer-Load: 1,0,32\r\n", "ok");
}

}

int longPartIds(const Surroundings &surroundings)
{
    Record &record = surroundings.record;
    Platform platform;
    std::mutex mutex;
    std::vector<Engine> engines(PrefillEngines + DecodeEngines);
    std::vector<std::unique_ptr<Server>> servers;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        engines[i].id = "i-" + std::to_string(i);
        engines[i].stage = i < PrefillEngines ? "prefill" : "decode";
        servers.push_back(std::make_unique<Server>("127.0.0.1", [&, i](const Request &request, int) {
            const std::lock_guard lock(mutex);
            return Server::Answer{answerOf(engines[i], request, platform), {}, nullptr};
        }));
        engines[i].address = servers.back()->address();
        platform.putRow("servers", engines[i].id, entryOf(engines[i]));
    }
    Json service = serviceOf("lm");
    service["engine"] = {{"slots", 32},
                         {"kv_capacity", 1435711},
                         {"kv_token_bytes", 327680},
                         {"link_mbps", 22000000},
                         {"role_switch_s", 3},
                         {"kv_hold_s", 5}};
    Json route = routeTo("lm", "idempotent", 5000, 1, true);
    route["sticky"] = true;
    platform.putRow("op", "config", {{"version", 1}, {"routes", {route}}, {"services", {service}}, {"limits", usualLimits()}});
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 0; i < Machines; ++i) {
        gateways.push_back(std::make_unique<Gateway>(
            surroundings.root, surroundings.temporary, "front-" + std::to_string(i + 1), loopbackAddress(i + 1), platform));
    }
    std::vector<std::atomic<int>> ends(Machines);
    std::atomic<std::size_t> most = 0;
    std::atomic<bool> isStuck = false;
    const std::size_t idBytes = surroundings.hasTrouble ? LongIdBytes : UsualIdBytes;
    std::vector<std::thread> machines;
    for (int machine = 0; machine < Machines; ++machine) {
        machines.emplace_back([&, machine] {
            Gateway &gateway = *gateways[static_cast<std::size_t>(machine)];
            for (int round = 0; round < Rounds; ++round) {
                try {
                    waitUntilReady(gateway);
                } catch (const CannotRun &) {
                    isStuck = true;
                    return;
                }
                std::atomic<bool> isOver = false;
                std::atomic<int> sent = 0;
                std::atomic<int> answered = 0;
                std::vector<std::thread> callers;
                for (int caller = 0; caller < Callers; ++caller) {
                    callers.emplace_back([&, caller] {
                        Client client(gateway.ip(), gateway.callersPort());
                        for (int i = 0; !isOver && client.isOpen(); ++i) {
                            char number[32];
                            snprintf(number, sizeof number, "%04x%06x", caller, i);
                            std::string part(idBytes > 10 ? idBytes - 10 : 0, 'a');
                            part += number;
                            client.send("GET /lm/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + std::string(number)
                                        + "\r\nDeadline-Ms: 4000\r\nToken-Counts: 2000,2\r\nPrompt-Prefix: " + part + ":1900,"
                                        + std::string(number) + ":100\r\n\r\n");
                            ++sent;
                            answered += client.receive(std::chrono::milliseconds(4000)).status == 200 ? 1 : 0;
                        }
                    });
                }
                const auto end = Clock::now() + RoundTime;
                bool isKilled = false;
                std::size_t peak = 0;
                // The platform: a process that exceeds memory_mb is killed (DEPLOY.md).
                while (Clock::now() < end && !isKilled) {
                    peak = std::max(peak, gateway.ownMemoryMegabytes());
                    if (peak > Gateway::MemoryMegabytes) {
                        gateway.kill();
                        isKilled = true;
                    }
                    std::this_thread::sleep_for(std::chrono::milliseconds(20));
                }
                isOver = true;
                for (auto &caller : callers) {
                    caller.join();
                }
                most = std::max<std::size_t>(most, peak);
                record.line("machine %d, round %d: %d requests of %d callers, one at a time each, %d answered with 200, most own memory "
                            "%zu MB of %d MB%s",
                            machine + 1,
                            round + 1,
                            sent.load(),
                            Callers,
                            answered.load(),
                            peak,
                            Gateway::MemoryMegabytes,
                            isKilled ? ", the platform kills the process" : "");
                isStuck = isStuck || answered < MinAnswers;
                if (isKilled) {
                    ++ends[static_cast<std::size_t>(machine)];
                    std::this_thread::sleep_for(std::chrono::milliseconds(300));
                    gateway.start();
                }
            }
        });
    }
    for (auto &machine : machines) {
        machine.join();
    }
    if (isStuck) {
        throw CannotRun{"a gateway did not become ready, or served too few requests"};
    }
    int machinesOfThree = 0;
    std::string counts;
    for (const auto &count : ends) {
        machinesOfThree += count >= 3 ? 1 : 0;
        counts += ' ' + std::to_string(count);
    }
    record.result("times that the process of each machine exceeded " + std::to_string(Gateway::MemoryMegabytes) + " MB:" + counts
                  + ", most own memory seen " + std::to_string(most) + " MB");
    return machinesOfThree >= 2 ? ExitBroken : ExitHeld;
}

}
