/**
 * Runs the real gateway against a stand-in of the users' platform: complete requests, keys, a store outage, a suspended process, usage
 * reports and a planned stop.
 */
#include "crashingengine.h"
#include "scriptedendpoint.h"
#include "usersplatformfixture.h"

#include <absl/strings/str_format.h>
#include <asio/dispatch.hpp>
#include <asio/executor_work_guard.hpp>

#include <csignal>
#include <thread>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

TEST_F(UsersPlatformTest, RequestWithKey_IsForwardedWithoutTheKeyAndResponseIsComplete)
{
    ASSERT_TRUE(waitUntilServed("key-1"));
    const auto answer = sendOrder("/orders/7?x=1", "key-1", "green");
    EXPECT_EQ(answer.code, 200);
    EXPECT_EQ(answer.body, "served green");
    const auto seen = callAdmin("/admin/state")["requests"].back();
    EXPECT_EQ(seen["headers"]["Tenant"], "desk");
    EXPECT_EQ(seen["headers"]["Expect-Instance"], "endpoint-1");
    EXPECT_FALSE(seen["headers"].contains("X-Api-Key"));
    EXPECT_LE(std::stoi(seen["headers"]["Deadline-Ms"].get<std::string>()), 700);
}

TEST_F(UsersPlatformTest, UnknownKeyOrRoute_RequestIsRefusedAndNotForwarded)
{
    ASSERT_TRUE(waitUntilServed("key-1"));
    const auto before = callAdmin("/admin/state")["requests"].size();
    EXPECT_EQ(sendOrder("/orders/1", "key-2").code, 401);
    EXPECT_EQ(sendOrder("/orders/1", "").code, 401);
    EXPECT_EQ(sendOrder("/nothing/", "key-1").code, 404);
    EXPECT_EQ(callAdmin("/admin/state")["requests"].size(), before);
}

TEST_F(UsersPlatformTest, KeyWithdrawn_RequestsAreRefusedWithinTheBound)
{
    ASSERT_TRUE(waitUntilServed("key-1"));
    putConfiguration(2, {"key-2"});
    EXPECT_TRUE(waitUntil([&] { return sendOrder("/orders/1", "key-1").code == 401; }, 2000));
    EXPECT_EQ(sendOrder("/orders/1", "key-2").code, 200);
}

TEST_F(UsersPlatformTest, OlderConfigurationWritten_GatewayKeepsTheNewerOne)
{
    putConfiguration(5, {"key-5"});
    ASSERT_TRUE(waitUntilServed("key-5"));
    putConfiguration(4, {"key-4"});
    std::this_thread::sleep_for(1500ms);
    EXPECT_EQ(sendOrder("/orders/1", "key-4").code, 401);
    EXPECT_EQ(sendOrder("/orders/1", "key-5").code, 200);
}

TEST_F(UsersPlatformTest, StoreDownPastTheBound_KeyedRequestsAreRefusedAndOpenRequestsAreServed)
{
    ASSERT_TRUE(waitUntilServed("key-1"));
    callAdmin("/admin/faults", {{"down", true}});
    EXPECT_TRUE(waitUntil([&] { return sendOrder("/orders/1", "key-1").code == 503; }, 4000));
    EXPECT_EQ(sendOrder("/open/1", "").code, 200);
    callAdmin("/admin/faults", {{"down", false}});
    EXPECT_TRUE(waitUntilServed("key-1"));
}

// Guards against a 404 or 401 from a copy of the configuration that was known to be too old to deny anything (CONFIG).
TEST_F(UsersPlatformTest, StoreSilentForLongerThanAConfigurationTakes_UnknownRouteAndKey_AreNotDenied)
{
    constexpr auto ConfigurationDelay = 2000ms;
    constexpr int RevocationMs = 5000;
    const std::string ip = loopbackAddress("127.78.");
    const auto gateway = startGateway("entry-2", ip, RevocationMs);
    const auto send = [&](const char *path, const char *key) { return sendOrderTo(*gateway, ip, path, key).code; };
    ASSERT_TRUE(waitUntil([&] { return send("/orders/1", "key-1") == 200; }));
    EXPECT_EQ(404, send("/unknown/1", "key-1"));
    EXPECT_EQ(401, send("/orders/1", "key-9"));
    callAdmin("/admin/faults", {{"silentStore", true}});
    std::this_thread::sleep_for(ConfigurationDelay + 100ms);
    EXPECT_EQ(503, send("/unknown/1", "key-1"));
    EXPECT_EQ(503, send("/orders/1", "key-9"));
    EXPECT_EQ(200, send("/orders/1", "key-1"));
    callAdmin("/admin/faults", {{"silentStore", false}});
    EXPECT_TRUE(waitUntil([&] { return send("/unknown/1", "key-1") == 404; }));
}

TEST_F(UsersPlatformTest, KeyWithdrawnWhileSuspended_ResumedWithStoreDown_KeyIsNotServed)
{
    ASSERT_TRUE(waitUntilServed("key-1"));
    gateway_->sendSignal(SIGSTOP);
    putConfiguration(2, {"key-2"});
    callAdmin("/admin/faults", {{"down", true}});
    std::this_thread::sleep_for(2500ms);
    const auto before = callAdmin("/admin/state")["requests"].size();
    gateway_->sendSignal(SIGCONT);
    EXPECT_EQ(sendOrder("/orders/1", "key-1").code, 503);
    EXPECT_EQ(callAdmin("/admin/state")["requests"].size(), before);
}

TEST_F(UsersPlatformTest, EndpointDoesNotRespond_OrderThatMayHaveRun_IsNotRetried)
{
    ASSERT_TRUE(waitUntilServed("key-1"));
    callAdmin("/admin/faults", {{"silentEndpoint", true}});
    const auto before = callAdmin("/admin/state")["requests"].size();
    const auto answer = sendOrder("/orders/1", "key-1");
    EXPECT_TRUE(answer.code == 504 || answer.code == 502) << answer.code;
    EXPECT_EQ(callAdmin("/admin/state")["requests"].size(), before + 1);
}

/** One prefill engine and two decode engines, all at the stand-in's address. */
class UsersPlatformEngineTest : public UsersPlatformTest
{
protected:
    UsersPlatformEngineTest()
    {
        for (const char *id : {"writer-1", "writer-2", "reader-1"}) {
            putRow("servers",
                   id,
                   {{"service", "model"},
                    {"address", "127.0.0.1:" + std::to_string(platform_.port("port"))},
                    {"zone", "dc-1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"stage", std::string(id).starts_with("reader") ? "prefill" : "decode"},
                    {"seq", 1}});
        }
        putEngineConfiguration("idempotent");
    }

    TestResponse sendPrompt()
    {
        TestRequest call;
        call.method = "POST";
        call.url = "http://" + ip_ + ':' + std::to_string(gateway_->port("callers")) + "/ask/1";
        call.body = "blue";
        call.headers = {{"Host", "shop.example"},
                        {"Attempt-Id", "a1"},
                        {"Deadline-Ms", "700"},
                        {"Token-Counts", "5000,2"},
                        {"Prompt-Prefix", "a:2000,b:3000"}};
        call.timeoutMs = 3000;
        return sendRequest(call);
    }

    /** The prefill engine registered last, so a gateway that uses it knows all engines. */
    bool waitUntilAllEnginesAreKnown()
    {
        return waitUntil([&] { return sendPrompt().code == 200 && countCalls("POST", "Stage", 0) > 0; });
    }

    /** Number of calls with this method and header (any header if empty) that the engines received after the first @p skipped calls. */
    std::size_t countCalls(const std::string &method, const std::string &header, std::size_t skipped)
    {
        std::size_t count = 0;
        const auto requests = callAdmin("/admin/state")["requests"];
        for (std::size_t i = skipped; i < requests.size(); ++i) {
            const bool matches = requests[i]["method"] == method && (header.empty() || requests[i]["headers"].contains(header));
            count += matches ? 1 : 0;
        }
        return count;
    }
};

TEST_F(UsersPlatformEngineTest, DecodeEngineRefusesPrefilledPrompt_RequestGoesToAnotherWithoutSecondPrefill)
{
    ASSERT_TRUE(waitUntilAllEnginesAreKnown());
    const auto before = callAdmin("/admin/state")["requests"].size();
    callAdmin("/admin/faults", {{"refusedRuns", 1}});
    EXPECT_EQ(sendPrompt().code, 200);
    EXPECT_EQ(countCalls("POST", "Stage", before), 1U);
    EXPECT_EQ(countCalls("POST", "Kv-Source", before), 2U);
}

TEST_F(UsersPlatformEngineTest, NoDecodeEngineAcceptsPrefilledPrompt_RequestIsRefusedAndKvCacheIsFreed)
{
    ASSERT_TRUE(waitUntilAllEnginesAreKnown());
    const auto before = callAdmin("/admin/state")["requests"].size();
    callAdmin("/admin/faults", {{"refusedRuns", 100}});
    EXPECT_EQ(sendPrompt().code, 503);
    EXPECT_TRUE(waitUntil([&] { return countCalls("DELETE", "", before) > 0; }));
}

/** A streaming route whose endpoint sends exact bytes. */
class UsersPlatformStreamTest : public UsersPlatformTest
{
protected:
    UsersPlatformStreamTest()
    {
        endpointThread_ = std::jthread([this] { endpointContext_.run(); });
        putRow("servers",
               "streamer-1",
               {{"service", "stories"},
                {"address", endpoint_.record().address.text()},
                {"zone", "dc-1"},
                {"slots", 8},
                {"state", "ready"},
                {"seq", 1}});
        putRow("op",
               "config",
               {{"version", 2},
                {"routes",
                 {{{"name", "tell"},
                   {"host", "shop.example"},
                   {"path_prefix", "/tell/"},
                   {"kind", "streaming"},
                   {"timeout_ms", 800},
                   {"target_latency_ms", 150},
                   {"service", "stories"},
                   {"max_attempts", 1},
                   {"anonymous", true}}}},
                {"services", {{{"name", "stories"}, {"health_path", "/healthz"}, {"max_connections", 50}}}},
                {"limits", nlohmann::json::object()}});
    }

    ~UsersPlatformStreamTest() override
    {
        endpointContext_.stop();
    }

    /** The answer to a request whose endpoint sends this body in the given framing. */
    TestResponse streamOf(const std::string &framing, const std::string &body, Script::AfterResponse afterResponse)
    {
        const std::string head
            = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: signed\r\nContent-Type: text/event-stream\r\n" + framing;
        setScript(head + "\r\n" + body, afterResponse);
        waitUntil([&] {
            answer_ = send();
            return answer_.code != 404 && answer_.code != 503;
        });
        return answer_;
    }

    void setScript(const std::string &response, Script::AfterResponse afterResponse = Script::AfterResponse::KeepOpen)
    {
        asio::dispatch(endpointContext_, [this, response, afterResponse] { endpoint_.lastScript = {response, afterResponse}; });
    }

    TestResponse send()
    {
        TestRequest call;
        call.method = "POST";
        call.url = "http://" + ip_ + ':' + std::to_string(gateway_->port("callers")) + "/tell/1";
        call.body = "blue";
        call.headers = {{"Host", "shop.example"}, {"Attempt-Id", "a1"}, {"Deadline-Ms", "700"}};
        call.timeoutMs = 3000;
        return sendRequest(call);
    }

    static std::string chunked(const std::string &body)
    {
        return absl::StrFormat("%x\r\n%s\r\n0\r\n\r\n", body.size(), body);
    }

    asio::io_context endpointContext_;
    asio::executor_work_guard<asio::io_context::executor_type> endpointWork_ = asio::make_work_guard(endpointContext_);
    ScriptedEndpoint endpoint_{endpointContext_};
    std::jthread endpointThread_;
    TestResponse answer_;
};

// Guards against a stream that was broken off inside an event and reached its caller as complete.
TEST_F(UsersPlatformStreamTest, StreamWithoutFramingClosesInsideEvent_Caller_GetsNoCompleteAnswer)
{
    EXPECT_EQ(streamOf("", "id: 1\ndata: a\n\nid: 2\ndat", Script::AfterResponse::Close).code, 0);
}

// Guards against the same where the stream breaks off before its first event is whole, and in an answer that is formally complete.
TEST_F(UsersPlatformStreamTest, StreamEndsInsideFirstEvent_AnyFraming_CallerGetsFailure)
{
    const std::string body = "id: 1\ndat";
    EXPECT_EQ(streamOf("", body, Script::AfterResponse::Close).code, 502);
    EXPECT_EQ(streamOf("Content-Length: " + std::to_string(body.size()) + "\r\n", body, Script::AfterResponse::KeepOpen).code, 502);
    EXPECT_EQ(streamOf("Transfer-Encoding: chunked\r\n", chunked(body), Script::AfterResponse::KeepOpen).code, 502);
}

// Guards against whole streams being taken for broken ones because of their framing or their line ends.
TEST_F(UsersPlatformStreamTest, StreamEndsAfterEvent_AnyFraming_CallerGetsAllOfIt)
{
    for (const std::string body : {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"}) {
        EXPECT_EQ(streamOf("", body, Script::AfterResponse::Close).body, body);
        EXPECT_EQ(streamOf("Transfer-Encoding: chunked\r\n", chunked(body), Script::AfterResponse::KeepOpen).body, body);
    }
}

TEST_F(UsersPlatformTest, RequestsServed_UsageIsReportedOncePerWindow)
{
    ASSERT_TRUE(waitUntilServed("key-1"));
    for (int i = 0; i < 20; ++i) {
        ASSERT_EQ(sendOrder("/orders/1", "key-1").code, 200);
    }
    std::string lastReports;
    EXPECT_TRUE(waitUntil(
        [&] {
            std::uint64_t sum = 0;
            std::set<std::uint64_t> windows;
            const auto state = callAdmin("/admin/state");
            for (const auto &report : state["reports"]) {
                sum += report["counts"].value("desk", std::uint64_t{0});
                EXPECT_TRUE(windows.insert(report["window"].get<std::uint64_t>()).second) << "reported twice";
            }
            lastReports = state["reports"].dump();
            return sum >= 21;
        },
        15000))
        << lastReports;
}

/** A second gateway, so that each holds half of a limit of 20 requests and 5 a second. */
class UsersPlatformPairTest : public UsersPlatformTest
{
protected:
    static constexpr int Rate = 5;
    static constexpr int Burst = 20;

    UsersPlatformPairTest()
        : secondIp_(loopbackAddress("127.78."))
        , second_(startGateway("entry-2", secondIp_))
    {
        putConfiguration(2, {"key-1"}, Rate, Burst);
    }

    int sendToSecond()
    {
        return sendOrderTo(*second_, secondIp_, "/orders/1", "key-1").code;
    }

    /** Sends more requests than the limit allows, for that time. @return the number of those that were served. */
    template<typename Send>
    static int countServed(std::chrono::milliseconds time, Send send)
    {
        int served = 0;
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            served += send() == 200 ? 1 : 0;
        }
        return served;
    }

    std::string secondIp_;
    std::unique_ptr<TestProcess> second_;
};

TEST_F(UsersPlatformPairTest, AllRequestsAtOneGateway_Customer_GetsTheWholeLimitAndNoMore)
{
    ASSERT_TRUE(waitUntilServed("key-1"));
    ASSERT_TRUE(waitUntil([&] { return sendToSecond() == 200; }));
    // Until both hold shares of the limit; a division takes effect within two seconds of its last reader.
    std::this_thread::sleep_for(6s);
    const int served = countServed(4000ms, [&] { return sendOrder("/orders/1", "key-1").code; });
    EXPECT_LE(served, Burst + Rate * 4 + 1);
    EXPECT_GT(served, (Burst + Rate * 4) * 6 / 10);
}

TEST_F(UsersPlatformPairTest, HolderKilled_Requests_AreServedByTheOtherShare)
{
    ASSERT_TRUE(waitUntilServed("key-1"));
    ASSERT_TRUE(waitUntil([&] { return sendToSecond() == 200; }));
    std::this_thread::sleep_for(4s);
    second_->sendSignal(SIGKILL);
    EXPECT_GT(countServed(3000ms, [&] { return sendOrder("/orders/1", "key-1").code; }), Rate);
}

// Guards against requests to an endpoint that said in an answer that it is leaving.
TEST_F(UsersPlatformStreamTest, AnswerSaysThatItsEndpointLeaves_NextRequest_IsNotSentToIt)
{
    const std::string body = "id: 1\ndata: a\n\n";
    EXPECT_EQ(
        streamOf("Server-Leaving: 1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n", body, Script::AfterResponse::KeepOpen)
            .code,
        200);
    EXPECT_EQ(send().code, 503);
}

// Guards against requests to an endpoint in the time for which it wants none; after it, it gets requests again.
TEST_F(UsersPlatformStreamTest, EndpointTurnsRequestAway_RequestsInTheStatedTime_AreNotSentToIt)
{
    const std::string body = "id: 1\ndata: a\n\n";
    const std::string framing = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    EXPECT_EQ(streamOf(framing, body, Script::AfterResponse::KeepOpen).code, 200);
    setScript("HTTP/1.1 503 Busy\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(send().code, 503);
    const int before = endpoint_.requests;
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(send().code, 503);
    }
    EXPECT_EQ(endpoint_.requests, before);
    EXPECT_EQ(streamOf(framing, body, Script::AfterResponse::KeepOpen).code, 200);
}

/** Two gateways before engines that end when they begin to answer a prompt with one certain part. */
class UsersPlatformCrashTest : public UsersPlatformTest
{
protected:
    static constexpr const char *DeadlyPart = "dead";
    static constexpr std::chrono::milliseconds RestartTime{300};
    /** Within this time after the fifth crash all gateways must know the part (contact_ms by default). */
    static constexpr std::chrono::milliseconds ReportTime{3000};

    UsersPlatformCrashTest()
        : secondIp_(loopbackAddress("127.78."))
        , second_(startGateway("entry-2", secondIp_))
    {
        for (int i = 0; i < 3; ++i) {
            engines_.push_back(std::make_unique<CrashingEngine>(context_, DeadlyPart, RestartTime));
            putRow("servers",
                   "engine-" + std::to_string(i),
                   {{"service", "model"},
                    {"address", engines_.back()->address().text()},
                    {"zone", "dc-1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"stage", "decode"},
                    {"seq", 1}});
        }
        putEngineConfiguration("streaming");
        thread_ = std::jthread([this] { context_.run(); });
    }

    ~UsersPlatformCrashTest() override
    {
        context_.stop();
    }

    /** Sends a prompt of a shared beginning, the given part and one of its own, to one gateway after the other. */
    int sendPrompt(const std::string &part)
    {
        const bool toSecond = ++sent_ % 2 == 0;
        TestRequest call;
        call.method = "POST";
        call.url
            = "http://" + (toSecond ? secondIp_ : ip_) + ':' + std::to_string((toSecond ? *second_ : *gateway_).port("callers")) + "/ask/1";
        call.headers = {{"Host", "shop.example"},
                        {"Attempt-Id", "a" + std::to_string(sent_)},
                        {"Deadline-Ms", "700"},
                        {"Token-Counts", "100,2"},
                        {"Prompt-Prefix", "system:50," + part + ":40,own" + std::to_string(sent_) + ":10"}};
        call.timeoutMs = 3000;
        return sendRequest(call).code;
    }

    int crashes()
    {
        int sum = 0;
        for (const auto &engine : engines_) {
            sum += engine->crashes();
        }
        return sum;
    }

    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(context_);
    std::vector<std::unique_ptr<CrashingEngine>> engines_;
    std::string secondIp_;
    std::unique_ptr<TestProcess> second_;
    std::jthread thread_;
    int sent_ = 0;
};

// Guards against requests of one kind that crash one engine after the other, at whichever gateway they come.
TEST_F(UsersPlatformCrashTest, PromptPartCrashesEngines_FifthCrashWasReported_ItIsSentNoMoreAndOthersAreServed)
{
    ASSERT_TRUE(waitUntil([&] { return sendPrompt("sound") == 200 && sendPrompt("sound") == 200; }));
    std::vector<int> repliesToDeadly;
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (crashes() < 5 && std::chrono::steady_clock::now() < end
           && (repliesToDeadly.empty() || repliesToDeadly.back() != 503 || crashes() < 3)) {
        repliesToDeadly.push_back(sendPrompt(DeadlyPart));
        sendPrompt("sound");
        std::this_thread::sleep_for(200ms);
    }
    ASSERT_GE(crashes(), 3);
    std::this_thread::sleep_for(ReportTime);
    const int before = crashes();
    int served = 0;
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(sendPrompt(DeadlyPart), 503);
        served += sendPrompt("sound") == 200 ? 1 : 0;
        served += sendPrompt("new" + std::to_string(i)) == 200 ? 1 : 0;
        std::this_thread::sleep_for(20ms);
    }
    EXPECT_LE(crashes() - before, 3);
    EXPECT_GE(served, 38);
}

TEST_F(UsersPlatformTest, PlannedStop_GatewayExitsWithCodeZero)
{
    ASSERT_TRUE(waitUntilServed("key-1"));
    EXPECT_EQ(gateway_->terminate(), 0);
}

}

}
