/**
 * Runs the real gateway before an endpoint that answers while a long body is still being written to it, and then resets or closes the
 * connection.
 */
#include "earlyendpoint.h"
#include "endpointthread.h"
#include "usersplatformfixture.h"

#include <asio/read.hpp>
#include <asio/write.hpp>

namespace Chestnutcove {

namespace {

using asio::ip::tcp;

class EarlyAnswersTest : public UsersPlatformTest
{
protected:
    static constexpr std::size_t BodyBytes = std::size_t{4} << 20U;
    static constexpr int Tries = 10;

    ~EarlyAnswersTest() override
    {
        thread_.stop();
    }

    void putEarlyEndpoint(EarlyAnswer answer, const char *kind = "non_idempotent")
    {
        endpoint_.setAnswer(std::move(answer));
        putEndpoint("odd-1", "odd", endpoint_.address());
        putOpenRoutes({{.kind = kind, .timeoutMs = 3000, .maxAttempts = 1}});
        ASSERT_TRUE(waitUntil([&] {
            upload();
            return endpoint_.requests() > 0;
        }));
    }

    /** Sends a request with a long body. @return all bytes that the caller gets until its connection ends. */
    std::string upload()
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect({asio::ip::make_address(ip_), gateway_->port("callers")});
        const std::string head = "POST /odd/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 2500\r\nContent-Length: "
            + std::to_string(BodyBytes) + "\r\nConnection: close\r\n\r\n";
        std::error_code ignored;
        asio::write(socket, asio::buffer(head + std::string(BodyBytes, 'u')), ignored);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), ignored);
        return answer;
    }

    /** A signed answer of that status whose head has these fields in addition. */
    static std::string answer(const std::string &status, const std::string &fields, const std::string &body)
    {
        return "HTTP/1.1 " + status + "\r\nAttempt-Id: a1\r\nResponse-Stamp: signed\r\n" + fields + "\r\n" + body;
    }

    EndpointThread thread_;
    EarlyEndpoint endpoint_{thread_.context()};
};

// Guards against a part of an answer that a caller gets as the whole one, because the reset was reported to the write alone (MIXED).
TEST_F(EarlyAnswersTest, AnswerWithoutALengthIsResetDuringTheUpload_Caller_GetsAFailure)
{
    putEarlyEndpoint({answer("200 OK", "", "a part of"), EarlyAnswer::End::Reset});
    for (int i = 0; i < Tries; ++i) {
        const std::string got = upload();
        EXPECT_TRUE(got.starts_with("HTTP/1.1 502")) << got;
    }
}

TEST_F(EarlyAnswersTest, FailureWithoutALengthIsResetDuringTheUpload_Caller_GetsNoPartOfIt)
{
    putEarlyEndpoint({answer("500 Error", "", "a part of"), EarlyAnswer::End::Reset});
    for (int i = 0; i < Tries; ++i) {
        const std::string got = upload();
        EXPECT_TRUE(got.starts_with("HTTP/1.1 502")) << got;
    }
}

// Guards against the same in a stream: what was sent on must not end like a whole stream.
TEST_F(EarlyAnswersTest, StreamIsResetDuringTheUploadAfterAnEvent_Caller_GetsABrokenStream)
{
    const std::string type = "Content-Type: text/event-stream\r\n";
    putEarlyEndpoint({answer("200 OK", type, "id: 1\ndata: a\n\n"), EarlyAnswer::End::Reset}, "streaming");
    for (int i = 0; i < Tries; ++i) {
        const std::string got = upload();
        EXPECT_FALSE(got.starts_with("HTTP/1.1 200") && got.ends_with("0\r\n\r\n")) << got;
    }
}

TEST_F(EarlyAnswersTest, ChunkedAnswerIsResetDuringTheUpload_Caller_GetsAFailure)
{
    putEarlyEndpoint({answer("200 OK", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n"), EarlyAnswer::End::Reset});
    for (int i = 0; i < Tries; ++i) {
        EXPECT_TRUE(upload().starts_with("HTTP/1.1 502"));
    }
}

// Guards against a whole answer that is lost because its endpoint didn't read the body to its end.
TEST_F(EarlyAnswersTest, WholeAnswerWithALengthAndThenAReset_Caller_GetsTheAnswer)
{
    putEarlyEndpoint({answer("200 OK", "Content-Length: 5\r\n", "whole"), EarlyAnswer::End::Reset});
    for (int i = 0; i < Tries; ++i) {
        const std::string got = upload();
        EXPECT_TRUE(got.starts_with("HTTP/1.1 200") && got.ends_with("whole")) << got;
    }
}

TEST_F(EarlyAnswersTest, AnswerWithoutALengthEndsInOrderDuringTheUpload_Caller_GetsTheAnswer)
{
    putEarlyEndpoint({answer("200 OK", "", "whole"), EarlyAnswer::End::Close});
    for (int i = 0; i < Tries; ++i) {
        const std::string got = upload();
        EXPECT_TRUE(got.starts_with("HTTP/1.1 200") && got.find("whole") != std::string::npos) << got;
    }
}

}

}
