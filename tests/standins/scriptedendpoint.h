/**
 * Endpoint of tests that must send exact bytes: it answers each request with the next script, whatever the request says, and can close or
 * reset the connection after it.
 */
#pragma once

#include "endpointrecord.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <atomic>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <utility>

namespace Chestnutcove {

/** What a scripted endpoint sends for a request, and what it does with the connection afterwards. */
struct Script
{
    enum class AfterResponse {
        KeepOpen,
        Close,
        Reset,
    };

    /** An empty one leaves the request without an answer. */
    std::string response;
    AfterResponse afterResponse = AfterResponse::KeepOpen;
    /** Time from the request to the response. */
    std::chrono::milliseconds delay{0};
};

/** Accepts connections and executes the scripts in order, one for each request. */
class ScriptedEndpoint
{
public:
    explicit ScriptedEndpoint(asio::io_context &context)
        : acceptor_(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    EndpointRecord record() const
    {
        EndpointRecord result;
        result.id = "endpoint";
        result.address = {"127.0.0.1", acceptor_.local_endpoint().port()};
        return result;
    }

    std::deque<Script> scripts;
    /** Played once the scripts are used up; an empty one leaves requests without an answer. */
    Script lastScript;
    int connections = 0;
    std::atomic<int> requests = 0;
    /** Connections that the peer closed while it waited for an answer that the script doesn't give. */
    std::atomic<int> closedWhileWaiting = 0;

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
            ++connections;
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
            peer->input.consume(size);
            ++requests;
            play(peer);
        });
    }

    void play(const std::shared_ptr<Peer> &peer)
    {
        if (scripts.empty() && lastScript.response.empty()) {
            return;
        }
        Script script = lastScript;
        if (!scripts.empty()) {
            script = scripts.front();
            scripts.pop_front();
        }
        if (script.response.empty() && script.afterResponse == Script::AfterResponse::KeepOpen) {
            waitForClose(peer);
            return;
        }
        if (script.delay == std::chrono::milliseconds::zero()) {
            respond(peer, script);
            return;
        }
        const auto timer = std::make_shared<asio::steady_timer>(peer->socket.get_executor(), script.delay);
        timer->async_wait([this, peer, script, timer](const std::error_code &) { respond(peer, script); });
    }

    void waitForClose(const std::shared_ptr<Peer> &peer)
    {
        asio::async_read(peer->socket, peer->input, [this, peer](const std::error_code &, std::size_t) { ++closedWhileWaiting; });
    }

    void respond(const std::shared_ptr<Peer> &peer, const Script &script)
    {
        std::error_code ignored;
        asio::write(peer->socket, asio::buffer(script.response), ignored);
        if (script.afterResponse == Script::AfterResponse::Reset) {
            peer->socket.set_option(asio::socket_base::linger(true, 0));
        }
        if (script.afterResponse != Script::AfterResponse::KeepOpen) {
            peer->socket.close();
            return;
        }
        read(peer);
    }

    asio::ip::tcp::acceptor acceptor_;
};

}
