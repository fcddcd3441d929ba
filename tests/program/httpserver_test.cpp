/**
 * Tests the HTTP server of the product's own interface over a real socket, with requests whose bodies hold another request.
 */
#include "httpserver.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <gtest/gtest.h>

#include <sys/socket.h>

#include <mutex>
#include <string>
#include <vector>

namespace Chestnutcove {

namespace {

using asio::ip::tcp;

class HttpServerTest : public testing::Test
{
protected:
    HttpServerTest()
    {
        EXPECT_TRUE(server_.start().ok());
    }

    /** @return what comes until the server closes or is silent for a while. */
    std::string send(const std::string &bytes)
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), server_.port()));
        const timeval silence{0, 300'000};
        ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &silence, sizeof silence);
        asio::write(socket, asio::buffer(bytes));
        std::string answer(std::size_t{64} * 1024, '\0');
        std::size_t size = 0;
        ssize_t received = 0;
        while ((received = ::recv(socket.native_handle(), answer.data() + size, answer.size() - size, 0)) > 0) {
            size += static_cast<std::size_t>(received);
        }
        answer.resize(size);
        return answer;
    }

    std::vector<std::string> handledPaths()
    {
        const std::lock_guard lock(mutex_);
        return paths_;
    }

    std::mutex mutex_;
    std::vector<std::string> paths_;
    HttpServer server_{HttpServerOptions{},
                       [this](const HttpRequest &request, const HttpReply &reply) {
                           {
                               const std::lock_guard lock(mutex_);
                               paths_.push_back(request.path);
                           }
                           reply.respond(200, {}, "");
                       },
                       [](std::uint64_t) {}};
};

// Guards against UNASKED requests at the product's own interface: the body of a CONNECT request, or of an upgrade, that is run as a
// request.
TEST_F(HttpServerTest, BodyHoldsARequest_ConnectOrUpgrade_OnlyTheOuterRequestIsHandled)
{
    const std::string inner = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    const std::string length = "Content-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner;
    const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n34\r\n" + inner + "\r\n0\r\n\r\n";
    const std::string upgrade = "Connection: upgrade\r\nUpgrade: h2c\r\n";
    for (const std::string &bytes : {"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n" + length,
                                     "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n" + chunks,
                                     "POST /outer HTTP/1.1\r\nHost: h\r\n" + upgrade + length,
                                     "GET /outer HTTP/1.1\r\nHost: h\r\n" + upgrade + length}) {
        const std::string answer = send(bytes);
        EXPECT_TRUE(answer.empty() || answer.find("HTTP/1.1", 1) == std::string::npos) << answer;
        for (const std::string &path : handledPaths()) {
            EXPECT_NE(path, "/inner") << bytes;
        }
    }
}

}

}
