/**
 * Tests the connections to callers and endpoints over real sockets on loopback. They guard against calls that are sent twice, truncated
 * responses that are reported as complete, bytes of one response that reach another call, and callers whose disconnection goes unnoticed.
 */
#include "callerserver.h"
#include "endpointpool.h"
#include "scriptedendpoint.h"
#include "shortcall.h"
#include "suspendclock.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <gtest/gtest.h>

#include <sys/resource.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

constexpr const char *CompleteResponse = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\nhello";

class EndpointCallsTest : public testing::Test
{
protected:
    struct Outcome
    {
        std::optional<CallOutcome> end;
        int status = 0;
        std::string body;
        bool connected = false;
    };

    Outcome call(const std::string &method = "GET")
    {
        auto outcome = std::make_shared<Outcome>();
        const EndpointRecord record = endpoint_.record();
        pool_.acquire(record, 0, [this, outcome, record, method](const auto &connection) {
            if (!connection.ok()) {
                return;
            }
            outcome->connected = true;
            ConnectionCall message;
            message.head = {method, "/", {{"Host", "endpoint"}}};
            message.matchesCall = [](const ResponseHead &head) {
                const HeaderField *id = findField(head.fields, "X-Id");
                return id != nullptr && id->value == "mine";
            };
            message.onHead = [outcome](const ResponseHead &head, std::optional<std::uint64_t>) { outcome->status = head.status; };
            message.onBody = [outcome](std::string_view bytes) { outcome->body += bytes; };
            message.onEnd = [this, outcome, record, connection = *connection](CallOutcome end) {
                outcome->end = end;
                pool_.release(record, connection);
            };
            (*connection)->send(std::move(message));
        });
        context_.restart();
        context_.run_for(150ms);
        return *outcome;
    }

    Outcome callWith(const std::string &response, Script::AfterResponse afterResponse)
    {
        endpoint_.scripts = {{response, afterResponse}};
        return call();
    }

    asio::io_context context_;
    ScriptedEndpoint endpoint_{context_};
    EndpointPool pool_{context_, EndpointPoolOptions{}};
};

TEST_F(EndpointCallsTest, CompleteResponses_TwoCalls_ShareOneConnection)
{
    endpoint_.scripts = {{CompleteResponse, Script::AfterResponse::KeepOpen}, {CompleteResponse, Script::AfterResponse::KeepOpen}};
    EXPECT_EQ(call().end, CallOutcome::Complete);
    const Outcome second = call();
    EXPECT_EQ(second.end, CallOutcome::Complete);
    EXPECT_EQ(second.body, "hello");
    EXPECT_EQ(endpoint_.connections, 1);
}

TEST_F(EndpointCallsTest, ConnectionClosesWithoutResponse_Call_IsNotRetried)
{
    endpoint_.scripts = {{CompleteResponse, Script::AfterResponse::KeepOpen},
                         {"", Script::AfterResponse::Close},
                         {CompleteResponse, Script::AfterResponse::KeepOpen}};
    call();
    EXPECT_EQ(call("POST").end, CallOutcome::NoResponse);
    EXPECT_EQ(endpoint_.requests, 2);
}

TEST_F(EndpointCallsTest, TruncatedResponse_Call_IsNeverComplete)
{
    const std::string whole = CompleteResponse;
    for (std::size_t size = 0; size < whole.size(); size += 7) {
        EXPECT_NE(callWith(whole.substr(0, size), Script::AfterResponse::Close).end, CallOutcome::Complete) << size;
    }
}

TEST_F(EndpointCallsTest, ChunkedResponseWithoutLastChunk_Call_IsBroken)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n";
    EXPECT_EQ(callWith(head + "5\r\nhello\r\n", Script::AfterResponse::Close).end, CallOutcome::Broken);
    EXPECT_EQ(callWith(head + "5\r\nhello\r\n0\r\n\r\n", Script::AfterResponse::KeepOpen).end, CallOutcome::Complete);
}

TEST_F(EndpointCallsTest, ResponseWithoutLength_ConnectionEnds_IsCompleteOnlyAfterOrderlyClose)
{
    const std::string response = "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nhello";
    const Outcome closed = callWith(response, Script::AfterResponse::Close);
    EXPECT_EQ(closed.end, CallOutcome::Complete);
    EXPECT_EQ(closed.body, "hello");
    EXPECT_NE(callWith(response, Script::AfterResponse::Reset).end, CallOutcome::Complete);
}

TEST_F(EndpointCallsTest, InvalidResponseBytes_Call_IsBroken)
{
    EXPECT_EQ(callWith("nonsense nonsense\r\n\r\n", Script::AfterResponse::KeepOpen).end, CallOutcome::Broken);
}

TEST_F(EndpointCallsTest, LateResponseToAnotherRequest_Call_GetsItsOwnResponse)
{
    const std::string other = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong";
    const Outcome outcome = callWith(other + CompleteResponse, Script::AfterResponse::KeepOpen);
    EXPECT_EQ(outcome.end, CallOutcome::Complete);
    EXPECT_EQ(outcome.body, "hello");
}

TEST_F(EndpointCallsTest, InterimResponse_Call_GetsTheFinalResponse)
{
    EXPECT_EQ(callWith(std::string("HTTP/1.1 100 Continue\r\n\r\n") + CompleteResponse, Script::AfterResponse::KeepOpen).status, 200);
}

// Guards against heads without end that are kept, on as many connections as the endpoint has.
TEST_F(EndpointCallsTest, ResponseHeadHasNoEnd_Call_IsBroken)
{
    const std::string manyBytes = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nX-Long: " + std::string(200'000, 'x');
    EXPECT_EQ(callWith(manyBytes, Script::AfterResponse::KeepOpen).end, CallOutcome::Broken);
    std::string manyFields = "HTTP/1.1 200 OK\r\nX-Id: mine\r\n";
    for (int i = 0; i < 2000; ++i) {
        manyFields += "a:b\r\n";
    }
    EXPECT_EQ(callWith(manyFields, Script::AfterResponse::KeepOpen).end, CallOutcome::Broken);
}

// Guards against a call that never ends, since an interim response follows the other.
TEST_F(EndpointCallsTest, InterimResponsesHaveNoEnd_Call_IsBroken)
{
    std::string responses;
    for (int i = 0; i < 2000; ++i) {
        responses += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    EXPECT_EQ(callWith(responses, Script::AfterResponse::KeepOpen).end, CallOutcome::Broken);
}

// Guards against bytes of another protocol that are read as the response.
TEST_F(EndpointCallsTest, EndpointSwitchesProtocols_Call_IsBroken)
{
    const std::string switched = "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n";
    EXPECT_EQ(callWith(switched + CompleteResponse, Script::AfterResponse::KeepOpen).end, CallOutcome::Broken);
}

// Guards against a wait for a body that a response doesn't have, whatever length it states (RFC 9112, 6.3).
TEST_F(EndpointCallsTest, ResponseWithoutBodyStatesALength_Call_IsCompleteAtOnce)
{
    const std::string head = "HTTP/1.1 304 Not Modified\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\n";
    EXPECT_EQ(callWith(head, Script::AfterResponse::KeepOpen).end, CallOutcome::Complete);
}

// Guards against bytes after such a response that are taken for its body.
TEST_F(EndpointCallsTest, BytesFollowResponseWithoutBody_NextCall_UsesNewConnection)
{
    const std::vector<std::string> heads{"HTTP/1.1 204 No Content\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\n",
                                         "HTTP/1.1 304 Not Modified\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\n"};
    for (const std::string &head : heads) {
        endpoint_.connections = 0;
        endpoint_.scripts = {{head + "hello", Script::AfterResponse::KeepOpen}, {CompleteResponse, Script::AfterResponse::Close}};
        const Outcome first = call();
        EXPECT_EQ(first.end, CallOutcome::Complete);
        EXPECT_EQ(first.body, "");
        EXPECT_EQ(call().body, "hello");
        EXPECT_EQ(endpoint_.connections, 2);
    }
}

TEST_F(EndpointCallsTest, ExtraBytesAfterResponse_NextCall_UsesNewConnection)
{
    endpoint_.scripts = {{std::string(CompleteResponse) + CompleteResponse, Script::AfterResponse::KeepOpen},
                         {CompleteResponse, Script::AfterResponse::KeepOpen}};
    EXPECT_EQ(call().end, CallOutcome::Complete);
    EXPECT_EQ(call().end, CallOutcome::Complete);
    EXPECT_EQ(endpoint_.connections, 2);
}

TEST_F(EndpointCallsTest, EndpointAnnouncesClose_NextCall_UsesNewConnection)
{
    const std::string closing = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello";
    endpoint_.scripts = {{closing, Script::AfterResponse::KeepOpen}, {CompleteResponse, Script::AfterResponse::KeepOpen}};
    call();
    EXPECT_EQ(call().end, CallOutcome::Complete);
    EXPECT_EQ(endpoint_.connections, 2);
}

TEST_F(EndpointCallsTest, NoListener_Call_IsNotSent)
{
    EndpointRecord record;
    record.id = "nobody";
    record.address = {"127.0.0.1", 1};
    absl::Status status;
    pool_.acquire(record, 0, [&status](const auto &connection) { status = connection.status(); });
    context_.run_for(150ms);
    EXPECT_TRUE(absl::IsUnavailable(status));
}

// Guards against an endpoint that counts as ended because nobody answers: a cut between it and the gateway looks the same.
TEST_F(EndpointCallsTest, NobodyAnswersTheConnection_Call_IsNotSentAndTheAddressDoesNotCountAsRefusing)
{
    asio::ip::tcp::acceptor full(context_, asio::ip::tcp::v4());
    full.bind({asio::ip::address_v4::loopback(), 0});
    full.listen(0);
    std::vector<asio::ip::tcp::socket> waiting;
    for (int i = 0; i < 4; ++i) {
        waiting.emplace_back(context_).async_connect(full.local_endpoint(), [](const std::error_code &) {});
    }
    context_.run_for(50ms);
    EndpointRecord record;
    record.id = "silent";
    record.address = {"127.0.0.1", full.local_endpoint().port()};
    absl::Status status;
    pool_.acquire(record, 0, [&status](const auto &connection) { status = connection.status(); });
    context_.run_for(600ms);
    EXPECT_TRUE(absl::IsDeadlineExceeded(status)) << status;
}

TEST_F(EndpointCallsTest, ConnectionLimitReached_FurtherCall_IsRefusedImmediately)
{
    absl::Status status;
    pool_.acquire(endpoint_.record(), 1, [](const auto &) {});
    pool_.acquire(endpoint_.record(), 1, [&status](const auto &connection) { status = connection.status(); });
    EXPECT_TRUE(absl::IsResourceExhausted(status));
    context_.run_for(50ms);
}

class ShortCallTest : public EndpointCallsTest
{
protected:
    struct Answer
    {
        std::optional<int> status;
        std::string body;
    };

    Answer callWith(const Script &script, std::chrono::milliseconds wait = 150ms)
    {
        endpoint_.scripts = {script};
        const auto answer = std::make_shared<Answer>();
        const EndpointRecord record = endpoint_.record();
        pool_.acquire(record, 0, [this, answer, record](const auto &connection) {
            ShortCall::send(pool_, record, *connection, {"POST", "/order", {}}, "{}", [answer](int status, const std::string &body) {
                answer->status = status;
                answer->body = body;
            });
        });
        context_.restart();
        context_.run_for(wait);
        return *answer;
    }
};

TEST_F(ShortCallTest, CompleteResponse_Call_GetsItAndConnectionIsUsedAgain)
{
    const Answer answer = callWith({CompleteResponse});
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "hello");
    EXPECT_EQ(callWith({CompleteResponse}).status, 200);
    EXPECT_EQ(endpoint_.connections, 1);
}

// Guards against an engine's answer to an order or a report that is kept without bound.
TEST_F(ShortCallTest, ResponseHasNoEnd_Call_EndsWithoutResponse)
{
    const Answer answer = callWith({"HTTP/1.1 200 OK\r\n\r\n" + std::string(4 * ShortCall::MaxResponseBytes, 'x')});
    EXPECT_EQ(answer.status, 0);
    EXPECT_LE(answer.body.size(), 2 * ShortCall::MaxResponseBytes);
}

// Guards against an order, or the release of a held prompt, that waits for its answer for good and keeps its connection.
TEST_F(ShortCallTest, NoResponseOrOneByteNowAndThen_Call_EndsAfterItsTimeout)
{
    EXPECT_EQ(callWith({""}, ShortCall::ResponseTimeout + 200ms).status, 0);
    EXPECT_EQ(callWith({"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel"}, ShortCall::ResponseTimeout + 200ms).status, 0);
}

class CallerServerTest : public testing::Test
{
protected:
    CallerServerTest()
    {
        client_.connect(tcp::endpoint(asio::ip::address_v4::loopback(), server_.port()));
        client_.non_blocking(true);
    }

    void send(const std::string &bytes)
    {
        asio::write(client_, asio::buffer(bytes));
        run();
    }

    void run()
    {
        context_.restart();
        context_.run_for(60ms);
        std::array<char, 4096> buffer{};
        std::error_code error;
        std::size_t size = 0;
        while ((size = client_.read_some(asio::buffer(buffer), error)) > 0) {
            received_.append(buffer.data(), size);
        }
        ended_ = ended_ || error == asio::error::eof;
    }

    CallerLimits limits_{200, 100, Milliseconds(100), Milliseconds(300)};
    asio::io_context context_;
    std::vector<std::shared_ptr<CallerExchange>> exchanges_;
    CallerServer server_{context_,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0),
                         [this] { return limits_; },
                         [this](const auto &exchange) { exchanges_.push_back(exchange); }};
    tcp::socket client_{context_};
    std::string received_;
    bool ended_ = false;
};

/** Takes all descriptors that the process may still open, for as long as it lives. */
class NoFreeDescriptors
{
public:
    NoFreeDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const int lowestFree = dup(STDIN_FILENO);
        close(lowestFree);
        rlimit none = before_;
        none.rlim_cur = static_cast<rlim_t>(lowestFree);
        setrlimit(RLIMIT_NOFILE, &none);
    }

    ~NoFreeDescriptors()
    {
        setrlimit(RLIMIT_NOFILE, &before_);
    }

private:
    rlimit before_{};
};

// Guards against an event loop that does nothing but try to accept a connection for which there is no descriptor.
TEST_F(CallerServerTest, NoDescriptorIsFree_WaitingConnection_IsTriedNowAndThenAndAcceptedLater)
{
    run();
    tcp::socket second(context_);
    second.connect(tcp::endpoint(asio::ip::address_v4::loopback(), server_.port()));
    context_.restart();
    {
        const NoFreeDescriptors none;
        EXPECT_LT(context_.run_for(300ms), 20U);
    }
    context_.run_for(300ms);
    EXPECT_EQ(2U, server_.openConnectionCount());
}

TEST_F(CallerServerTest, RequestWithBody_Arrives_IsDispatchedCompleteAndAnswered)
{
    send("POST /a?b=1 HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nContent-Length: 5\r\n\r\nhel");
    EXPECT_TRUE(exchanges_.empty());
    send("lo");
    ASSERT_EQ(exchanges_.size(), 1U);
    EXPECT_EQ(exchanges_[0]->head().target, "/a?b=1");
    EXPECT_EQ(exchanges_[0]->body(), "hello");
    exchanges_[0]->sendResponse({200, "OK", {{"X-Two", "2"}}}, "bye");
    run();
    EXPECT_EQ(received_, "HTTP/1.1 200 OK\r\nX-Two: 2\r\nContent-Length: 3\r\n\r\nbye");
    EXPECT_FALSE(ended_);
}

TEST_F(CallerServerTest, PipelinedRequest_Arrives_IsDispatchedAfterFirstResponse)
{
    send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_EQ(exchanges_.size(), 1U);
    exchanges_[0]->sendResponse({200, "OK", {}}, "");
    run();
    ASSERT_EQ(exchanges_.size(), 2U);
    EXPECT_EQ(exchanges_[1]->head().target, "/2");
}

TEST_F(CallerServerTest, CallerDisconnects_ResponsePending_HandlerIsCalled)
{
    send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    bool gone = false;
    exchanges_.at(0)->onCallerGone([&gone] { gone = true; });
    client_.close();
    context_.restart();
    context_.run_for(50ms);
    EXPECT_TRUE(gone);
    EXPECT_FALSE(exchanges_[0]->isOpen());
}

// Guards against requests of callers that had left being handed on, since the request is read before the end behind it.
TEST_F(CallerServerTest, CallerLeavesBeforeItsRequestIsRead_RequestIsNotDispatched)
{
    run();
    asio::write(client_, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    client_.close();
    context_.restart();
    context_.run_for(50ms);
    EXPECT_TRUE(exchanges_.empty());
    EXPECT_EQ(server_.openConnectionCount(), 0U);
}

// Guards against new connections that wait for a turn of the event loop each while the loop has other work.
TEST_F(CallerServerTest, NewConnectionsArrive_LoopIsBusy_AllAreServedWithinAFewTurns)
{
    constexpr std::size_t Connections = 100;
    std::vector<tcp::socket> callers;
    for (std::size_t i = 0; i < Connections; ++i) {
        callers.emplace_back(context_);
        callers.back().connect(tcp::endpoint(asio::ip::address_v4::loopback(), server_.port()));
        asio::write(callers.back(), asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    }
    constexpr int Turns = 10;
    int turns = 0;
    std::function<void()> work = [&] {
        std::this_thread::sleep_for(1ms);
        if (++turns < Turns) {
            asio::post(context_, work);
        }
    };
    asio::post(context_, work);
    context_.restart();
    while (turns < Turns) {
        context_.run_one();
    }
    EXPECT_EQ(exchanges_.size(), Connections);
}

TEST_F(CallerServerTest, StreamAborted_Caller_ReceivesNoCompleteResponse)
{
    send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    exchanges_.at(0)->beginResponse({200, "OK", {}}, std::nullopt);
    exchanges_[0]->sendBody("data: 1\n\n");
    run();
    exchanges_[0]->abort();
    run();
    EXPECT_NE(received_.find("data: 1"), std::string::npos);
    EXPECT_EQ(received_.find("0\r\n\r\n"), std::string::npos);
}

TEST_F(CallerServerTest, StreamEnds_Caller_GetsLastChunkAndKeepsConnection)
{
    send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    exchanges_.at(0)->beginResponse({200, "OK", {}}, std::nullopt);
    exchanges_[0]->sendBody("0123456789abcdef");
    exchanges_[0]->endResponse();
    run();
    EXPECT_NE(received_.find("\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n"), std::string::npos);
    EXPECT_FALSE(ended_);
}

TEST_F(CallerServerTest, LengthAndChunkedBothStated_Request_IsRefused)
{
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    EXPECT_TRUE(exchanges_.empty());
    EXPECT_TRUE(received_.starts_with("HTTP/1.1 400"));
    EXPECT_TRUE(ended_);
}

TEST_F(CallerServerTest, HeadTooLarge_Request_IsRefused)
{
    send("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(300, 'x'));
    EXPECT_TRUE(received_.starts_with("HTTP/1.1 431"));
}

// Guards against a limit that holds only for heads which arrive in several pieces.
TEST_F(CallerServerTest, HeadTooLargeArrivesAtOnceAndWhole_Request_IsRefused)
{
    send("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(300, 'x') + "\r\n\r\n");
    EXPECT_TRUE(exchanges_.empty());
    EXPECT_TRUE(received_.starts_with("HTTP/1.1 431")) << received_;
}

// Guards against heads of many short fields, which take more memory than their bytes.
TEST_F(CallerServerTest, HeadHasTooManyFields_Request_IsRefused)
{
    limits_.headerBytes = 16384;
    std::string head = "GET / HTTP/1.1\r\nHost: h\r\n";
    for (int i = 0; i < 2000; ++i) {
        head += "a:b\r\n";
    }
    send(head);
    EXPECT_TRUE(received_.starts_with("HTTP/1.1 431")) << received_;
    EXPECT_TRUE(ended_);
}

// Guards against memory, or an exception, for a length that is only stated.
TEST_F(CallerServerTest, LengthBeyondAllMemoryIsStatedAndNothingBoundsIt_Request_IsReadOn)
{
    limits_.bodyBytes = 0;
    EXPECT_NO_THROW(send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000000000000000\r\n\r\nx"));
    EXPECT_TRUE(exchanges_.empty());
    EXPECT_FALSE(ended_);
}

/** All bodies together have a bound below that of two of the largest. */
class KeptBodiesTest : public CallerServerTest
{
protected:
    static constexpr std::size_t MaxBodyBytes = 150;

    void sendFrom(tcp::socket &caller, const std::string &bytes)
    {
        asio::write(caller, asio::buffer(bytes));
        context_.restart();
        context_.run_for(20ms);
    }

    static std::string headOf(std::size_t length)
    {
        return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
    }

    tcp::socket callerOf(const CallerServer &server)
    {
        tcp::socket caller(context_);
        caller.connect(tcp::endpoint(asio::ip::address_v4::loopback(), server.port()));
        return caller;
    }

    CallerServer boundedServer_{context_,
                                tcp::endpoint(asio::ip::address_v4::loopback(), 0),
                                [this] { return limits_; },
                                [this](const auto &exchange) { exchanges_.push_back(exchange); },
                                MaxBodyBytes};
};

// Guards against bodies, each below its bound, that exceed the process's memory together.
TEST_F(KeptBodiesTest, BodyWouldExceedTheBoundOfAll_Request_IsToBeRefusedBeforeItsBodyArrives)
{
    tcp::socket first = callerOf(boundedServer_);
    tcp::socket second = callerOf(boundedServer_);
    sendFrom(first, headOf(90) + std::string(90, 'x'));
    sendFrom(second, headOf(90));
    ASSERT_EQ(exchanges_.size(), 2U);
    EXPECT_FALSE(exchanges_[0]->isBodyGivenUp());
    EXPECT_TRUE(exchanges_[1]->isBodyGivenUp());
    exchanges_[1]->sendResponse({503, "Unavailable", {}}, "");
    sendFrom(second, std::string(90, 'x'));
    EXPECT_EQ(exchanges_.size(), 2U) << "the body isn't another request";
    exchanges_[0]->sendResponse({200, "OK", {}}, "");
    exchanges_.clear();
    EXPECT_EQ(boundedServer_.keptBodyBytes(), 0U);
}

TEST_F(KeptBodiesTest, ArrivingBodiesExceedTheBoundOfAll_LargestThatIsStillRead_IsGivenUp)
{
    tcp::socket passedOn = callerOf(boundedServer_);
    tcp::socket larger = callerOf(boundedServer_);
    tcp::socket smaller = callerOf(boundedServer_);
    sendFrom(larger, headOf(60) + std::string(40, 'x'));
    sendFrom(smaller, headOf(60) + std::string(10, 'x'));
    sendFrom(passedOn, headOf(60) + std::string(60, 'x'));
    sendFrom(smaller, std::string(20, 'x'));
    ASSERT_EQ(exchanges_.size(), 1U);
    sendFrom(larger, std::string(19, 'x'));
    sendFrom(smaller, std::string(5, 'x'));
    ASSERT_EQ(exchanges_.size(), 2U);
    EXPECT_FALSE(exchanges_[0]->isBodyGivenUp());
    EXPECT_TRUE(exchanges_[1]->isBodyGivenUp());
    sendFrom(smaller, std::string(25, 'x'));
    ASSERT_EQ(exchanges_.size(), 3U);
    EXPECT_FALSE(exchanges_[2]->isBodyGivenUp());
    EXPECT_EQ(exchanges_[2]->body().size(), 60U);
}

TEST_F(CallerServerTest, BodyTooLarge_Request_IsRefusedBeforeBodyArrives)
{
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n");
    EXPECT_TRUE(received_.starts_with("HTTP/1.1 413"));
}

TEST_F(CallerServerTest, IncompleteHead_TimeoutPasses_RequestIsRefused)
{
    send("GET / HTTP/1.1\r\nHos");
    context_.restart();
    context_.run_for(150ms);
    server_.closeExpiredConnections(std::chrono::steady_clock::now() + 10s);
    run();
    EXPECT_TRUE(received_.starts_with("HTTP/1.1 408"));
}

TEST_F(CallerServerTest, CloseAnnounced_NextResponse_ClosesConnection)
{
    send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    server_.announceClose();
    exchanges_.at(0)->sendResponse({200, "OK", {}}, "");
    run();
    EXPECT_NE(received_.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(ended_);
}

class ClosingConnectionTest : public CallerServerTest
{
protected:
    static constexpr std::size_t ResponseBytes = std::size_t{16} << 20U;

    ClosingConnectionTest()
    {
        server_.announceClose();
        send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        exchanges_.at(0)->sendResponse({200, "OK", {}}, std::string(ResponseBytes, 'x'));
    }

    /** Reads up to this many bytes, and then lets the server look at its connections, after some more time. */
    void readSome(std::size_t bytes)
    {
        std::string buffer(bytes, '\0');
        std::error_code error;
        readBytes_ += client_.read_some(asio::buffer(buffer), error);
        hasEnded_ = error == asio::error::eof;
        context_.restart();
        context_.run_for(2ms);
        now_ += 2500ms;
        server_.closeExpiredConnections(now_);
    }

    TimePoint now_ = suspendAwareNow();
    std::size_t readBytes_ = 0;
    bool hasEnded_ = false;
};

// Guards against LOST: a planned stop that cuts the answer of a slow reader two seconds after the gateway has it.
TEST_F(ClosingConnectionTest, ReaderIsSlow_GetsItsWholeResponse)
{
    for (int i = 0; i < 200 && !hasEnded_; ++i) {
        readSome(std::size_t{1} << 20U);
    }
    EXPECT_GT(readBytes_, ResponseBytes);
}

TEST_F(ClosingConnectionTest, ReaderStandsStill_ConnectionIsClosedAfterAWhile)
{
    for (int i = 0; i < 4; ++i) {
        readSome(0);
    }
    EXPECT_EQ(server_.openConnectionCount(), 0U);
}

TEST_F(CallerServerTest, IdleConnection_CloseIdleConnections_ClosesGracefully)
{
    run();
    server_.closeIdleConnections();
    run();
    EXPECT_TRUE(ended_);
    EXPECT_TRUE(received_.empty());
}

}

}
