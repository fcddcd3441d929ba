/**
 * Tests links to addresses that a row of the store names. They guard against a process that ends because another writer left an address
 * that can't be connected.
 */
#include "link.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

namespace Chestnutcove {

namespace {

using namespace std::chrono_literals;

class LinkAddressTest : public testing::TestWithParam<const char *>
{
protected:
    asio::io_context context_;
    LinkKeys keys_ = *generateLinkKeys();
    LinkContext links_{context_, keys_, {keys_.publicKey}};
};

TEST_P(LinkAddressTest, AddressIsOdd_LinkIsMadeAndUsed_MessagesAreRejectedAndProcessGoesOn)
{
    LinkClient client(
        links_, GetParam(), keys_.publicKey, [](const wire::Envelope &) {}, LinkOptions{});
    EXPECT_FALSE(client.send(wire::Envelope{}));
    EXPECT_NO_THROW(client.reconnect());
    EXPECT_FALSE(client.send(wire::Envelope{}));
    context_.run_for(20ms);
}

INSTANTIATE_TEST_SUITE_P(
    Addresses,
    LinkAddressTest,
    testing::Values("", ":", "x", "10.0.0.1", "10.0.0.1:", "10.0.0.1:-1", "10.0.0.1:65536", "10.0.0.1:99999999999", "::::", "a b:1"));

}

}
