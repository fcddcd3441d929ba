/**
 * Case: one server in trouble answers with a body that has no end. A gateway keeps all of it, exceeds its memory and is killed by the
 * platform, and with it go the requests that it had passed on to sound servers.
 */
#include "orders.h"

namespace {

using namespace Review;

constexpr milliseconds RunTime{25000};
constexpr milliseconds FirstQuestionAfter{4000};
constexpr milliseconds QuestionInterval{4000};
/** The link of a front machine carries 1,000 Mbit/s, which is 125 MB a second. */
constexpr double ServerBytesPerMs = 100'000;

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
    const MemoryWatch watch = watchMemory(deployment, gateway, end);
    clients.clear();
    deployment.record().result("gateway ended over its memory:", watch.kills, "otherwise:", watch.otherEnds, "peak MB:", watch.peakMb);
    deployment.record().result("orders answered:", totals.answered, "passed on and closed without an answer:", totals.lost);
    if (totals.answered == 0) {
        gateway.kill(SIGKILL);
        deployment.finish(FailedExitCode);
    }
    gateway.kill(SIGKILL);
    deployment.finish(totals.lost > MaxLost ? BrokenExitCode : HeldExitCode);
}
