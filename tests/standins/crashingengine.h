/**
 * Engine of tests that ends when a request's head contains a given text: it closes all its connections and refuses new ones for a while.
 * It answers other requests with a whole event stream.
 */
#pragma once

#include "endpointrecord.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace Chestnutcove {

class CrashingEngine
{
public:
    CrashingEngine(asio::io_context &context, std::string deadlyText, std::chrono::milliseconds restartTime)
        : deadlyText_(std::move(deadlyText))
        , restartTime_(restartTime)
        , acceptor_(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , address_(acceptor_.local_endpoint())
        , restartTimer_(context)
    {
        accept();
    }

    NetworkAddress address() const
    {
        return {"127.0.0.1", address_.port()};
    }

    /** Number of requests with the text that arrived; each ended the engine. */
    int crashes() const
    {
        return crashes_;
    }

private:
    struct Peer
    {
        explicit Peer(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        asio::ip::tcp::socket socket;
        asio::streambuf input;
    };

    void accept()
    {
        acceptor_.async_accept([this](const std::error_code &error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            const auto peer = std::make_shared<Peer>(std::move(socket));
            peers_.insert(peer);
            read(peer);
            accept();
        });
    }

    void read(const std::shared_ptr<Peer> &peer)
    {
        asio::async_read_until(peer->socket, peer->input, "\r\n\r\n", [this, peer](const std::error_code &error, std::size_t size) {
            if (error) {
                peers_.erase(peer);
                return;
            }
            const std::string head(static_cast<const char *>(peer->input.data().data()), size);
            peer->input.consume(size);
            if (head.find(deadlyText_) != std::string::npos) {
                crash();
                return;
            }
            answer(*peer, head);
            read(peer);
        });
    }

    static void answer(Peer &peer, const std::string &head)
    {
        constexpr std::string_view IdField = "Attempt-Id: ";
        const auto start = head.find(IdField) + IdField.size();
        const std::string id = head.substr(start, head.find('\r', start) - start);
        std::error_code ignored;
        asio::write(
            peer.socket,
            asio::buffer(
                "HTTP/1.1 200 OK\r\nAttempt-Id: " + id
                + "\r\nResponse-Stamp: signed\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 1\ndata: a\n\n\n"),
            ignored);
    }

    void crash()
    {
        ++crashes_;
        for (const auto &peer : peers_) {
            std::error_code ignored;
            peer->socket.close(ignored);
        }
        acceptor_.close();
        restartTimer_.expires_after(restartTime_);
        restartTimer_.async_wait([this](const std::error_code &error) {
            if (error) {
                return;
            }
            acceptor_.open(address_.protocol());
            acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
            acceptor_.bind(address_);
            acceptor_.listen();
            accept();
        });
    }

    std::string deadlyText_;
    std::chrono::milliseconds restartTime_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint address_;
    asio::steady_timer restartTimer_;
    std::set<std::shared_ptr<Peer>> peers_;
    std::atomic<int> crashes_ = 0;
};

}
