/**
 * Engine of tests that ends when a request's head contains a given text, as the request arrives or after some events of its answer: it
 * closes all its connections and refuses new ones for a while. It answers other requests with a whole event stream.
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
#include <sys/socket.h>
#include <utility>

namespace Chestnutcove {

/** What an engine does with a request that has the deadly text. */
struct DeadlyAnswer
{
    enum class End {
        Crash,
        /** Only the connection of the request is reset; the engine lives. */
        Reset,
    };

    /** Events that it sends before the end; with none it ends as the request arrives, and has sent nothing. */
    int events = 0;
    /** Time before each event and before the end. */
    std::chrono::milliseconds gap{0};
    /** The answer has neither a length nor chunks. */
    bool endsWithConnection = false;
    End end = End::Crash;
};

class CrashingEngine
{
public:
    CrashingEngine(asio::io_context &context, std::string deadlyText, std::chrono::milliseconds restartTime, DeadlyAnswer answer = {})
        : deadlyText_(std::move(deadlyText))
        , restartTime_(restartTime)
        , deadlyAnswer_(answer)
        , acceptor_(context, asio::ip::tcp::v4())
        , restartTimer_(context)
    {
        acceptor_.set_option(ReusePort(true));
        acceptor_.bind({asio::ip::address_v4::loopback(), 0});
        acceptor_.listen();
        address_ = acceptor_.local_endpoint();
        accept();
    }

    NetworkAddress address() const
    {
        return {"127.0.0.1", address_.port()};
    }

    /** Number of times that the engine ended. */
    int crashes() const
    {
        return crashes_;
    }

    /** Number of requests with the text that arrived. */
    int deadlyArrivals() const
    {
        return deadlyArrivals_;
    }

private:
    using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

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
        /** Of the deadly answer. */
        int eventsSent = 0;
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
                ++deadlyArrivals_;
                playDeadlyAnswer(peer, idOf(head));
                return;
            }
            answer(*peer, head);
            read(peer);
        });
    }

    static std::string idOf(const std::string &head)
    {
        constexpr std::string_view IdField = "Attempt-Id: ";
        const auto start = head.find(IdField) + IdField.size();
        return head.substr(start, head.find('\r', start) - start);
    }

    static std::string streamHead(const std::string &id)
    {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Stamp: signed\r\nContent-Type: text/event-stream\r\n";
    }

    static void answer(Peer &peer, const std::string &head)
    {
        std::error_code ignored;
        asio::write(peer.socket, asio::buffer(streamHead(idOf(head)) + "Content-Length: 16\r\n\r\nid: 1\ndata: a\n\n\n"), ignored);
    }

    void playDeadlyAnswer(const std::shared_ptr<Peer> &peer, const std::string &id)
    {
        if (deadlyAnswer_.events > 0) {
            const char *framing = deadlyAnswer_.endsWithConnection ? "Connection: close\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
            std::error_code ignored;
            asio::write(peer->socket, asio::buffer(streamHead(id) + framing), ignored);
        }
        peer->eventsSent = 0;
        playNextEvent(peer);
    }

    void playNextEvent(const std::shared_ptr<Peer> &peer)
    {
        peer->timer.expires_after(deadlyAnswer_.gap);
        peer->timer.async_wait([this, peer](const std::error_code &error) {
            if (error || !peers_.contains(peer)) {
                return;
            }
            if (peer->eventsSent == deadlyAnswer_.events) {
                endDeadlyAnswer(*peer);
                return;
            }
            const std::string event = "id: " + std::to_string(++peer->eventsSent % 10) + "\ndata: a\n\n";
            std::error_code ignored;
            asio::write(peer->socket, asio::buffer(deadlyAnswer_.endsWithConnection ? event : "f\r\n" + event + "\r\n"), ignored);
            playNextEvent(peer);
        });
    }

    void endDeadlyAnswer(Peer &peer)
    {
        if (deadlyAnswer_.end == DeadlyAnswer::End::Crash) {
            crash();
            return;
        }
        std::error_code ignored;
        peer.socket.set_option(asio::socket_base::linger(true, 0), ignored);
        peer.socket.close(ignored);
    }

    void crash()
    {
        ++crashes_;
        for (const auto &peer : std::exchange(peers_, {})) {
            std::error_code ignored;
            peer->socket.close(ignored);
        }
        refuseConnections();
        restartTimer_.expires_after(restartTime_);
        restartTimer_.async_wait([this](const std::error_code &error) {
            if (error) {
                return;
            }
            acceptor_.listen();
            accept();
        });
    }

    /** The port stays bound, so that nobody else gets it meanwhile. */
    void refuseConnections()
    {
        asio::ip::tcp::acceptor bound(restartTimer_.get_executor(), address_.protocol());
        bound.set_option(ReusePort(true));
        bound.bind(address_);
        acceptor_ = std::move(bound);
    }

    std::string deadlyText_;
    std::chrono::milliseconds restartTime_;
    DeadlyAnswer deadlyAnswer_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint address_;
    asio::steady_timer restartTimer_;
    std::set<std::shared_ptr<Peer>> peers_;
    std::atomic<int> crashes_ = 0;
    std::atomic<int> deadlyArrivals_ = 0;
};

}
