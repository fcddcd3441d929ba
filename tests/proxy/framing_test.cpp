/**
 * Tests where the gateway takes the end of a message to be (RFC 9112, section 6), over real sockets. They guard against a body whose bytes
 * are read as another request (request smuggling), and against responses that switch to another protocol.
 */
#include "callerserver.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

/** What stands where a body is due. */
constexpr const char *InnerRequest = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

struct FramedRequest
{
    std::string name;
    std::string bytes;
    /** The body with which it is passed on as exactly one request; nothing if it is refused. */
    std::optional<std::string> passedBody;
};

std::ostream &operator<<(std::ostream &stream, const FramedRequest &request)
{
    return stream << request.name;
}

std::string withBody(const std::string &startLine, const std::string &fields)
{
    return startLine + "\r\nHost: h\r\n" + fields + "\r\n" + InnerRequest;
}

std::vector<FramedRequest> framedRequests()
{
    const std::string inner = InnerRequest;
    const std::string length = "Content-Length: " + std::to_string(inner.size()) + "\r\n";
    const std::string post = "POST / HTTP/1.1";
    const std::string chunks = "34\r\n" + inner + "\r\n0\r\n\r\n";
    const std::string chunkedHead = post + "\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    EXPECT_EQ(inner.size(), 0x34U);
    return {
        {"Length", withBody(post, length), inner},
        {"Chunks", chunkedHead + chunks, inner},
        {"ChunksWithTrailer", chunkedHead + "34\r\n" + inner + "\r\n0\r\nHost: other\r\n\r\n", inner},
        {"ChunksWithExtension", chunkedHead + "34;a=b\r\n" + inner + "\r\n0\r\n\r\n", inner},
        {"UpgradeWithLength", withBody(post, "Connection: upgrade\r\nUpgrade: h2c\r\n" + length), inner},
        {"BareLineFeeds", "POST / HTTP/1.1\nHost: h\n" + length + "\r\n" + inner, inner},
        {"OldVersionWithLength", withBody("POST / HTTP/1.0", length), inner},
        {"ConnectWithLength", withBody("CONNECT h:80 HTTP/1.1", length), std::nullopt},
        {"ConnectWithChunks", "CONNECT h:80 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, std::nullopt},
        {"ConnectWithoutBody", withBody("CONNECT h:80 HTTP/1.1", ""), std::nullopt},
        {"OtherMethod", withBody("TRACE / HTTP/1.1", length), std::nullopt},
        {"UnknownMethod", withBody("BREW / HTTP/1.1", length), std::nullopt},
        {"BothFramings", withBody(post, length + "Transfer-Encoding: chunked\r\n"), std::nullopt},
        {"BothFramingsOtherOrder", withBody(post, "Transfer-Encoding: chunked\r\n" + length), std::nullopt},
        {"EqualLengths", withBody(post, length + length), std::nullopt},
        {"DifferentLengths", withBody(post, length + "Content-Length: 1\r\n"), std::nullopt},
        {"ChunkedNotLast", withBody(post, "Transfer-Encoding: chunked, gzip\r\n"), std::nullopt},
        {"OtherEncoding", withBody(post, "Transfer-Encoding: gzip\r\n"), std::nullopt},
        {"SpaceBeforeColonOfLength", withBody(post, "Content-Length : " + std::to_string(inner.size()) + "\r\n"), std::nullopt},
        {"SpaceBeforeColonOfEncoding", withBody(post, "Transfer-Encoding : chunked\r\n"), std::nullopt},
        {"SpaceBeforeColonOfOther", withBody(post, length + "Tenant : x\r\n"), std::nullopt},
        {"FoldedLength", withBody(post, "Content-Length:\r\n " + std::to_string(inner.size()) + "\r\n"), inner},
        {"FoldedEncoding", withBody(post, "Transfer-Encoding:\r\n chunked\r\n"), std::nullopt},
        {"FoldedOther", withBody(post, length + "X-Long: a\r\n b\r\n"), inner},
        {"SignedLength", withBody(post, "Content-Length: +" + std::to_string(inner.size()) + "\r\n"), std::nullopt},
        {"NegativeLength", withBody(post, "Content-Length: -1\r\n"), std::nullopt},
        {"LengthTooLarge", withBody(post, "Content-Length: 99999999999999999999999\r\n"), std::nullopt},
        {"ListOfLengths", withBody(post, "Content-Length: 1, 1\r\n"), std::nullopt},
        {"ChunkSizeTooLarge", chunkedHead + "fffffffffffffffff\r\n" + inner, std::nullopt},
        {"OldVersionWithChunks", "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, inner},
    };
}

class RequestFramingTest : public testing::TestWithParam<FramedRequest>
{
protected:
    void run()
    {
        context_.restart();
        context_.run_for(40ms);
        std::array<char, 4096> buffer{};
        std::error_code error;
        while (const std::size_t size = client_.read_some(asio::buffer(buffer), error)) {
            received_.append(buffer.data(), size);
        }
        ended_ = ended_ || error == asio::error::eof;
    }

    asio::io_context context_;
    std::vector<std::shared_ptr<CallerExchange>> exchanges_;
    CallerServer server_{context_,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0),
                         [] { return CallerLimits{}; },
                         [this](const auto &exchange) { exchanges_.push_back(exchange); }};
    tcp::socket client_{context_};
    std::string received_;
    bool ended_ = false;
};

// Guards against UNASKED requests: bytes of a body that are run as a request, also with a method that the gateway doesn't serve.
TEST_P(RequestFramingTest, BodyHoldsARequest_OuterRequest_IsPassedOnWithItOrRefusedWithTheConnectionClosed)
{
    client_.connect(tcp::endpoint(asio::ip::address_v4::loopback(), server_.port()));
    client_.non_blocking(true);
    asio::write(client_, asio::buffer(GetParam().bytes));
    run();
    if (GetParam().passedBody) {
        ASSERT_EQ(exchanges_.size(), 1U) << received_;
        EXPECT_EQ(exchanges_[0]->body(), *GetParam().passedBody);
        for (const HeaderField &field : exchanges_[0]->head().fields) {
            EXPECT_EQ((field.name + field.value).find_first_of("\r\n"), std::string::npos) << field.name;
        }
        exchanges_[0]->sendResponse({200, "OK", {}}, "");
        run();
        EXPECT_EQ(exchanges_.size(), 1U);
        return;
    }
    EXPECT_TRUE(exchanges_.empty());
    EXPECT_TRUE(received_.starts_with("HTTP/1.1 4") || received_.starts_with("HTTP/1.1 501")) << received_;
    EXPECT_EQ(received_.find("HTTP/1.1", 1), std::string::npos) << received_;
    EXPECT_TRUE(ended_);
}

INSTANTIATE_TEST_SUITE_P(All, RequestFramingTest, testing::ValuesIn(framedRequests()), [](const auto &test) { return test.param.name; });

}

}
