#include "callerserver.h"

#include "callerconnection.h"
#include "suspendclock.h"

#include <array>
#include <charconv>
#include <utility>
#include <vector>

namespace Chestnutcove {

using asio::ip::tcp;

namespace {

/** A caller that doesn't acknowledge sent bytes for this long counts as disconnected. */
constexpr Milliseconds CallerAckTimeout{5000};
/** New connections that are accepted before the event loop handles other events. */
constexpr int MaxAcceptedPerTurn = 64;
/** Pause after a connection could not be accepted, as when no descriptor is free; the connection stays readable meanwhile. */
constexpr Milliseconds AcceptRetryInterval{50};
/** Time between two looks, which cost a system call each, at whether a caller has left. */
constexpr Milliseconds CloseCheckInterval{50};
constexpr int NoContent = 204;
constexpr int NotModified = 304;

}

CallerExchange::CallerExchange(std::shared_ptr<CallerConnection> connection,
                               RequestHead head,
                               std::string body,
                               std::shared_ptr<ByteBudget::Share> keptBody,
                               TimePoint arrivedAt)
    : connection_(std::move(connection))
    , head_(std::move(head))
    , body_(std::move(body))
    , keptBody_(std::move(keptBody))
    , arrivedAt_(arrivedAt)
    , lastLookAt_(suspendAwareNow())
{
}

void CallerExchange::onCallerGone(std::function<void()> handler)
{
    callerGoneHandler_ = std::move(handler);
}

void CallerExchange::onDrained(std::function<void()> handler)
{
    drainedHandler_ = std::move(handler);
}

void CallerExchange::sendResponse(ResponseHead head, std::string_view body)
{
    if (!open_) {
        return;
    }
    open_ = false;
    begun_ = true;
    const bool withoutBody = head.status == NoContent || head.status == NotModified;
    if (!withoutBody) {
        head.fields.push_back({"Content-Length", std::to_string(body.size())});
    }
    if (connection_->closesAfterResponse()) {
        head.fields.push_back({"Connection", "close"});
    }
    std::string text = serialise(head);
    if (!withoutBody && !connection_->isHeadRequest()) {
        text.append(body);
    }
    connection_->write(text);
    std::exchange(connection_, nullptr)->onResponseSent();
}

void CallerExchange::beginResponse(ResponseHead head, std::optional<std::uint64_t> length)
{
    if (!open_ || begun_) {
        return;
    }
    begun_ = true;
    chunked_ = !length;
    if (length) {
        head.fields.push_back({"Content-Length", std::to_string(*length)});
    } else {
        head.fields.push_back({"Transfer-Encoding", "chunked"});
    }
    if (connection_->closesAfterResponse()) {
        head.fields.push_back({"Connection", "close"});
    }
    connection_->write(serialise(head));
}

void CallerExchange::sendBody(std::string_view bytes)
{
    if (!open_ || bytes.empty()) {
        return;
    }
    if (!chunked_) {
        connection_->write(bytes);
        return;
    }
    std::array<char, 2 * sizeof(std::size_t)> digits;
    constexpr int Hexadecimal = 16;
    const auto end = std::to_chars(digits.begin(), digits.end(), bytes.size(), Hexadecimal).ptr;
    std::string chunk(digits.begin(), end);
    chunk += "\r\n";
    chunk += bytes;
    chunk += "\r\n";
    connection_->write(chunk);
}

void CallerExchange::endResponse()
{
    if (!open_) {
        return;
    }
    open_ = false;
    if (chunked_) {
        connection_->write("0\r\n\r\n");
    }
    std::exchange(connection_, nullptr)->onResponseSent();
}

void CallerExchange::abort()
{
    if (!open_) {
        return;
    }
    open_ = false;
    std::exchange(connection_, nullptr)->abort();
}

std::size_t CallerExchange::pendingBytes() const
{
    return connection_ ? connection_->pendingBytes() : 0;
}

bool CallerExchange::hasCallerLeft(TimePoint now)
{
    if (connection_ && now - lastLookAt_ < CloseCheckInterval) {
        return false;
    }
    lastLookAt_ = now;
    return !connection_ || connection_->isClosedByCaller();
}

void CallerExchange::notifyCallerGone()
{
    if (!open_) {
        return;
    }
    open_ = false;
    connection_.reset();
    if (const auto handler = std::exchange(callerGoneHandler_, nullptr)) {
        handler();
    }
}

CallerServer::CallerServer(asio::io_context &context,
                           const asio::ip::tcp::endpoint &listen,
                           LimitsReader limits,
                           RequestHandler onRequest,
                           std::size_t maxBodyBytes)
    : CallerServer(context,
                   listen,
                   std::move(limits),
                   std::move(onRequest),
                   std::make_shared<CallerBudget>(maxBodyBytes, std::numeric_limits<std::size_t>::max()))
{
}

CallerServer::CallerServer(asio::io_context &context,
                           const asio::ip::tcp::endpoint &listen,
                           LimitsReader limits,
                           RequestHandler onRequest,
                           std::shared_ptr<CallerBudget> budget)
    : shared_(std::make_shared<SharedState>(context.get_executor(), std::move(limits), std::move(onRequest), std::move(budget)))
    , acceptor_(context)
    , retryTimer_(context)
{
    acceptor_.open(listen.protocol());
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor_.bind(listen);
    acceptor_.listen();
    acceptor_.non_blocking(true);
    awaitConnections();
}

CallerServer::~CallerServer()
{
    const std::vector<std::shared_ptr<CallerConnection>> connections(shared_->connections.begin(), shared_->connections.end());
    for (const auto &connection : connections) {
        connection->closeNow();
    }
}

std::uint16_t CallerServer::port() const
{
    return acceptor_.local_endpoint().port();
}

void CallerServer::awaitConnections()
{
    acceptor_.async_wait(tcp::acceptor::wait_read, [this](const std::error_code &error) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (acceptWaiting()) {
            awaitConnections();
        } else {
            retryLater();
        }
    });
}

void CallerServer::retryLater()
{
    retryTimer_.expires_after(AcceptRetryInterval);
    retryTimer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            awaitConnections();
        }
    });
}

bool CallerServer::acceptWaiting()
{
    for (int i = 0; i < MaxAcceptedPerTurn; ++i) {
        std::error_code error;
        tcp::socket socket = acceptor_.accept(error);
        if (error) {
            const bool isNoneWaiting = error == asio::error::would_block || error == asio::error::try_again;
            return isNoneWaiting || error == asio::error::connection_aborted;
        }
        if (!shared_->budget->connections.makeRoom(1)) {
            // Every connection has a request in progress, so the new one is closed at once.
            continue;
        }
        auto buffered = std::make_shared<BufferedSocket>(std::move(socket), CallerAckTimeout);
        auto connection = std::make_shared<CallerConnection>(std::move(buffered), shared_);
        shared_->connections.insert(connection);
        connection->start();
    }
    return true;
}

void CallerServer::announceClose()
{
    shared_->closeAfterResponse = true;
}

void CallerServer::closeIdleConnections()
{
    for (const auto &connection : shared_->connections) {
        if (connection->isIdle()) {
            connection->closeGracefully();
        }
    }
}

void CallerServer::stopAccepting()
{
    std::error_code ignored;
    acceptor_.close(ignored);
    retryTimer_.cancel();
}

std::uint64_t CallerServer::requestsOfGoneCallers() const
{
    return shared_->requestsOfGoneCallers;
}

std::size_t CallerServer::keptBodyBytes() const
{
    return shared_->budget->bytes.used();
}

std::size_t CallerServer::openConnectionCount() const
{
    return shared_->connections.size();
}

void CallerServer::closeExpiredConnections(TimePoint now)
{
    const std::vector<std::shared_ptr<CallerConnection>> connections(shared_->connections.begin(), shared_->connections.end());
    for (const auto &connection : connections) {
        connection->closeIfExpired(now);
    }
}

}
