/**
 * Tests how a connection shares the event loop with others.
 */
#include "bufferedsocket.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class BufferedSocketTest : public testing::Test
{
protected:
    static constexpr int ReceiveBufferBytes = 1 << 20;

    BufferedSocketTest()
    {
        acceptor_.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
        peer_.connect(acceptor_.local_endpoint());
        socket_ = std::make_shared<BufferedSocket>(acceptor_.accept(), 5s);
    }

    ~BufferedSocketTest() override
    {
        socket_->close();
        context_.poll();
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_{context_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    asio::ip::tcp::socket peer_{context_};
    std::shared_ptr<BufferedSocket> socket_;
};

// Guards against connections that each read all that has come before any other work, which makes the event loop late where many do.
TEST_F(BufferedSocketTest, ManyBytesHaveArrived_OtherWorkIsReady_ItIsDoneAfterOneReadBuffer)
{
    constexpr std::size_t SentBytes = std::size_t{192} << 10U;
    constexpr std::size_t ReadBufferBytes = std::size_t{64} << 10U;
    asio::write(peer_, asio::buffer(std::string(SentBytes, 'x')));
    std::size_t received = 0;
    std::size_t receivedBeforeOtherWork = 0;
    BufferedSocket::Handlers handlers;
    handlers.onBytes = [&](std::string_view bytes) {
        if (received == 0) {
            asio::post(context_, [&] { receivedBeforeOtherWork = received; });
        }
        received += bytes.size();
    };
    handlers.onDisconnected = [](DisconnectReason) {};
    socket_->start(std::move(handlers));
    const auto end = std::chrono::steady_clock::now() + 5s;
    while ((received < SentBytes || receivedBeforeOtherWork == 0) && std::chrono::steady_clock::now() < end) {
        context_.run_one_for(100ms);
    }
    EXPECT_EQ(received, SentBytes);
    EXPECT_LE(receivedBeforeOtherWork, ReadBufferBytes);
}

}

}
