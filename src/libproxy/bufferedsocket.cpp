#include "bufferedsocket.h"

#include <asio/post.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr std::size_t ReadBufferBytes = std::size_t{64} * 1024;
constexpr int KeepAliveIdleSeconds = 2;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

/** The read buffer of the current thread. It is shared by all connections, since their handlers run one at a time. */
std::array<char, ReadBufferBytes> &readBuffer()
{
    thread_local std::array<char, ReadBufferBytes> buffer;
    return buffer;
}

/** Whether the connection is over with the error, so that a read comes to its end too. */
bool endsConnection(const std::error_code &error)
{
    return error == asio::error::connection_reset || error == asio::error::broken_pipe || error == asio::error::timed_out;
}

void setOption(int descriptor, int level, int name, int value)
{
    // Errors are ignored: the connection also works without the option, on a kernel that lacks it.
    ::setsockopt(descriptor, level, name, &value, sizeof value);
}

}

BufferedSocket::BufferedSocket(asio::ip::tcp::socket socket, std::chrono::milliseconds ackTimeout)
    : socket_(std::move(socket))
{
    std::error_code ignored;
    socket_.non_blocking(true, ignored);
    const int descriptor = socket_.native_handle();
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(ackTimeout.count()));
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

void BufferedSocket::start(Handlers handlers)
{
    handlers_ = std::move(handlers);
    awaitReadable();
}

void BufferedSocket::pauseReading()
{
    readPaused_ = true;
}

void BufferedSocket::resumeReading()
{
    readPaused_ = false;
    awaitReadable();
}

void BufferedSocket::awaitReadable()
{
    if (readWaitActive_ || readPaused_ || !open_) {
        return;
    }
    readWaitActive_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const std::error_code &error) {
        self->readWaitActive_ = false;
        if (!self->open_ || self->readPaused_ || error == asio::error::operation_aborted) {
            return;
        }
        self->readAvailable();
    });
}

void BufferedSocket::readAvailable()
{
    // One read a turn, so that others' work isn't delayed by all that a fast sender has sent.
    auto &buffer = readBuffer();
    std::error_code error;
    const std::size_t size = socket_.read_some(asio::buffer(buffer), error);
    const bool isEmpty = error == asio::error::would_block || error == asio::error::try_again;
    if (error == asio::error::eof) {
        reportEnd(failure_.value_or(DisconnectReason::Closed));
        return;
    }
    if (error && !isEmpty) {
        rememberFailure(error);
        reportEnd(DisconnectReason::Broken);
        return;
    }
    if (!isEmpty) {
        handlers_.onBytes({buffer.data(), size});
    }
    awaitReadable();
}

bool BufferedSocket::isClosedByPeer()
{
    if (!open_) {
        return true;
    }
    char byte = 0;
    const auto size = ::recv(socket_.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    const bool isPending = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    if (size < 0 && !isPending) {
        rememberFailure({errno, std::system_category()});
    }
    return size == 0 || (size < 0 && !isPending);
}

std::size_t BufferedSocket::unacknowledgedBytes()
{
    int queued = 0;
    const bool isKnown = open_ && ::ioctl(socket_.native_handle(), SIOCOUTQ, &queued) == 0;
    return output_.size() + (isKnown ? static_cast<std::size_t>(queued) : 0);
}

void BufferedSocket::write(std::string_view bytes)
{
    if (!open_ || finishing_) {
        return;
    }
    if (!output_.empty()) {
        output_.append(bytes);
        return;
    }
    std::error_code error;
    std::size_t written = socket_.write_some(asio::buffer(bytes.data(), bytes.size()), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
        written = 0;
    } else if (error) {
        onWriteFailed(error);
        return;
    }
    output_.assign(bytes.substr(written));
    if (!output_.empty()) {
        awaitWritable();
    }
}

void BufferedSocket::awaitWritable()
{
    if (writeWaitActive_ || !open_) {
        return;
    }
    writeWaitActive_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const std::error_code &error) {
        self->writeWaitActive_ = false;
        if (!self->open_ || error == asio::error::operation_aborted) {
            return;
        }
        self->flush();
    });
}

void BufferedSocket::flush()
{
    std::error_code error;
    const std::size_t written = socket_.write_some(asio::buffer(output_), error);
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        onWriteFailed(error);
        return;
    }
    output_.erase(0, error ? 0 : written);
    if (!output_.empty()) {
        awaitWritable();
        return;
    }
    // Freed, so that the connections of callers who have read large responses keep no memory of their sizes.
    std::string().swap(output_);
    if (finishing_) {
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    }
    if (handlers_.onDrained) {
        const auto onDrained = handlers_.onDrained;
        onDrained();
    }
}

void BufferedSocket::finishWriting()
{
    if (!open_ || finishing_) {
        return;
    }
    finishing_ = true;
    if (output_.empty()) {
        std::error_code ignored;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }
}

void BufferedSocket::onWriteFailed(const std::error_code &error)
{
    rememberFailure(error);
    output_.clear();
    finishing_ = true;
    if (handlers_.readsRestAfterFailedWrite && endsConnection(error)) {
        awaitReadable();
        return;
    }
    // The failure is reported from the event loop, so that the handler isn't called from inside the owner's call of write().
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (self->open_ && self->handlers_.onDisconnected) {
            self->reportEnd(DisconnectReason::Broken);
        }
    });
}

void BufferedSocket::rememberFailure(const std::error_code &error)
{
    if (failure_) {
        return;
    }
    // A connection that is reset after the peer has ended its direction fails with a broken pipe: what was received is whole.
    failure_ = error == asio::error::broken_pipe ? DisconnectReason::Closed : DisconnectReason::Broken;
}

void BufferedSocket::reportEnd(DisconnectReason reason)
{
    // The handler may release the handlers.
    const auto onDisconnected = handlers_.onDisconnected;
    onDisconnected(reason);
}

void BufferedSocket::close()
{
    if (!open_) {
        return;
    }
    open_ = false;
    std::error_code ignored;
    socket_.close(ignored);
    // The handlers may own the object that owns this socket, so they are released from the event loop, when none of them is running.
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->handlers_ = {}; });
}

void BufferedSocket::reset()
{
    if (open_) {
        std::error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    close();
}

}
