/**
 * Case: a request with the method CONNECT and a body. The gateway takes the body for the next request and has it run.
 */
#include "deployment.h"

#include <set>

int main(int argc, char **argv)
{
    using namespace Review;
    Deployment deployment(argc, argv);
    Record &record = deployment.record();
    ServerEntry entry;
    std::mutex mutex;
    std::map<std::string, std::string> runs;
    Server server([&](Connection &connection, const Message &request) {
        if (answersAsServer(connection, request, entry)) {
            return true;
        }
        const std::string id = fieldOf(request.fields, "Attempt-Id");
        record.line("order-app runs",
                    request.method,
                    request.target,
                    id,
                    "tenant",
                    fieldOf(request.fields, "Tenant"),
                    "body:",
                    request.body.substr(0, 40));
        {
            const std::lock_guard lock(mutex);
            runs[id] = request.body;
        }
        return connection.write(serialise("HTTP/1.1 200 OK", {{"Attempt-Id", id}, {"Response-Stamp", "o." + id}}, "ordered " + id));
    });
    entry = {"i-order-1", "order-app", server.port(), 6, "", unixMs()};
    deployment.addServer(entry);
    deployment.configure(Json::array({Deployment::route("order-place", "/order/", "non_idempotent", "order-app", 1000, 150, 1)}),
                         Json::array({Deployment::plainService("order-app")}),
                         Json::array({Deployment::tenant("desk", "key-desk")}));
    GatewayProcess gateway(deployment.gatewaySettings(1));
    if (!gateway.start() || !gateway.waitUntilReady(milliseconds(20000))) {
        record.result("the gateway does not start");
        gateway.kill(SIGKILL);
        deployment.finish(FailedExitCode);
    }
    std::this_thread::sleep_for(milliseconds(3500));
    const std::string method = deployment.hasTrouble() ? "CONNECT" : "POST";
    std::set<std::string> sent;
    unsigned answers = 0;
    for (int i = 0; i < 5; ++i) {
        const auto connection = gateway.connect();
        if (!connection) {
            gateway.kill(SIGKILL);
            deployment.finish(FailedExitCode);
        }
        const std::string id = newId();
        const std::string innerId = newId();
        sent.insert(id);
        const std::string inner = requestText("POST", "/order/inner", requestFields(innerId, "key-desk", 1000), "stolen bale");
        const std::string target = method == "CONNECT" ? "shop.example:80" : "/order/outer";
        record.line("client sends", method, target, id, "whose body is the text of a request with the id", innerId);
        connection->write(requestText(method, target, requestFields(id, "key-desk", 1000), inner));
        Message answer;
        while (connection->read(answer, Clock::now() + milliseconds(1500)) == ReadResult::Complete) {
            ++answers;
            record.line("client gets", answer.status, "Attempt-Id:", fieldOf(answer.fields, "Attempt-Id"));
        }
    }
    const std::lock_guard lock(mutex);
    unsigned unasked = 0;
    for (const auto &[id, body] : runs) {
        if (!sent.contains(id)) {
            ++unasked;
            record.result("the server ran", id, "which no client sent");
        }
    }
    record.result("requests sent:", sent.size(), "answers:", answers, "runs:", runs.size(), "runs that no client asked for:", unasked);
    if (answers == 0) {
        gateway.kill(SIGKILL);
        deployment.finish(FailedExitCode);
    }
    gateway.kill(SIGKILL);
    deployment.finish(unasked > 0 ? BrokenExitCode : HeldExitCode);
}
