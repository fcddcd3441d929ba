/**
 * Runs two gateways before engines that end, or cut streams, in the middle of their answers to prompts with one certain part. No two of the
 * requests are alike.
 */
#include "crashingengine.h"
#include "endpointthread.h"
#include "usersplatformfixture.h"

#include <thread>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class DeadlyStreamTest : public UsersPlatformTest
{
protected:
    static constexpr const char *DeadlyPart = "dead0001";
    static constexpr std::chrono::milliseconds RestartTime{300};
    /** Within this time after the fifth crash all gateways must know the part (contact_ms by default). */
    static constexpr std::chrono::milliseconds ReportTime{3000};
    static constexpr int CrashesKnown = 5;
    static constexpr int AllowedArrivals = 3;
    static constexpr int Engines = 5;

    explicit DeadlyStreamTest(DeadlyAnswer answer)
        : secondIp_(loopbackAddress("127.79."))
        , second_(startGateway("entry-2", secondIp_))
    {
        for (int i = 0; i < Engines; ++i) {
            engines_.push_back(std::make_unique<CrashingEngine>(thread_.context(), DeadlyPart, RestartTime, answer));
            putEngine("engine-" + std::to_string(i), i);
        }
        putOpenRoutes({{.service = "model", .kind = "streaming", .hasEngines = true, .timeoutMs = 8000}});
    }

    ~DeadlyStreamTest() override
    {
        thread_.stop();
    }

    /** @param number of the engine that is registered under the id. */
    void putEngine(const std::string &id, int number, const char *state = "ready")
    {
        putRow("servers",
               id,
               {{"service", "model"},
                {"address", engines_[static_cast<std::size_t>(number)]->address().text()},
                {"zone", "dc-1"},
                {"slots", 8},
                {"state", state},
                {"stage", "decode"},
                {"seq", 1}});
    }

    /** Sends a prompt with the part to one gateway after the other. @return the status that the caller gets. */
    int send(const std::string &part)
    {
        const bool toSecond = ++sent_ % 2 == 0;
        return sendTo(toSecond ? *second_ : *gateway_, toSecond ? secondIp_ : ip_, part);
    }

    int sendTo(TestProcess &gateway, const std::string &ip, const std::string &part)
    {
        const std::string number = std::to_string(++lastNumber_);
        TestRequest call;
        call.method = "POST";
        call.url = "http://" + ip + ':' + std::to_string(gateway.port("callers")) + "/model/1";
        call.body = number;
        call.headers = {{"Host", "shop.example"},
                        {"Attempt-Id", "a" + number},
                        {"Deadline-Ms", "7500"},
                        {"Model", "m"},
                        {"Token-Counts", "220,90"},
                        {"Prompt-Prefix", "5c1e07a2:50," + part + ":30,e" + number + ":140"}};
        call.timeoutMs = 8000;
        return sendRequest(call).code;
    }

    void waitUntilServed()
    {
        ASSERT_TRUE(waitUntil([&] { return send("5e01") == 200 && send("5e01") == 200; }));
    }

    int crashes() const
    {
        return sum(&CrashingEngine::crashes);
    }

    int deadlyArrivals() const
    {
        return sum(&CrashingEngine::deadlyArrivals);
    }

    EndpointThread thread_;
    std::vector<std::unique_ptr<CrashingEngine>> engines_;
    std::string secondIp_;
    std::unique_ptr<TestProcess> second_;
    std::atomic<int> sent_ = 0;
    std::atomic<int> lastNumber_ = 0;

private:
    int sum(int (CrashingEngine::*figure)() const) const
    {
        int result = 0;
        for (const auto &engine : engines_) {
            result += (*engine.*figure)();
        }
        return result;
    }
};

struct CrashPoint
{
    const char *name;
    DeadlyAnswer answer;
};

class CrashInStreamTest : public DeadlyStreamTest, public testing::WithParamInterface<CrashPoint>
{
protected:
    CrashInStreamTest()
        : DeadlyStreamTest(GetParam().answer)
    {
    }
};

// Guards against a part that crashes engines in the middle of their answers for as long as requests with it come (BUDGET).
TEST_P(CrashInStreamTest, PartCrashedFiveEngines_RequestsWithItComeOn_FewReachEnginesAndSoundOnesAreServed)
{
    waitUntilServed();
    ASSERT_TRUE(waitUntil(
        [&] {
            send(DeadlyPart);
            return crashes() >= CrashesKnown;
        },
        30000));
    std::this_thread::sleep_for(ReportTime);
    const int before = deadlyArrivals();
    int served = 0;
    constexpr int Requests = 20;
    for (int i = 0; i < Requests; ++i) {
        send(DeadlyPart);
        served += send("5e" + std::to_string(10 + i)) == 200 ? 1 : 0;
        std::this_thread::sleep_for(100ms);
    }
    EXPECT_LE(deadlyArrivals() - before, AllowedArrivals);
    EXPECT_GE(served, Requests - 2);
}

INSTANTIATE_TEST_SUITE_P(Points,
                         CrashInStreamTest,
                         testing::Values(CrashPoint{"FirstEvent", {.events = 1, .gap = 10ms}},
                                         CrashPoint{"TenthEvent", {.events = 10, .gap = 100ms}},
                                         CrashPoint{"FirstEventWithoutFraming", {.events = 1, .gap = 10ms, .endsWithConnection = true}}),
                         [](const auto &point) { return std::string(point.param.name); });

class StartedGatewayTest : public DeadlyStreamTest
{
protected:
    StartedGatewayTest()
        : DeadlyStreamTest({.events = 1, .gap = 10ms})
    {
    }
};

// Guards against engines that are crashed once more through each gateway that starts, until it believes what the others have reported.
TEST_F(StartedGatewayTest, PartCrashedFiveEngines_GatewayStarts_RequestsWithItReachFewEngines)
{
    waitUntilServed();
    ASSERT_TRUE(waitUntil([&] {
        send(DeadlyPart);
        return crashes() >= CrashesKnown;
    }));
    std::this_thread::sleep_for(ReportTime);
    const std::string ip = loopbackAddress("127.80.");
    const auto started = startGateway("entry-3", ip);
    ASSERT_TRUE(waitUntil([&] { return sendTo(*started, ip, "5e01") == 200; }));
    const int before = deadlyArrivals();
    for (int i = 0; i < 2 * Engines; ++i) {
        sendTo(*started, ip, DeadlyPart);
        std::this_thread::sleep_for(80ms);
    }
    EXPECT_LE(deadlyArrivals() - before, AllowedArrivals);
}

class ResetStreamTest : public DeadlyStreamTest
{
protected:
    ResetStreamTest()
        : DeadlyStreamTest({.events = 2, .gap = 10ms, .end = DeadlyAnswer::End::Reset})
    {
    }
};

// Guards against a sound part that is blocked because its streams were reset while the engines live (LOST).
TEST_F(ResetStreamTest, ManyStreamsAreReset_RequestsWithTheirPart_StillReachEngines)
{
    constexpr int Requests = 30;
    waitUntilServed();
    for (int i = 0; i < Requests; ++i) {
        send(DeadlyPart);
    }
    std::this_thread::sleep_for(ReportTime);
    const int before = deadlyArrivals();
    EXPECT_GE(before, Requests);
    for (int i = 0; i < Requests; ++i) {
        send(DeadlyPart);
    }
    EXPECT_GE(deadlyArrivals() - before, Requests);
}

class LeavingEnginesTest : public DeadlyStreamTest
{
protected:
    LeavingEnginesTest()
        : DeadlyStreamTest({.events = 10, .gap = 100ms})
    {
    }
};

// Guards against a sound part that is blocked because its streams were cut by engines which stopped by plan (LOST).
TEST_F(LeavingEnginesTest, DrainingEnginesEndInTheMiddleOfStreams_RequestsWithTheirPart_StillReachEngines)
{
    constexpr int LeavingEngines = Engines - 1;
    waitUntilServed();
    for (int i = 0; i < Engines; ++i) {
        putEngine("engine-" + std::to_string(i), i, "draining");
    }
    for (int i = 0; i < LeavingEngines; ++i) {
        const std::string id = "leaving-" + std::to_string(i);
        putEngine(id, i);
        waitUntilServed();
        std::jthread first([this] { send(DeadlyPart); });
        std::jthread second([this] { send(DeadlyPart); });
        ASSERT_TRUE(waitUntil([&] { return deadlyArrivals() == 2 * (i + 1); }));
        putEngine(id, i, "draining");
        ASSERT_TRUE(waitUntil([&] { return crashes() == i + 1; }));
    }
    putEngine("staying", LeavingEngines);
    std::this_thread::sleep_for(ReportTime);
    const int before = deadlyArrivals();
    for (int i = 0; i < 2; ++i) {
        waitUntilServed();
        send(DeadlyPart);
    }
    EXPECT_EQ(deadlyArrivals() - before, 2);
}

}

}
