/**
 * Tests links whose connections are replaced often, and of which there are many. They guard against processes that end for want of sockets:
 * each new connection took a socket of its own, and the error of the library went through a timer's handler.
 */
#include "link.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

/** More than the sockets that a context of the library has. */
constexpr int Many = 1200;

class LinkReconnectTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(server_.bind("127.0.0.1", 0).ok());
    }

    std::unique_ptr<LinkClient> makeClient()
    {
        LinkOptions options;
        options.queuesUntilConnected = true;
        return std::make_unique<LinkClient>(
            links_,
            "127.0.0.1:" + std::to_string(server_.port()),
            keys_.publicKey,
            [this](const wire::Envelope &) { ++answers_; },
            options);
    }

    /** Sends a message and waits for its answer. */
    bool isAnswered(LinkClient &client)
    {
        const int before = answers_;
        wire::Envelope message;
        message.mutable_token_request()->set_number(1);
        client.send(message);
        for (int i = 0; i < 100 && answers_ == before; ++i) {
            context_.run_for(20ms);
            context_.restart();
        }
        return answers_ == before + 1;
    }

    asio::io_context context_;
    LinkKeys keys_ = *generateLinkKeys();
    LinkContext links_{context_, keys_, {keys_.publicKey}};
    LinkServer server_{links_, [this](const LinkServer::PeerId &peer, const wire::Envelope &message) {
                           peers_.push_back(peer);
                           server_.send(peer, message);
                       }};
    /** The connection of each message that the server got. */
    std::vector<LinkServer::PeerId> peers_;
    int answers_ = 0;
};

TEST_F(LinkReconnectTest, EventLoopStandsStill_ManyReconnects_NeedNoMoreSocketsAndLinkWorks)
{
    const auto client = makeClient();
    for (int i = 0; i < Many; ++i) {
        ASSERT_NO_THROW(client->reconnect());
    }
    EXPECT_TRUE(isAnswered(*client));
}

TEST_F(LinkReconnectTest, LinkHasWorked_Reconnect_AllFurtherMessagesTakeTheNewConnection)
{
    const auto client = makeClient();
    EXPECT_TRUE(isAnswered(*client));
    client->reconnect();
    for (int i = 0; i < 4; ++i) {
        EXPECT_TRUE(isAnswered(*client));
    }
    ASSERT_EQ(5U, peers_.size());
    EXPECT_NE(peers_[0], peers_[1]);
    EXPECT_EQ(std::vector<LinkServer::PeerId>(4, peers_[1]), std::vector<LinkServer::PeerId>(peers_.begin() + 1, peers_.end()));
}

TEST_F(LinkReconnectTest, MoreLinksThanSockets_FurtherLinks_RejectMessagesAndProcessGoesOn)
{
    std::vector<std::unique_ptr<LinkClient>> clients;
    for (int i = 0; i < Many; ++i) {
        ASSERT_NO_THROW(clients.push_back(makeClient()));
    }
    EXPECT_FALSE(clients.back()->send(wire::Envelope{}));
    EXPECT_NO_THROW(clients.back()->reconnect());
    EXPECT_TRUE(isAnswered(*clients.front()));
}

TEST_F(LinkReconnectTest, SocketsAreFreeAgain_LinkWithoutSocket_WorksAfterReconnect)
{
    std::vector<std::unique_ptr<LinkClient>> clients;
    for (int i = 0; i < Many; ++i) {
        clients.push_back(makeClient());
    }
    const std::unique_ptr<LinkClient> last = std::move(clients.back());
    clients.clear();
    bool isWorking = false;
    for (int i = 0; i < 20 && !isWorking; ++i) {
        context_.run_for(50ms);
        context_.restart();
        last->reconnect();
        isWorking = isAnswered(*last);
    }
    EXPECT_TRUE(isWorking);
}

}

}
