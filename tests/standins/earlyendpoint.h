/**
 * Endpoint of tests that answers a request once it has read its head, while the body is still being written, and then ends the connection.
 */
#pragma once

#include "endpointrecord.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

namespace Chestnutcove {

/** What an early endpoint sends, and how its connection ends. */
struct EarlyAnswer
{
    enum class End {
        /** With a reset, while the caller writes. */
        Reset,
        /** In an orderly way; the rest of the body is read. */
        Close,
    };

    std::string response;
    End end = End::Reset;
};

class EarlyEndpoint
{
public:
    explicit EarlyEndpoint(asio::io_context &context)
        : acceptor_(context, asio::ip::tcp::v4())
    {
        // Accepted sockets take it over. The caller's writes soon find no room.
        acceptor_.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
        acceptor_.bind({asio::ip::address_v4::loopback(), 0});
        acceptor_.listen();
        accept();
    }

    NetworkAddress address() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    int requests() const
    {
        return requests_;
    }

    /** To be called before the first request. */
    void setAnswer(EarlyAnswer answer)
    {
        answer_ = std::move(answer);
    }

private:
    static constexpr int ReceiveBufferBytes = 4096;
    /** Time from the answer to the end of the connection, in which the caller fills the buffers. */
    static constexpr std::chrono::milliseconds EndDelay{30};

    struct Peer
    {
        explicit Peer(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
            , timer(socket.get_executor())
        {
        }
        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
        asio::streambuf input;
        std::array<char, 65536> rest{};
    };

    void accept()
    {
        acceptor_.async_accept([this](const std::error_code &error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            readHead(std::make_shared<Peer>(std::move(socket)));
            accept();
        });
    }

    void readHead(const std::shared_ptr<Peer> &peer)
    {
        asio::async_read_until(peer->socket, peer->input, "\r\n\r\n", [this, peer](const std::error_code &error, std::size_t) {
            if (error) {
                return;
            }
            ++requests_;
            std::error_code ignored;
            asio::write(peer->socket, asio::buffer(answer_.response), ignored);
            peer->timer.expires_after(EndDelay);
            peer->timer.async_wait([this, peer](const std::error_code &) { end(peer); });
        });
    }

    void end(const std::shared_ptr<Peer> &peer)
    {
        std::error_code ignored;
        if (answer_.end == EarlyAnswer::End::Reset) {
            peer->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            peer->socket.close(ignored);
            return;
        }
        peer->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        readRest(peer);
    }

    void readRest(const std::shared_ptr<Peer> &peer)
    {
        peer->socket.async_read_some(asio::buffer(peer->rest), [this, peer](const std::error_code &error, std::size_t) {
            if (!error) {
                readRest(peer);
            }
        });
    }

    asio::ip::tcp::acceptor acceptor_;
    EarlyAnswer answer_;
    std::atomic<int> requests_ = 0;
};

}
