/**
 * Runs the real gateway before endpoints that answer wrongly: an earlier refusal once more, or an error after a stream has begun.
 */
#include "endpointthread.h"
#include "scriptedendpoint.h"
#include "usersplatformfixture.h"

#include <asio/read.hpp>

namespace Chestnutcove {

namespace {

using asio::ip::tcp;

class OddAnswersTest : public UsersPlatformTest
{
protected:
    ~OddAnswersTest() override
    {
        thread_.stop();
    }

    /** An open route of this kind, whose requests may go to two endpoints. */
    void putRoute(const char *kind, bool resumable, const std::vector<const ScriptedEndpoint *> &endpoints)
    {
        int number = 0;
        for (const ScriptedEndpoint *endpoint : endpoints) {
            putEndpoint("odd-" + std::to_string(++number), "odd", endpoint->record().address);
        }
        putOpenRoutes({{.kind = kind, .isResumable = resumable}});
    }

    /** @return all bytes that the caller gets until its connection ends. */
    std::string send(const std::string &id)
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect({asio::ip::make_address(ip_), gateway_->port("callers")});
        const std::string request = "POST /odd/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id
            + "\r\nDeadline-Ms: 1200\r\nContent-Length: 4\r\nConnection: close\r\n\r\nblue";
        asio::write(socket, asio::buffer(request));
        std::string answer;
        std::error_code ignored;
        asio::read(socket, asio::dynamic_buffer(answer), ignored);
        return answer;
    }

    static std::string success(const std::string &id)
    {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Stamp: signed\r\nContent-Length: 4\r\n\r\ndone";
    }

    EndpointThread thread_;
    ScriptedEndpoint first_{thread_.context()};
    ScriptedEndpoint second_{thread_.context()};
};

constexpr const char *Refusal = "HTTP/1.1 503 Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

// Guards against "not run" for a request that an endpoint runs: its earlier refusal, without an id, stands before the answer.
TEST_F(OddAnswersTest, EarlierRefusalComesOnceMoreOnAKeptConnection_NextRequest_GetsItsOwnAnswer)
{
    first_.scripts
        = {{success("warm"), Script::AfterResponse::KeepOpen}, {std::string(Refusal) + success("a2"), Script::AfterResponse::KeepOpen}};
    putRoute("non_idempotent", false, {&first_});
    ASSERT_TRUE(waitUntil([&] { return send("warm").starts_with("HTTP/1.1 200"); }));
    const std::string answer = send("a2");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
    EXPECT_TRUE(answer.ends_with("done")) << answer;
    EXPECT_EQ(first_.connections, 1);
}

TEST_F(OddAnswersTest, RefusalWithoutIdOnANewConnection_Request_IsRefusedAsNotRun)
{
    // Without its announcement the end of the connection could come after the next request.
    first_.lastScript
        = {"HTTP/1.1 503 Unavailable\r\nNot-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", Script::AfterResponse::Close};
    putRoute("non_idempotent", false, {&first_});
    ASSERT_TRUE(waitUntil([&] {
        send("a1");
        return first_.requests > 0;
    }));
    const int before = first_.connections;
    const std::string answer = send("a2");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_GT(first_.connections, before);
}

// Guards against an error's text, or the end of a complete answer, inside a stream that has begun.
TEST_F(OddAnswersTest, StreamBreaksOffAndNextEndpointAnswersWithAnError_Caller_GetsABrokenStreamAndNothingElse)
{
    const std::string head
        = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: signed\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
          "chunked\r\n\r\n";
    const std::string event = "f\r\nid: 1\ndata: a\n\n\r\n";
    const std::string error = "HTTP/1.1 500 Error\r\nAttempt-Id: a1\r\nResponse-Stamp: signed\r\nContent-Length: 7\r\n\r\ntrouble";
    for (const std::string &begun : {head + event, head + event + "4\r\nid: ", "HTTP/1.1 102 Processing\r\n\r\n" + head + event}) {
        for (ScriptedEndpoint *endpoint : {&first_, &second_}) {
            endpoint->scripts = {{begun, Script::AfterResponse::Close}};
            endpoint->lastScript = {error, Script::AfterResponse::KeepOpen};
        }
        putRoute("streaming", true, {&first_, &second_});
        std::string answer;
        ASSERT_TRUE(waitUntil([&] {
            answer = send("a1");
            return answer.starts_with("HTTP/1.1 200");
        }));
        EXPECT_NE(answer.find("data: a"), std::string::npos) << answer;
        EXPECT_EQ(answer.find("trouble"), std::string::npos) << answer;
        EXPECT_EQ(answer.find("500"), std::string::npos) << answer;
        EXPECT_FALSE(answer.ends_with("0\r\n\r\n")) << answer;
    }
}

// Guards against the same between the head of a stream and its first event: nothing has gone to the caller yet.
TEST_F(OddAnswersTest, StreamBreaksOffBeforeItsFirstEvent_NextEndpointAnswersWithAnError_CallerGetsOneWholeAnswer)
{
    const std::string head
        = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: signed\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
          "chunked\r\n\r\n4\r\nid: \r\n";
    for (ScriptedEndpoint *endpoint : {&first_, &second_}) {
        endpoint->lastScript = {head, Script::AfterResponse::Close};
    }
    putRoute("streaming", true, {&first_, &second_});
    ASSERT_TRUE(waitUntil([&] {
        send("a1");
        return first_.requests + second_.requests > 0;
    }));
    const std::string answer = send("a1");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 50")) << answer;
    EXPECT_EQ(answer.find("id: "), std::string::npos) << answer;
    EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << answer;
}

}

}
