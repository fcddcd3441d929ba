/**
 * Runs the program and the stand-ins as real processes through kills, pauses, missing responses, store outages, lost commit responses
 * and malformed input.
 */
#include "engine.h"
#include "testprocess.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

namespace Chestnutcove {

namespace {

/** The complete answer that the stand-in engine generates for a prompt. */
std::string expectedAnswer(const std::string &text, int tokens)
{
    std::string answer;
    for (int i = 0; i < tokens; ++i) {
        answer += answerToken("user\n" + text + "\n", static_cast<std::uint64_t>(i));
    }
    return answer;
}

/** The content of a completion that was not streamed, or the status code and the body if the request failed. */
std::string contentOf(const TestResponse &answer)
{
    if (answer.code != 200 || !answer.json.is_object()) {
        return "code " + std::to_string(answer.code) + ": " + answer.body;
    }
    return answer.json["choices"][0]["message"]["content"].get<std::string>();
}

/** The concatenated content of a streamed completion, or a description of the error in the stream. */
std::string streamedContent(const TestResponse &answer)
{
    std::string text;
    std::size_t start = 0;
    bool done = false;
    while ((start = answer.body.find("data: ", start)) != std::string::npos) {
        start += 6;
        const std::string data = answer.body.substr(start, answer.body.find('\n', start) - start);
        if (data == "[DONE]") {
            done = true;
            continue;
        }
        const auto json = nlohmann::json::parse(data, nullptr, false);
        if (json.contains("error")) {
            return "error: " + json["error"].dump();
        }
        for (const auto &choice : json["choices"]) {
            text += choice["delta"].value("content", "");
        }
    }
    return done ? text : "no end mark after: " + text;
}

std::string errorCodeOf(const TestResponse &answer)
{
    return answer.json.is_object() && answer.json.contains("error") ? answer.json["error"].value("code", "") : "";
}

class ProcessesTest : public testing::Test
{
protected:
    void startDeployment(int gateways, int engines, bool service, const std::vector<std::string> &engineOptions = {})
    {
        fleet_.startPlatform();
        for (int i = 1; i <= engines; ++i) {
            const std::string name = "chat-" + std::to_string(i);
            fleet_.startEngine(name, engineOptions);
            fleet_.startSidecar(name, true);
        }
        if (service) {
            fleet_.startService("orders-1", 50);
            fleet_.startSidecar("orders-1", false);
        }
        for (int i = 1; i <= gateways; ++i) {
            fleet_.startGateway("entry-" + std::to_string(i));
        }
        fleet_.fillCatalogue();
        for (int i = 1; i <= gateways; ++i) {
            ASSERT_TRUE(fleet_.waitUntilServing("entry-" + std::to_string(i)));
        }
    }

    nlohmann::json operatorDump(const std::string &gateway)
    {
        return fleet_.callOperator(gateway, "GET", "/operator/dump").json;
    }

    std::string leaseHolder(const std::string &duty, const std::vector<std::string> &gateways)
    {
        for (const std::string &gateway : gateways) {
            if (operatorDump(gateway)["leases"][duty]["valid"] == true) {
                return gateway;
            }
        }
        return {};
    }

    Deployment fleet_;
};

TEST_F(ProcessesTest, ChatStreamedAndPlain_AnswerIsCompleteAndKeyIsNotForwarded)
{
    startDeployment(2, 2, true);
    for (int i = 0; i < 20; ++i) {
        const std::string text = "label " + std::to_string(i);
        EXPECT_EQ(contentOf(fleet_.sendChat("entry-1", text)), expectedAnswer(text, 16));
        EXPECT_EQ(streamedContent(fleet_.sendChat("entry-2", text, true)), expectedAnswer(text, 16));
    }
    const TestResponse order = fleet_.sendOrder("entry-1", "blue fleece");
    EXPECT_EQ(order.code, 200);
    EXPECT_EQ(order.json["body"], "blue fleece");
    for (const char *standIn : {"chat-1", "chat-2", "orders-1"}) {
        EXPECT_EQ(fleet_.stateOf(standIn)["sawKey"], false) << standIn;
    }
    const TestResponse models = sendRequest({"GET", fleet_.callerUrl("entry-1", "/v1/models"), fleet_.key});
    EXPECT_EQ(models.json["data"][0]["id"], "chat");
}

TEST_F(ProcessesTest, MalformedRequests_AreRejectedAndServiceContinues)
{
    startDeployment(1, 1, true);
    const std::string url = fleet_.callerUrl("entry-1", "/v1/chat/completions");
    const auto post = [&](const std::string &body) { return sendRequest({"POST", url, fleet_.key, body}); };
    EXPECT_EQ(post("{").code, 400);
    EXPECT_EQ(post("\"\xff\xfe\"").code, 400);
    EXPECT_EQ(post(R"({"model":"chat"})").code, 400);
    EXPECT_EQ(post(R"({"model":7,"messages":[]})").code, 400);
    EXPECT_EQ(post(R"({"model":"chat","messages":[{"role":1}]})").code, 400);
    EXPECT_EQ(post(R"({"model":"chat","messages":[{"role":"user","content":{"a":1}}]})").code, 400);
    EXPECT_EQ(post(R"({"model":"chat","stream":"yes","messages":[{"role":"user","content":"x"}]})").code, 400);
    EXPECT_EQ(post(R"({"model":"chat","max_tokens":-1,"messages":[{"role":"user","content":"x"}]})").code, 400);
    EXPECT_EQ(post(R"({"model":"none","messages":[{"role":"user","content":"x"}]})").code, 404);
    EXPECT_EQ(post(std::string(200000, ' ')).code, 413);
    EXPECT_EQ(sendRequest({"POST", url, "", "{}"}).code, 401);
    EXPECT_EQ(sendRequest({"POST", url, "cc-nobody-nothing", "{}"}).code, 401);
    TestRequest requestWithTwoKeys{"POST", url, fleet_.key, "{}"};
    requestWithTwoKeys.headers = {{"Authorization", "Bearer other"}};
    EXPECT_EQ(sendRequest(requestWithTwoKeys).code, 400);
    EXPECT_EQ(sendRequest({"GET", fleet_.callerUrl("entry-1", "/nothing"), fleet_.key}).code, 404);
    EXPECT_EQ(sendRequest({"GET", url, fleet_.key}).code, 405);
    EXPECT_EQ(errorCodeOf(post("{")), "invalid_request");
    EXPECT_EQ(post("{").json["error"]["not_run"], true);
    TestRequest requestWithQuoteInId{
        "POST", url, fleet_.key, R"({"model":"chat","stream":true,"messages":[{"role":"user","content":"x"}]})"};
    requestWithQuoteInId.headers = {{"X-Request-Id", "a\"b"}};
    EXPECT_EQ(streamedContent(sendRequest(requestWithQuoteInId)), expectedAnswer("x", 16));
    EXPECT_EQ(fleet_.callOperator("entry-1", "PUT", "/operator/catalogue/customer/x", {{"document", {{"rate", "fast"}}}}).code, 400);
    EXPECT_EQ(fleet_.callOperator("entry-1", "GET", "/operator/nothing").code, 404);
    EXPECT_EQ(fleet_.sendChat("entry-1", "still here").code, 200);
}

TEST_F(ProcessesTest, SlowSender_IsDisconnectedAndServiceContinues)
{
    startDeployment(1, 1, false);
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(fleet_.process("entry-1").port("callers"));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ASSERT_EQ(connect(connection, reinterpret_cast<sockaddr *>(&address), sizeof address), 0);
    const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{";
    ASSERT_EQ(write(connection, head.data(), head.size()), static_cast<ssize_t>(head.size()));
    char received = 0;
    EXPECT_LE(read(connection, &received, 1), 1);
    close(connection);
    EXPECT_EQ(fleet_.sendChat("entry-1", "still here").code, 200);
}

TEST_F(ProcessesTest, CallerDisconnectsMidStream_EngineCancelsTheSequence)
{
    startDeployment(1, 1, false, {"--decode", "20"});
    const nlohmann::json body{
        {"model", "chat"}, {"stream", true}, {"test_tokens", 1000}, {"messages", {{{"role", "user"}, {"content", "long"}}}}};
    TestRequest call{"POST", fleet_.callerUrl("entry-1", "/v1/chat/completions"), fleet_.key, body.dump()};
    call.timeoutMs = 500;
    EXPECT_EQ(sendRequest(call).code, 0);
    EXPECT_TRUE(waitUntil([this] { return fleet_.stateOf("chat-1")["cancelled"] == 1; }));
    EXPECT_TRUE(waitUntil([this] { return operatorDump("entry-1")["requests"]["active"] == 0; }));
}

TEST_F(ProcessesTest, EngineKilledMidStream_AnswerContinuesOnAnotherEngineByteForByte)
{
    startDeployment(1, 2, false, {"--decode", "50"});
    std::vector<TestResponse> answers(4);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        callers.emplace_back([this, i, &answers] { answers[i] = fleet_.sendChat("entry-1", "register " + std::to_string(i), true, 60); });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    fleet_.process("chat-1").kill();
    for (std::thread &caller : callers) {
        caller.join();
    }
    for (std::size_t i = 0; i < answers.size(); ++i) {
        EXPECT_EQ(streamedContent(answers[i]), expectedAnswer("register " + std::to_string(i), 60));
    }
}

TEST_F(ProcessesTest, SidecarKilledAndRestartedMidStream_AnswerContinuesOnAnotherEngine)
{
    startDeployment(1, 2, false, {"--decode", "50"});
    std::vector<TestResponse> answers(4);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        callers.emplace_back(
            [this, i, &answers] { answers[i] = fleet_.sendChat("entry-1", "register " + std::to_string(i), i % 2 == 0, 60); });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    fleet_.process("chat-1-sidecar").kill();
    fleet_.startSidecar("chat-1", true);
    for (std::thread &caller : callers) {
        caller.join();
    }
    for (std::size_t i = 0; i < answers.size(); ++i) {
        const std::string content = i % 2 == 0 ? streamedContent(answers[i]) : contentOf(answers[i]);
        EXPECT_EQ(content, expectedAnswer("register " + std::to_string(i), 60));
    }
    EXPECT_TRUE(waitUntil([this] { return operatorDump("entry-1")["endpoints"][0]["connected"] == true; }));
}

TEST_F(ProcessesTest, OrdersWhileSidecarIsKilled_EachRunsAtMostOnceAndNotRunIsCorrect)
{
    startDeployment(2, 1, true);
    std::atomic<int> served = 0;
    std::atomic<int> unknown = 0;
    std::atomic<bool> stop = false;
    std::vector<std::thread> callers;
    for (int i = 0; i < 4; ++i) {
        callers.emplace_back([&, i] {
            while (!stop) {
                const TestResponse answer = fleet_.sendOrder(i % 2 == 0 ? "entry-1" : "entry-2", "metre");
                const bool notRun
                    = answer.json.is_object() && answer.json.contains("error") && answer.json["error"].value("not_run", false);
                if (answer.code == 200) {
                    ++served;
                } else if (!notRun) {
                    ++unknown;
                }
            }
        });
    }
    for (int round = 0; round < 4; ++round) {
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        fleet_.process("orders-1-sidecar").kill();
        fleet_.startSidecar("orders-1", false);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    const int calls = fleet_.stateOf("orders-1")["calls"].get<int>();
    EXPECT_GT(served, 10);
    EXPECT_GE(calls, served);
    EXPECT_LE(calls, served + unknown);
}

TEST_F(ProcessesTest, ServiceClosesConnectionWithoutResponse_OrderIsNotRetried)
{
    startDeployment(1, 1, true);
    EXPECT_EQ(fleet_.sendOrder("entry-1", "first").code, 200);
    fleet_.setFaults("orders-1", {{"silent", true}});
    const TestResponse answer = fleet_.sendOrder("entry-1", "second");
    EXPECT_EQ(answer.code, 504);
    EXPECT_EQ(errorCodeOf(answer), "outcome_unknown");
    EXPECT_FALSE(answer.json["error"].contains("not_run"));
    EXPECT_EQ(fleet_.stateOf("orders-1")["calls"], 2);
}

TEST_F(ProcessesTest, IdempotencyKeyUsedAtTwoGateways_OrderRunsOnceDespiteLostStoreResponse)
{
    startDeployment(2, 1, true);
    fleet_.setFaults("platform", {{"loseAnswers", 1}});
    EXPECT_EQ(fleet_.sendOrder("entry-1", "a", "order-1").code, 200);
    const TestResponse repeated = fleet_.sendOrder("entry-2", "a", "order-1");
    EXPECT_EQ(repeated.code, 409);
    EXPECT_EQ(errorCodeOf(repeated), "idempotency_key_reused");
    EXPECT_EQ(fleet_.stateOf("orders-1")["calls"], 1);
    fleet_.setFaults("platform", {{"outage", true}});
    const TestResponse down = fleet_.sendOrder("entry-1", "b", "order-2");
    EXPECT_EQ(down.code, 503);
    EXPECT_EQ(down.json["error"]["not_run"], true);
    EXPECT_EQ(fleet_.stateOf("orders-1")["calls"], 1);
}

TEST_F(ProcessesTest, KeyWithdrawnAndStoreResponseLost_AllGatewaysRefuseTheKeyWithinSeconds)
{
    startDeployment(3, 1, false);
    fleet_.setFaults("platform", {{"loseAnswers", 1}});
    EXPECT_EQ(fleet_.callOperator("entry-1", "DELETE", "/operator/keys/" + fleet_.keyName).code, 200);
    for (const char *gateway : {"entry-1", "entry-2", "entry-3"}) {
        EXPECT_TRUE(waitUntil([&] { return fleet_.sendChat(gateway, "x").code == 401; }, 5000)) << gateway;
    }
}

TEST_F(ProcessesTest, StoreDownForAllGateways_ServiceContinuesWithoutRefusals)
{
    startDeployment(3, 1, false);
    fleet_.setFaults("platform", {{"outage", true}});
    int refused = 0;
    for (int i = 0; i < 40; ++i) {
        refused += fleet_.sendChat("entry-" + std::to_string(1 + i % 3), "during the outage").code == 200 ? 0 : 1;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    EXPECT_EQ(refused, 0);
    EXPECT_EQ(operatorDump("entry-1")["store"]["down"], true);
    // Not checked here: a gateway that starts during the outage can take the catalogue only from a peer that has one, and must not serve
    // keys without it.
    fleet_.setFaults("platform", {{"outage", false}});
    EXPECT_TRUE(waitUntil([this] { return operatorDump("entry-1")["store"]["down"] == false; }));
}

TEST_F(ProcessesTest, GatewayCutOffFromStoreAndPeers_RefusesKeyedRequestsAsNotRun)
{
    startDeployment(3, 1, false);
    // With the store down and both other gateways paused, nothing confirms that the key list of entry-1 is current.
    fleet_.setFaults("platform", {{"outage", true}});
    fleet_.process("entry-2").sendSignal(SIGSTOP);
    fleet_.process("entry-3").sendSignal(SIGSTOP);
    TestResponse answer;
    EXPECT_TRUE(waitUntil([&] {
        answer = fleet_.sendChat("entry-1", "x");
        return answer.code == 503;
    }));
    EXPECT_EQ(errorCodeOf(answer), "keys_not_fresh");
    EXPECT_EQ(answer.json["error"]["not_run"], true);
    fleet_.process("entry-2").sendSignal(SIGCONT);
    fleet_.process("entry-3").sendSignal(SIGCONT);
    EXPECT_TRUE(waitUntil([&] { return fleet_.sendChat("entry-1", "x").code == 200; }));
}

TEST_F(ProcessesTest, LeaseHolderPausedThenKilled_AnotherTakesOverWithAHigherEpoch)
{
    startDeployment(3, 1, false);
    std::vector<std::string> gateways{"entry-1", "entry-2", "entry-3"};
    std::string holder;
    ASSERT_TRUE(waitUntil([&] { return !(holder = leaseHolder("planner", gateways)).empty(); }));
    const auto epoch = operatorDump(holder)["leases"]["planner"]["epoch"].get<std::uint64_t>();
    fleet_.process(holder).sendSignal(SIGSTOP);
    std::erase(gateways, holder);
    std::string next;
    ASSERT_TRUE(waitUntil([&] { return !(next = leaseHolder("planner", gateways)).empty(); }));
    EXPECT_GT(operatorDump(next)["leases"]["planner"]["epoch"].get<std::uint64_t>(), epoch);
    fleet_.process(holder).sendSignal(SIGCONT);
    EXPECT_TRUE(waitUntil([&] { return operatorDump(holder)["leases"]["planner"]["valid"] == false; }));
    fleet_.process(next).kill();
    std::erase(gateways, next);
    gateways.push_back(holder);
    EXPECT_TRUE(waitUntil([&] { return !leaseHolder("planner", gateways).empty(); }));
}

TEST_F(ProcessesTest, StoredPlanRestartedEngineAndNewLeaseHolder_OrdersAreSentOnceWithIncreasingEpochs)
{
    fleet_.startPlatform();
    const std::string plan = nlohmann::json{{"roles", {{"chat-1", "decode"}}}, {"epoch", 0}}.dump();
    const nlohmann::json write{{"puts", {{{"key", "plan/roles"}, {"value", plan}}}}};
    const std::string platform = "http://127.0.0.1:" + std::to_string(fleet_.process("platform").port("port"));
    ASSERT_EQ(sendRequest({"POST", platform + "/v1/table/commit", "", write.dump()}).code, 200);
    for (const char *name : {"chat-1", "chat-2"}) {
        fleet_.startEngine(name, {"--checks-fencing", "false"});
        fleet_.startSidecar(name, true);
    }
    std::vector<std::string> gateways{"entry-1", "entry-2", "entry-3"};
    for (const std::string &gateway : gateways) {
        fleet_.startGateway(gateway);
    }
    fleet_.fillCatalogue();
    ASSERT_TRUE(waitUntil([&] { return fleet_.stateOf("chat-1")["role"] == "decode"; }));
    const std::string holder = leaseHolder("planner", gateways);
    ASSERT_FALSE(holder.empty());
    ASSERT_EQ(fleet_.stateOf("chat-1")["orders"].size(), 1U);
    const auto epoch = fleet_.stateOf("chat-1")["orders"][0]["fencing"].get<std::uint64_t>();
    // The new holder reads the stored plan and must not send the order repeated.
    fleet_.process(holder).kill();
    std::erase(gateways, holder);
    ASSERT_TRUE(waitUntil([&] {
        const std::string next = leaseHolder("planner", gateways);
        return !next.empty() && operatorDump(next)["leases"]["planner"]["mayAct"] == true
            && !operatorDump(next)["fleet"]["wantedRoles"].empty();
    }));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    EXPECT_EQ(fleet_.stateOf("chat-1")["orders"].size(), 1U);
    // A crashed engine restarts without its role. The new holder must detect that and send the order repeated with its own epoch.
    fleet_.process("chat-1").kill();
    fleet_.startEngine("chat-1", {"--checks-fencing", "false"});
    fleet_.startSidecar("chat-1", true);
    const std::string address = "127.0.0.1:" + std::to_string(fleet_.process("chat-1-sidecar").port("link"));
    EXPECT_EQ(
        fleet_.putCatalogueEntry("endpoint", "chat-1", {{"dataCentre", "dc-1"}, {"sidecar", address}, {"serves", "chat"}}, gateways[0])
            .code,
        200);
    ASSERT_TRUE(waitUntil([&] { return fleet_.stateOf("chat-1")["role"] == "decode"; }));
    EXPECT_GT(fleet_.stateOf("chat-1")["orders"][0]["fencing"].get<std::uint64_t>(), epoch);
    EXPECT_TRUE(fleet_.stateOf("chat-2")["orders"].empty());
}

TEST_F(ProcessesTest, ConcurrentOperatorWrites_OneGetsAConflictWithTheNewVersion)
{
    startDeployment(2, 1, false);
    const auto version = fleet_.callOperator("entry-1", "GET", "/operator/catalogue/customer/desk").json["version"].get<std::uint64_t>();
    std::vector<TestResponse> answers(2);
    std::vector<std::thread> operators;
    for (std::size_t i = 0; i < 2; ++i) {
        operators.emplace_back([&, i] {
            const nlohmann::json body{{"document", {{"rate", 1000 + i}, {"burst", 5000}}}, {"expectedVersion", version}};
            answers[i] = fleet_.callOperator("entry-" + std::to_string(i + 1), "PUT", "/operator/catalogue/customer/desk", body);
        });
    }
    for (std::thread &thread : operators) {
        thread.join();
    }
    const std::size_t winner = answers[0].code == 200 ? 0 : 1;
    EXPECT_EQ(answers[winner].code, 200);
    EXPECT_EQ(answers[1 - winner].code, 409);
    const std::string newer = std::to_string(answers[winner].json["version"].get<std::uint64_t>());
    EXPECT_NE(answers[1 - winner].body.find(newer), std::string::npos) << answers[1 - winner].body;
}

TEST_F(ProcessesTest, LostStoreResponsesAndKilledReporter_RepeatedUsageReportsAreIdentical)
{
    startDeployment(3, 1, false);
    std::uint64_t tokens = 0;
    for (int i = 0; i < 30; ++i) {
        const TestResponse answer = fleet_.sendChat("entry-1", "x");
        ASSERT_EQ(answer.code, 200);
        tokens += answer.json["usage"]["completion_tokens"].get<std::uint64_t>();
        if (i % 10 == 5) {
            fleet_.setFaults("platform", {{"loseAnswers", 1}});
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    std::string reporter = leaseHolder("reporter", {"entry-2", "entry-3"});
    if (!reporter.empty()) {
        fleet_.process(reporter).kill();
    }
    const auto reportedTokens = [&] {
        std::map<std::uint64_t, nlohmann::json> windows;
        const nlohmann::json state = fleet_.stateOf("platform");
        for (const auto &report : state["reports"]) {
            const auto [it, added] = windows.emplace(report["window"].get<std::uint64_t>(), report["customers"]);
            EXPECT_EQ(it->second, report["customers"]) << "window reported with different figures";
        }
        std::uint64_t sum = 0;
        for (const auto &[window, customers] : windows) {
            sum += customers.contains("desk") ? customers["desk"]["outputTokens"].get<std::uint64_t>() : 0;
        }
        return sum;
    };
    // The sum may exceed `tokens`: the first windows also contain the chats that waitUntilServing() sent.
    EXPECT_TRUE(waitUntil([&] { return reportedTokens() >= tokens; }, 30000)) << reportedTokens() << " of " << tokens;
}

TEST_F(ProcessesTest, RollingGatewayRestartUnderLoad_NoRequestFails)
{
    startDeployment(2, 2, false, {"--decode", "100"});
    std::atomic<bool> stop = false;
    std::atomic<int> failed = 0;
    std::atomic<int> served = 0;
    std::atomic<int> current = 1;
    std::vector<std::thread> callers;
    for (int i = 0; i < 4; ++i) {
        callers.emplace_back([&, i] {
            while (!stop) {
                // Like a load balancer, send requests only to a gateway that is ready.
                const std::string text = "roll " + std::to_string(i);
                const TestResponse answer = fleet_.sendChat("entry-" + std::to_string(current.load()), text, true, 30);
                if (streamedContent(answer) == expectedAnswer(text, 30)) {
                    ++served;
                } else {
                    ++failed;
                }
            }
        });
    }
    for (int round = 0; round < 2; ++round) {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        const int leaving = current;
        current = 3 - leaving;
        EXPECT_EQ(fleet_.process("entry-" + std::to_string(leaving)).terminate(), 0);
        fleet_.startGateway("entry-" + std::to_string(leaving));
        EXPECT_TRUE(fleet_.waitUntilServing("entry-" + std::to_string(leaving)));
    }
    stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(failed, 0);
    EXPECT_GT(served, 10);
}

TEST_F(ProcessesTest, EndpointsDrained_RunningAnswerCompletesAndNewRequestsAreRefused)
{
    startDeployment(2, 2, false, {"--decode", "50"});
    TestResponse running;
    std::thread caller([&] { running = fleet_.sendChat("entry-1", "running", true, 100); });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    for (const char *endpoint : {"chat-1", "chat-2"}) {
        EXPECT_EQ(
            fleet_.callOperator("entry-1", "POST", "/operator/endpoints/" + std::string(endpoint) + "/drain", nlohmann::json::object())
                .code,
            200);
    }
    EXPECT_TRUE(waitUntil(
        [&] {
            return operatorDump("entry-2")["endpoints"][0]["draining"] == true
                && operatorDump("entry-2")["endpoints"][1]["draining"] == true;
        },
        3000));
    EXPECT_EQ(fleet_.sendChat("entry-2", "new").code, 503);
    caller.join();
    EXPECT_EQ(streamedContent(running), expectedAnswer("running", 100));
}

TEST_F(ProcessesTest, OneCustomerAtFiveTimesItsRate_StaysWithinBurstAndRate)
{
    fleet_.customerDocument = {{"rate", 400}, {"burst", 400}};
    startDeployment(3, 2, false);
    // Each chat uses about 2 prompt tokens and 16 output tokens.
    const auto begin = std::chrono::steady_clock::now();
    std::atomic<std::uint64_t> tokens = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < 12; ++i) {
        callers.emplace_back([&, i] {
            while (std::chrono::steady_clock::now() - begin < std::chrono::seconds(4)) {
                const TestResponse answer = fleet_.sendChat("entry-" + std::to_string(1 + i % 3), "x");
                if (answer.code == 200) {
                    tokens += answer.json["usage"]["total_tokens"].get<std::uint64_t>();
                } else {
                    EXPECT_EQ(answer.code, 429) << answer.body;
                }
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    EXPECT_LE(static_cast<double>(tokens), 400 + 400 * seconds);
    EXPECT_GE(static_cast<double>(tokens), 0.7 * 400 * 4);
}

TEST_F(ProcessesTest, DeploymentWithOtherLinkKeys_CannotReachTheSidecar)
{
    startDeployment(1, 1, false);
    Deployment other;
    other.startPlatform();
    other.startGateway("entry-1");
    ASSERT_TRUE(waitUntil([&] { return other.putCatalogueEntry("customer", "desk", other.customerDocument).code == 200; }));
    const std::string address = "127.0.0.1:" + std::to_string(fleet_.process("chat-1-sidecar").port("link"));
    ASSERT_EQ(other.putCatalogueEntry("endpoint", "chat-1", {{"dataCentre", "dc-1"}, {"sidecar", address}, {"serves", "chat"}}).code, 200);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    EXPECT_EQ(other.callOperator("entry-1", "GET", "/operator/dump?endpoint=chat-1").code, 503);
    EXPECT_EQ(fleet_.callOperator("entry-1", "GET", "/operator/dump?endpoint=chat-1").code, 200);
    const std::string url = "http://127.0.0.1:" + std::to_string(fleet_.process("entry-1").port("operators")) + "/operator/dump";
    EXPECT_EQ(sendRequest({"GET", url, "wrong"}).code, 401);
}

}

}
