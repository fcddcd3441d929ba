/**
 * A crowd of callers that don't keep the limits: many connections of one thread, each of which sends the same script, in pieces of a given
 * size, and reads as slowly as the script says.
 */
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <limits>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace Chestnutcove {

/** What each connection of a crowd does. */
struct CrowdScript
{
    /** Sent once, then @p repeated as often as stated. */
    std::string opening;
    std::string repeated;
    std::size_t repeats = 0;
    /** Most bytes of one write. */
    std::size_t pieceBytes = std::size_t{64} * 1024;
    /** After this many bytes one byte is sent every TrickleInterval. */
    std::size_t quickBytes = std::numeric_limits<std::size_t>::max();
    /** Most bytes that are read every TrickleInterval. */
    std::size_t readBytes = 0;
    int connections = 0;
};

class HostileCrowd
{
public:
    explicit HostileCrowd(CrowdScript script)
        : script_(std::move(script))
    {
    }

    /** Connects all and plays the script for this long; the connections stay open afterwards. */
    void play(const asio::ip::tcp::endpoint &place, std::chrono::milliseconds duration)
    {
        connect(place);
        const auto end = Clock::now() + duration;
        while (Clock::now() < end) {
            if (!takeTurn()) {
                std::this_thread::sleep_for(IdlePause);
            }
        }
    }

private:
    using Clock = std::chrono::steady_clock;
    static constexpr std::chrono::milliseconds TrickleInterval{50};
    static constexpr std::chrono::milliseconds IdlePause{2};
    /** The kernel would keep some MB for each connection, which the gateway could write without anyone reading. */
    static constexpr int ReceiveBufferBytes = 16 * 1024;

    struct Member
    {
        asio::ip::tcp::socket socket;
        std::size_t sent = 0;
        bool isOpen = true;
        Clock::time_point nextTrickle;
    };

    void connect(const asio::ip::tcp::endpoint &place)
    {
        for (int i = 0; i < script_.connections; ++i) {
            asio::ip::tcp::socket socket(context_);
            std::error_code error;
            socket.open(place.protocol(), error);
            socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes), error);
            socket.non_blocking(true, error);
            socket.connect(place, error);
            members_.push_back({std::move(socket), 0, true, Clock::now()});
        }
    }

    std::size_t totalBytes() const
    {
        return script_.opening.size() + script_.repeated.size() * script_.repeats;
    }

    /** @return whether any byte was sent. */
    bool takeTurn()
    {
        bool hasSent = false;
        for (Member &member : members_) {
            if (member.isOpen) {
                hasSent |= takeTurn(member);
            }
        }
        return hasSent;
    }

    bool takeTurn(Member &member)
    {
        const bool isSlow = member.sent >= script_.quickBytes;
        const bool isDue = Clock::now() >= member.nextTrickle;
        if (isDue) {
            member.nextTrickle = Clock::now() + TrickleInterval;
            read(member);
        }
        return (!isSlow || isDue) && send(member, isSlow ? 1 : script_.pieceBytes);
    }

    void read(Member &member)
    {
        if (script_.readBytes == 0) {
            return;
        }
        std::vector<char> buffer(script_.readBytes);
        std::error_code error;
        member.socket.read_some(asio::buffer(buffer), error);
        closeIfFailed(member, error);
    }

    bool send(Member &member, std::size_t most)
    {
        const std::string_view piece = nextBytes(member.sent).substr(0, most);
        if (piece.empty()) {
            return false;
        }
        std::error_code error;
        const std::size_t size = member.socket.write_some(asio::buffer(piece.data(), piece.size()), error);
        closeIfFailed(member, error);
        member.sent += error ? 0 : size;
        return !error && size > 0;
    }

    /** The bytes that follow this many of the script. */
    std::string_view nextBytes(std::size_t sent) const
    {
        if (sent < script_.opening.size()) {
            return std::string_view(script_.opening).substr(sent);
        }
        if (sent >= totalBytes()) {
            return {};
        }
        return std::string_view(script_.repeated).substr((sent - script_.opening.size()) % script_.repeated.size());
    }

    static void closeIfFailed(Member &member, const std::error_code &error)
    {
        const bool isPending = error == asio::error::would_block || error == asio::error::try_again || error == asio::error::not_connected
            || error == asio::error::in_progress;
        if (error && !isPending) {
            member.isOpen = false;
        }
    }

    asio::io_context context_;
    CrowdScript script_;
    std::vector<Member> members_;
};

}
