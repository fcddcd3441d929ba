/**
 * Runs the real gateway before an endpoint whose answers have no end. They guard against a gateway that keeps all of it until it exceeds
 * its memory and ends, and with it the requests that sound endpoints are working on.
 */
#include "endlessendpoint.h"
#include "endpointthread.h"
#include "scriptedendpoint.h"
#include "usersplatformfixture.h"

#include <asio/completion_condition.hpp>
#include <asio/read.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <ostream>
#include <thread>
#include <vector>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr int BadGateway = 502;
constexpr int Unavailable = 503;

/** How an answer begins and what is repeated after that. */
struct EndlessAnswer
{
    std::string name;
    std::string kind;
    std::string beginning;
    std::string repeated;
};

std::ostream &operator<<(std::ostream &stream, const EndlessAnswer &answer)
{
    return stream << answer.name;
}

std::string headOf(const std::string &statusAndFields)
{
    return "HTTP/1.1 " + statusAndFields + "\r\nAttempt-Id: {id}\r\n\r\n";
}

std::string chunkOf(const std::string &bytes)
{
    constexpr std::size_t ChunkBytes = 0x8000;
    return "8000\r\n" + bytes.substr(0, ChunkBytes) + "\r\n";
}

std::vector<EndlessAnswer> endlessAnswers()
{
    const std::string garbage(std::size_t{64} * 1024, 'x');
    const std::string failure = "500 Internal Server Error\r\nResponse-Stamp: signed";
    std::string fields;
    for (int i = 0; i < 10'000; ++i) {
        fields += "a:b\r\n";
    }
    const std::string stream = "200 OK\r\nResponse-Stamp: signed\r\nContent-Type: text/event-stream";
    return {
        {"FailureWithoutFraming", "non_idempotent", headOf(failure), garbage},
        {"FailureInChunks", "non_idempotent", headOf(failure + "\r\nTransfer-Encoding: chunked"), chunkOf(garbage)},
        {"FailureOfManyGigabytes", "non_idempotent", headOf(failure + "\r\nContent-Length: 99999999999"), garbage},
        {"RefusalAsNotRun", "non_idempotent", headOf("503 Unavailable\r\nNot-Executed: full"), garbage},
        {"HeadOfOneField", "non_idempotent", "HTTP/1.1 500 Error\r\nX-Long: ", garbage},
        {"HeadOfManyFields", "non_idempotent", "HTTP/1.1 500 Error\r\n", fields},
        {"InterimAnswers", "non_idempotent", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"SuccessWithoutSignature", "non_idempotent", headOf("200 OK"), garbage},
        {"StreamWithoutAnyEvent", "streaming", headOf(stream), garbage},
        {"StreamOfOneEvent", "streaming", headOf(stream + "\r\nTransfer-Encoding: chunked"), chunkOf("id: 1\ndata: " + garbage)},
    };
}

class EndlessAnswersTest : public UsersPlatformTest
{
protected:
    /** Of the gateway's process, as the settings have it by default. */
    static constexpr std::size_t MemoryBytes = std::size_t{256} << 20U;
    static constexpr int TimeoutMs = 8000;

    ~EndlessAnswersTest() override
    {
        thread_.stop();
    }

    void putEndlessEndpoint(const EndlessAnswer &answer)
    {
        endpoint_.setAnswer(answer.beginning, answer.repeated);
        putEndpoint("endless-1", "endless", endpoint_.address());
        putOpenRoutes({{.service = "endless", .kind = answer.kind, .timeoutMs = TimeoutMs, .maxAttempts = 1},
                       {.service = "orders", .kind = "non_idempotent", .timeoutMs = TimeoutMs, .maxAttempts = 1}});
    }

    int send(const std::string &path) const
    {
        static std::atomic<int> lastId = 0;
        TestRequest call;
        call.method = "POST";
        call.url = "http://" + ip_ + ':' + std::to_string(gateway_->port("callers")) + path;
        call.body = "blue";
        call.headers
            = {{"Host", "shop.example"}, {"Attempt-Id", "e" + std::to_string(++lastId)}, {"Deadline-Ms", std::to_string(TimeoutMs)}};
        call.timeoutMs = TimeoutMs + 1000;
        return sendRequest(call).code;
    }

    /** Waits until requests reach the endless endpoint and the sound one. */
    bool waitUntilEndpointsAreKnown()
    {
        return waitUntil([&] { return send("/orders/1") == 200; }) && waitUntil([&] {
                   send("/endless/1");
                   return endpoint_.requests() > 0;
               });
    }

    EndpointThread thread_;
    EndlessEndpoint endpoint_{thread_.context()};
};

class EndlessAnswerKindsTest : public EndlessAnswersTest, public testing::WithParamInterface<EndlessAnswer>
{
};

// Guards against a caller that waits for its deadline while the gateway collects an answer of which it can't use anything.
TEST_P(EndlessAnswerKindsTest, AnswerHasNoEnd_Request_EndsSoonAsOneThatMayHaveRun)
{
    putEndlessEndpoint(GetParam());
    ASSERT_TRUE(waitUntilEndpointsAreKnown());
    const auto start = Clock::now();
    EXPECT_EQ(send("/endless/1"), BadGateway);
    EXPECT_LT(Clock::now() - start, 2s);
}

// Guards against many such answers, each below its own bound, that exceed the gateway's memory together.
TEST_P(EndlessAnswerKindsTest, ManyAnswersAtOnceHaveNoEnd_GatewayStaysBelowItsMemoryAndServesOthers)
{
    constexpr int Callers = 150;
    putEndlessEndpoint(GetParam());
    ASSERT_TRUE(waitUntilEndpointsAreKnown());
    std::atomic<int> ended = 0;
    std::vector<std::jthread> callers;
    for (int i = 0; i < Callers; ++i) {
        callers.emplace_back([&] {
            const int status = send("/endless/1");
            ended += status == BadGateway || status == Unavailable ? 1 : 0;
        });
    }
    int served = 0;
    constexpr int Orders = 20;
    for (int i = 0; i < Orders; ++i) {
        served += send("/orders/1") == 200 ? 1 : 0;
        std::this_thread::sleep_for(20ms);
    }
    callers.clear();
    EXPECT_TRUE(gateway_->isRunning());
    EXPECT_LT(gateway_->peakResidentBytes(), MemoryBytes);
    EXPECT_EQ(ended, Callers);
    EXPECT_EQ(served, Orders);
}

class LongAnswersTest : public EndlessAnswersTest
{
protected:
    static constexpr std::size_t AnswerBytes = std::size_t{24} << 20U;

    /** Reads the answer with a pause after each MB. @return the number of bytes after the head, or 0 if the answer isn't whole. */
    std::size_t readSlowly() const
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address(ip_), gateway_->port("callers")});
        const std::string request = "POST /long/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a1\r\nDeadline-Ms: "
            + std::to_string(TimeoutMs) + "\r\nContent-Length: 4\r\nConnection: close\r\n\r\nblue";
        asio::write(socket, asio::buffer(request));
        std::string answer;
        std::error_code error;
        while (!error) {
            asio::read(socket, asio::dynamic_buffer(answer), asio::transfer_exactly(std::size_t{1} << 20U), error);
            std::this_thread::sleep_for(20ms);
        }
        const bool isWhole = answer.starts_with("HTTP/1.1 200") && answer.ends_with("0\r\n\r\n");
        return isWhole ? static_cast<std::size_t>(std::count(answer.begin(), answer.end(), 'y')) : 0;
    }

    ScriptedEndpoint sound_{thread_.context()};
};

// Guards against a bound that also breaks off sound answers, which are forwarded as they come and wait for their readers.
TEST_F(LongAnswersTest, SoundAnswerOfManyMegabytes_ReaderIsSlow_GetsAllOfItWhileOtherAnswersHaveNoEnd)
{
    sound_.lastScript = {"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: signed\r\nContent-Length: " + std::to_string(AnswerBytes)
                             + "\r\n\r\n" + std::string(AnswerBytes, 'y'),
                         Script::AfterResponse::Close};
    const EndlessAnswer endless = endlessAnswers().front();
    endpoint_.setAnswer(endless.beginning, endless.repeated);
    putEndpoint("endless-1", "endless", endpoint_.address());
    putEndpoint("long-1", "long", sound_.record().address);
    putOpenRoutes({{.service = "endless", .kind = endless.kind, .timeoutMs = TimeoutMs, .maxAttempts = 1},
                   {.service = "long", .timeoutMs = TimeoutMs, .maxAttempts = 1}});
    ASSERT_TRUE(waitUntil([&] { return readSlowly() > 0; }));
    std::atomic<bool> isOver = false;
    std::vector<std::jthread> callers;
    for (int i = 0; i < 30; ++i) {
        callers.emplace_back([&] {
            while (!isOver) {
                send("/endless/1");
            }
        });
    }
    EXPECT_EQ(readSlowly(), AnswerBytes);
    isOver = true;
    callers.clear();
    EXPECT_LT(gateway_->peakResidentBytes(), MemoryBytes);
}

INSTANTIATE_TEST_SUITE_P(All, EndlessAnswerKindsTest, testing::ValuesIn(endlessAnswers()), [](const auto &test) {
    return test.param.name;
});

}

}
