/**
 * Tests how a connection shares the event loop with others, and what it reports of its end.
 */
#include "bufferedsocket.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
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

/** The peer sends a part of an answer while a long write to it is in progress. */
class EndDuringWriteTest : public BufferedSocketTest
{
protected:
    static constexpr std::size_t WrittenBytes = std::size_t{16} << 20U;

    void beginWriteAndAnswer()
    {
        BufferedSocket::Handlers handlers;
        handlers.onBytes = [this](std::string_view bytes) { received_ += bytes; };
        handlers.onDisconnected = [this](DisconnectReason reason) { reason_ = reason; };
        handlers.readsRestAfterFailedWrite = true;
        socket_->start(std::move(handlers));
        socket_->write(std::string(WrittenBytes, 'w'));
        asio::write(peer_, asio::buffer(std::string("part")));
    }

    void awaitPart()
    {
        while (received_.empty()) {
            context_.run_one_for(100ms);
        }
    }

    void resetByPeer()
    {
        peer_.set_option(asio::socket_base::linger(true, 0));
        peer_.close();
    }

    void awaitEnd()
    {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (!reason_ && std::chrono::steady_clock::now() < end) {
            context_.run_one_for(100ms);
        }
    }

    std::string received_;
    std::optional<DisconnectReason> reason_;
};

// Guards against a reset that counts as an orderly end of the answer, since the failed write took the socket's only error (MIXED).
TEST_F(EndDuringWriteTest, PeerResetsAfterWhatItSentWasRead_End_IsReportedAsBroken)
{
    beginWriteAndAnswer();
    awaitPart();
    resetByPeer();
    awaitEnd();
    EXPECT_EQ(reason_, DisconnectReason::Broken);
}

TEST_F(EndDuringWriteTest, PeerResetsBeforeWhatItSentWasRead_End_IsReportedAsBrokenAfterIt)
{
    beginWriteAndAnswer();
    resetByPeer();
    awaitEnd();
    EXPECT_EQ(reason_, DisconnectReason::Broken);
    EXPECT_EQ(received_, "part");
}

// Guards against the same where the question whether the peer has closed takes the error.
TEST_F(EndDuringWriteTest, PeerResetsAndItsEndIsAskedFor_End_IsReportedAsBroken)
{
    beginWriteAndAnswer();
    awaitPart();
    resetByPeer();
    EXPECT_TRUE(socket_->isClosedByPeer());
    awaitEnd();
    EXPECT_EQ(reason_, DisconnectReason::Broken);
}

TEST_F(EndDuringWriteTest, PeerClosesItsDirectionAndReadsOn_End_IsReportedAsClosed)
{
    beginWriteAndAnswer();
    peer_.shutdown(asio::ip::tcp::socket::shutdown_send);
    awaitEnd();
    EXPECT_EQ(reason_, DisconnectReason::Closed);
    EXPECT_EQ(received_, "part");
}

// Guards against an orderly end that counts as a reset because the rest of the write was refused after it.
TEST_F(EndDuringWriteTest, PeerClosesWithNothingUnread_End_IsReportedAsClosedWithAllThatWasReceived)
{
    constexpr std::size_t AnswerBytes = std::size_t{300} << 10U;
    beginWriteAndAnswer();
    asio::write(peer_, asio::buffer(std::string(AnswerBytes, 'a')));
    peer_.non_blocking(true);
    std::string taken(std::size_t{1} << 20U, '\0');
    std::error_code error;
    while (!error) {
        peer_.read_some(asio::buffer(taken), error);
    }
    peer_.close();
    awaitEnd();
    EXPECT_EQ(reason_, DisconnectReason::Closed);
    EXPECT_EQ(received_.size(), AnswerBytes + 4);
}

}

}
