/**
 * Tests the calls to endpoints over real sockets on loopback. They guard against calls that are sent twice, truncated responses that are
 * reported as complete, and bytes of one response that reach another call.
 */
#include "endpointpool.h"
#include "scriptedendpoint.h"
#include "shortcall.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

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

// Guards against an answer with a status that doesn't exist, which a caller would get as one (MIXED).
TEST_F(EndpointCallsTest, StatusIsNone_Call_GetsNoAnswer)
{
    for (const char *status : {"000", "000 OK", "099 Low", "20", "2000 Long", "-10 Odd"}) {
        for (const char *framing : {"\r\n\r\n", "\r\nContent-Length: 4\r\n\r\n"}) {
            const auto answer = callWith(std::string("HTTP/1.1 ") + status + framing + "done", Script::AfterResponse::Close);
            EXPECT_NE(answer.end, CallOutcome::Complete) << status << framing;
            EXPECT_EQ(answer.status, 0) << status << framing;
        }
    }
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

}

}
