/**
 * A non-blocking TCP connection on the event loop. It reads when the socket is readable, writes as much as the kernel accepts and buffers
 * the rest until the socket is writable. All connections of a thread share one read buffer, so an idle connection needs no buffer memory.
 * The kernel reports the failure of a connection to one call only, a read, a write or another one; it is remembered here for all of them.
 */
#pragma once

#include <asio/any_io_executor.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace Chestnutcove {

/** Why no more bytes can be read from the peer. */
enum class DisconnectReason {
    /** The peer closed its sending direction in an orderly way (FIN). */
    Closed,
    /** The connection was reset, timed out or failed. */
    Broken,
};

class BufferedSocket : public std::enable_shared_from_this<BufferedSocket>
{
public:
    struct Handlers
    {
        std::function<void(std::string_view)> onBytes;
        std::function<void(DisconnectReason)> onDisconnected;
        /** The write buffer, which held unsent bytes, has become empty. */
        std::function<void()> onDrained;
        /** After a failed write, what the peer sent before is read first; else the end of the connection is reported at once. */
        bool readsRestAfterFailedWrite = false;
    };

    /** @param ackTimeout the kernel breaks the connection when sent bytes stay unacknowledged for this long (TCP_USER_TIMEOUT). */
    BufferedSocket(asio::ip::tcp::socket socket, std::chrono::milliseconds ackTimeout);

    /** Starts reading. The handlers are called until close(). */
    void start(Handlers handlers);
    void pauseReading();
    void resumeReading();
    void write(std::string_view bytes);
    /** Number of bytes in the write buffer, not yet accepted by the kernel. */
    std::size_t pendingBytes() const;
    /** Number of written bytes that the peer has not acknowledged yet, those in the write buffer included. Costs a system call. */
    std::size_t unacknowledgedBytes();
    /** Shuts down the sending direction once all buffered bytes are written. */
    void finishWriting();
    /** Closes at once; no handler is called any more. If received bytes are unread, the kernel resets the connection. */
    void close();
    /** Closes with a TCP reset, so that the peer can't take a partial message for a complete one. */
    void reset();
    bool isOpen() const;
    /** Whether the connection has failed, also if its end was not reported yet. */
    bool hasFailed() const;
    /**
     * Whether the peer has closed or reset the connection, also if that hasn't been read yet. Unread bytes hide it.
     * Costs a system call.
     */
    bool isClosedByPeer();
    asio::any_io_executor executor();

private:
    void awaitReadable();
    void readAvailable();
    void awaitWritable();
    void flush();
    void onWriteFailed(const std::error_code &error);
    void rememberFailure(const std::error_code &error);
    void reportEnd(DisconnectReason reason);

    asio::ip::tcp::socket socket_;
    Handlers handlers_;
    std::string output_;
    /** How the connection ended, as the first call that failed was told; not set before, nor by an orderly end. */
    std::optional<DisconnectReason> failure_;
    bool readWaitActive_ = false;
    bool readPaused_ = false;
    bool writeWaitActive_ = false;
    bool finishing_ = false;
    bool open_ = true;
};

inline std::size_t BufferedSocket::pendingBytes() const
{
    return output_.size();
}

inline asio::any_io_executor BufferedSocket::executor()
{
    return socket_.get_executor();
}

inline bool BufferedSocket::isOpen() const
{
    return open_;
}

inline bool BufferedSocket::hasFailed() const
{
    return failure_.has_value();
}

}
