/**
 * Endpoint in trouble: it answers each request with a beginning and then sends the same bytes again and again until the caller closes.
 */
#pragma once

#include "endpointrecord.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace Chestnutcove {

class EndlessEndpoint
{
public:
    explicit EndlessEndpoint(asio::io_context &context)
        : acceptor_(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , address_{"127.0.0.1", acceptor_.local_endpoint().port()}
    {
        accept();
    }

    const NetworkAddress &address() const
    {
        return address_;
    }

    std::uint64_t requests() const
    {
        return requests_;
    }

    /** @param beginning in which "{id}" stands for the id of the request. To be called before the first request. */
    void setAnswer(std::string beginning, std::string repeated)
    {
        beginning_ = std::move(beginning);
        repeated_ = std::move(repeated);
    }

private:
    /** Bytes to all callers together after which the endpoint falls silent, so that a test can't take all of the machine's memory. */
    static constexpr std::uint64_t MaxSentBytes = std::uint64_t{2} << 30U;
    /** The kernel would keep some MB for each connection. */
    static constexpr int SendBufferBytes = 64 * 1024;

    struct Peer
    {
        explicit Peer(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        asio::ip::tcp::socket socket;
        asio::streambuf input;
        std::string beginning;
    };

    void accept()
    {
        acceptor_.async_accept([this](const std::error_code &error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            socket.set_option(asio::socket_base::send_buffer_size(SendBufferBytes));
            read(std::make_shared<Peer>(std::move(socket)));
            accept();
        });
    }

    void read(const std::shared_ptr<Peer> &peer)
    {
        asio::async_read_until(peer->socket, peer->input, "\r\n\r\n", [this, peer](const std::error_code &error, std::size_t size) {
            if (error) {
                return;
            }
            ++requests_;
            const std::string head(static_cast<const char *>(peer->input.data().data()), size);
            peer->beginning = beginning_;
            constexpr std::string_view Placeholder = "{id}";
            if (const auto position = peer->beginning.find(Placeholder); position != std::string::npos) {
                peer->beginning.replace(position, Placeholder.size(), idOf(head));
            }
            asio::async_write(peer->socket, asio::buffer(peer->beginning), [this, peer](const std::error_code &failure, std::size_t) {
                if (!failure) {
                    repeat(peer);
                }
            });
        });
    }

    void repeat(const std::shared_ptr<Peer> &peer)
    {
        asio::async_write(peer->socket, asio::buffer(repeated_), [this, peer](const std::error_code &error, std::size_t size) {
            sentBytes_ += size;
            if (!error && sentBytes_ < MaxSentBytes) {
                repeat(peer);
                return;
            }
            awaitClose(peer);
        });
    }

    static void awaitClose(const std::shared_ptr<Peer> &peer)
    {
        peer->socket.async_wait(asio::ip::tcp::socket::wait_error, [peer](const std::error_code &) {});
    }

    static std::string idOf(const std::string &head)
    {
        constexpr std::string_view IdField = "Attempt-Id: ";
        const auto field = head.find(IdField);
        if (field == std::string::npos) {
            return {};
        }
        const auto start = field + IdField.size();
        return head.substr(start, head.find('\r', start) - start);
    }

    asio::ip::tcp::acceptor acceptor_;
    NetworkAddress address_;
    std::string beginning_;
    std::string repeated_;
    std::uint64_t sentBytes_ = 0;
    std::atomic<std::uint64_t> requests_ = 0;
};

}
