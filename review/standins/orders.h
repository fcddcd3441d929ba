/**
 * Orders of a plain service: a sound server, clients that send them on kept connections, and the platform that watches the memory of their
 * gateway.
 */
#pragma once

#include "deployment.h"

#include <set>

namespace Review {

inline constexpr unsigned OrderClients = 8;
inline constexpr milliseconds OrderWork{60};
inline constexpr milliseconds RestartDelay{500};
/** LOST: more than three requests. */
inline constexpr unsigned MaxLost = 3;

/** A sound server of the plain service. It notes the requests that it began to run. */
class OrderServer
{
public:
    explicit OrderServer(Deployment &deployment)
        : deployment_(deployment)
        , server_([this](Connection &connection, const Message &request) { return serve(connection, request); })
        , entry_{"i-order-1", "order-app", server_.port(), 32, "", unixMs()}
    {
        deployment.addServer(entry_);
    }

    bool hasRun(const std::string &id) const
    {
        const std::lock_guard lock(mutex_);
        return runs_.contains(id);
    }

private:
    bool serve(Connection &connection, const Message &request)
    {
        if (answersAsServer(connection, request, entry_)) {
            return true;
        }
        const std::string id = fieldOf(request.fields, "Attempt-Id");
        {
            const std::lock_guard lock(mutex_);
            runs_.insert(id);
        }
        deployment_.record().line("order-app runs", id);
        std::this_thread::sleep_for(OrderWork);
        return connection.write(serialise("HTTP/1.1 200 OK", {{"Attempt-Id", id}, {"Response-Stamp", "o." + id}}, "ordered " + id));
    }

    Deployment &deployment_;
    mutable std::mutex mutex_;
    std::set<std::string> runs_;
    Server server_;
    ServerEntry entry_;
};

struct Totals
{
    std::mutex mutex;
    unsigned answered = 0;
    unsigned lost = 0;
};

/** Sends orders one after the other on a kept connection, and opens another when that is closed. */
inline void
sendOrders(Deployment &deployment, const GatewayProcess &gateway, const OrderServer &server, Clock::time_point end, Totals &totals)
{
    std::unique_ptr<Connection> connection;
    bool isKept = false;
    while (Clock::now() < end) {
        if (!connection) {
            connection = gateway.connect();
            isKept = false;
        }
        if (!connection) {
            std::this_thread::sleep_for(milliseconds(100));
            continue;
        }
        const std::string id = newId();
        connection->write(requestText("POST", "/order/1", requestFields(id, "key-desk", 1000), "one bale"));
        Message answer;
        const ReadResult result = connection->read(answer, Clock::now() + milliseconds(2500));
        if (result == ReadResult::Complete) {
            deployment.record().line("order", id, "answered", answer.status);
            const std::lock_guard lock(totals.mutex);
            ++totals.answered;
            isKept = true;
            if (strcasecmp(fieldOf(answer.fields, "Connection").c_str(), "close") == 0) {
                connection.reset();
            }
            continue;
        }
        const bool wasPassedOn = server.hasRun(id);
        deployment.record().line("order", id, "connection closed without an answer; kept:", isKept, "run by the server:", wasPassedOn);
        const std::lock_guard lock(totals.mutex);
        totals.lost += isKept && wasPassedOn ? 1 : 0;
        connection.reset();
    }
}

/** How often a gateway has ended, and the most memory that it was seen to use. */
struct MemoryWatch
{
    unsigned kills = 0;
    unsigned otherEnds = 0;
    double peakMb = 0;
};

/** The platform: a process that exceeds memory_mb is killed, and one that has ended is started again after a short delay. */
inline MemoryWatch watchMemory(Deployment &deployment, GatewayProcess &gateway, Clock::time_point end)
{
    MemoryWatch watch;
    while (Clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(5));
        const double memory = gateway.memoryMb();
        watch.peakMb = std::max(watch.peakMb, memory);
        const bool isOver = memory > gateway.settings().memoryMb;
        if (!isOver && !gateway.hasEnded()) {
            continue;
        }
        deployment.record().line("platform:", isOver ? "memory over the limit, killed at MB" : "ended, MB", memory);
        (isOver ? watch.kills : watch.otherEnds) += 1;
        gateway.kill(SIGKILL);
        std::this_thread::sleep_for(RestartDelay);
        gateway.start();
    }
    return watch;
}

}
