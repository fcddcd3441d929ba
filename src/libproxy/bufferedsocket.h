/**
 * A TCP connection on the event loop: reads when bytes are there, writes at once what the kernel takes and the rest later. All connections
 * share one read buffer, so that an idle connection costs no memory for it.
 */
#pragma once

#include <asio/any_io_executor.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Chestnutcove {

/** How the other side's bytes ended. */
enum class ReadEnd {
    /** The other side closed in an orderly way. */
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
        std::function<void(ReadEnd)> onEnd;
        /** All bytes were given to the kernel after some had to wait. */
        std::function<void()> onDrained;
    };

    /** @param ackTimeout the connection breaks when sent bytes stay without acknowledgement for this long. */
    BufferedSocket(asio::ip::tcp::socket socket, std::chrono::milliseconds ackTimeout);

    /** Begins to read. The handlers are called until close(). */
    void start(Handlers handlers);
    void pauseReading();
    void resumeReading();
    void write(std::string_view bytes);
    /** Bytes that wait for the kernel. */
    std::size_t pendingBytes() const;
    /** Ends our direction once everything is written. */
    void finishWriting();
    /** Closes at once; no handler is called any more. Unread bytes make the kernel reset the connection. */
    void close();
    /** Closes with a reset, so that the other side can't take what it has for complete. */
    void reset();
    bool isOpen() const;
    asio::any_io_executor executor();

private:
    void awaitReadable();
    void readAvailable();
    void awaitWritable();
    void flush();
    void fail();

    asio::ip::tcp::socket socket_;
    Handlers handlers_;
    std::string output_;
    bool reading_ = false;
    bool readPaused_ = false;
    bool writing_ = false;
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

}
