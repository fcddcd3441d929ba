/**
 * Case: one server in trouble answers with a body that has no end. A gateway keeps all of it, exceeds its memory and is killed by the
 * platform, and with it go the requests that it had passed on to sound servers.
 */
#include "deployment.h"

#include <set>

namespace {

using namespace Review;

constexpr milliseconds RunTime{25000};
constexpr milliseconds FirstQuestionAfter{4000};
constexpr milliseconds QuestionInterval{4000};
/** The link of a front machine carries 1,000 Mbit/s, which is 125 MB a second. */
constexpr double ServerBytesPerMs = 100'000;
constexpr unsigned OrderClients = 8;
constexpr milliseconds OrderWork{60};
constexpr milliseconds RestartDelay{500};
/** LOST: more than three requests. */
constexpr unsigned MaxLost = 3;

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

/** The server of the chat service. In trouble, its answers are a failure whose body goes on until the caller closes. */
class ChatServer
{
public:
    explicit ChatServer(Deployment &deployment)
        : deployment_(deployment)
        , server_([this](Connection &connection, const Message &request) { return serve(connection, request); })
        , entry_{"i-chat-1", "chat-lm", server_.port(), 32, "decode", unixMs()}
    {
        deployment.addServer(entry_);
    }

private:
    bool serve(Connection &connection, const Message &request)
    {
        if (answersAsServer(connection, request, entry_)) {
            return true;
        }
        const std::string id = fieldOf(request.fields, "Attempt-Id");
        deployment_.record().line("chat-lm gets", id);
        if (!deployment_.hasTrouble()) {
            const std::string events = "id: 1\ndata: hello\n\nid: 2\ndata: end\n\n";
            return connection.write(serialise(
                "HTTP/1.1 200 OK", {{"Attempt-Id", id}, {"Response-Stamp", "c." + id}, {"Content-Type", "text/event-stream"}}, events));
        }
        connection.write("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + id + "\r\nResponse-Stamp: c." + id + "\r\n\r\n");
        const std::string garbage(50'000, 'x');
        const auto begin = Clock::now();
        double sent = 0;
        while (connection.write(garbage)) {
            sent += static_cast<double>(garbage.size());
            std::this_thread::sleep_until(begin + milliseconds(static_cast<std::int64_t>(sent / ServerBytesPerMs)));
        }
        deployment_.record().line("chat-lm: caller closed after", static_cast<std::uint64_t>(sent), "bytes for", id);
        return false;
    }

    Deployment &deployment_;
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
void sendOrders(Deployment &deployment, const GatewayProcess &gateway, const OrderServer &server, Clock::time_point end, Totals &totals)
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

}

int main(int argc, char **argv)
{
    Deployment deployment(argc, argv);
    OrderServer orders(deployment);
    ChatServer chat(deployment);
    deployment.configure(Json::array({Deployment::route("order-place", "/order/", "non_idempotent", "order-app", 1000, 150, 1),
                                      Deployment::route("buyer-chat", "/chat/", "streaming", "chat-lm", 15000, 120, 1)}),
                         Json::array({Deployment::plainService("order-app"), Deployment::modelService("chat-lm")}),
                         Json::array({Deployment::tenant("desk", "key-desk")}));
    GatewayProcess gateway(deployment.gatewaySettings(1));
    if (!gateway.start() || !gateway.waitUntilReady(milliseconds(20000))) {
        deployment.record().result("the gateway does not start");
        gateway.kill(SIGKILL);
        deployment.finish(FailedExitCode);
    }
    // The machine is in touch contact_ms after its start.
    std::this_thread::sleep_for(milliseconds(3500));
    const auto begin = Clock::now();
    const auto end = begin + RunTime;
    Totals totals;
    std::vector<std::jthread> clients;
    for (unsigned i = 0; i < OrderClients; ++i) {
        clients.emplace_back([&] { sendOrders(deployment, gateway, orders, end, totals); });
    }
    clients.emplace_back([&] {
        for (auto at = begin + FirstQuestionAfter; at + milliseconds(5000) < end; at += QuestionInterval) {
            std::this_thread::sleep_until(at);
            const auto connection = gateway.connect();
            if (!connection) {
                continue;
            }
            const std::string id = newId();
            Fields fields = requestFields(id, "key-desk", 15000);
            fields.insert(fields.end(), {{"Model", "m"}, {"Token-Counts", "220,90"}, {"Prompt-Prefix", "5c1e07a2:79,e4402b7d:141"}});
            deployment.record().line("chat", id, "sent");
            connection->write(requestText("POST", "/chat/1", fields, "which bale?"));
            Message answer;
            const ReadResult result = connection->read(answer, Clock::now() + milliseconds(3500));
            deployment.record().line("chat", id, result == ReadResult::Complete ? "answered" : "not answered", answer.status);
        }
    });
    // The platform: a process that exceeds memory_mb is killed and started again after a short delay.
    unsigned kills = 0;
    unsigned otherEnds = 0;
    double peak = 0;
    while (Clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(5));
        const double memory = gateway.memoryMb();
        peak = std::max(peak, memory);
        const bool isOver = memory > gateway.settings().memoryMb;
        if (!isOver && !gateway.hasEnded()) {
            continue;
        }
        deployment.record().line("platform:", isOver ? "memory over the limit, killed at MB" : "ended, MB", memory);
        (isOver ? kills : otherEnds) += 1;
        gateway.kill(SIGKILL);
        std::this_thread::sleep_for(RestartDelay);
        gateway.start();
    }
    clients.clear();
    deployment.record().result("gateway ended over its memory:", kills, "otherwise:", otherEnds, "peak MB:", peak);
    deployment.record().result("orders answered:", totals.answered, "passed on and closed without an answer:", totals.lost);
    if (totals.answered == 0) {
        gateway.kill(SIGKILL);
        deployment.finish(FailedExitCode);
    }
    gateway.kill(SIGKILL);
    deployment.finish(totals.lost > MaxLost ? BrokenExitCode : HeldExitCode);
}
