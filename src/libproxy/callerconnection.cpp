#include "callerconnection.h"

#include "suspendclock.h"

#include <asio/post.hpp>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace Chestnutcove {

namespace {

/** Limit of buffered input while a response is pending. Above it, reading pauses and the kernel holds further bytes. */
constexpr std::size_t MaxPipelinedBytes = std::size_t{64} * 1024;
/** Limit of responses that the caller hasn't read. Above it, no further request of the connection is read. */
constexpr std::size_t MaxUnreadBytes = std::size_t{64} * 1024;
/** Memory of a head that doesn't count in the budget; the bound on connections covers it. Usual heads are below it. */
constexpr std::size_t UncountedHeadBytes = 2048;
/** A body grows without being copied up to this size, whatever length is stated. */
constexpr std::size_t MaxReservedBytes = std::size_t{4} * 1024 * 1024;
/** How long a caller may take to read more of its response, and then to close its side, after the sending direction was to be shut down. */
constexpr Milliseconds GracefulCloseTimeout{2000};

/** Others, such as CONNECT, give what follows their head another meaning than a request's body. */
constexpr std::array<std::string_view, 7> ServedMethods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

constexpr int BadRequest = 400;
constexpr int RequestTimeout = 408;
constexpr int BodyTooLarge = 413;
constexpr int HeadTooLarge = 431;
constexpr int NotImplemented = 501;

std::size_t countedBytes(const RequestHead &head, std::size_t textBytes)
{
    const std::size_t memory = head.fields.size() * sizeof(HeaderField) + textBytes;
    return memory > UncountedHeadBytes ? memory : 0;
}

/** Empties the text and frees its memory, which an assignment of an empty text keeps. */
void release(std::string &text)
{
    std::string().swap(text);
}

bool isServed(std::string_view method)
{
    return std::find(ServedMethods.begin(), ServedMethods.end(), method) != ServedMethods.end();
}

}

CallerConnection::CallerConnection(std::shared_ptr<BufferedSocket> socket, std::shared_ptr<CallerServer::SharedState> shared)
    : socket_(std::move(socket))
    , shared_(std::move(shared))
    , member_(shared_->budget->connections, [this] { closeNow(); })
    , buffers_(shared_->budget->bytes, [this] { giveUpBuffers(); })
    , parser_(MessageParser::Type::Request, {nullptr, [this](std::string_view bytes) { body_.append(bytes); }})
    , timeoutStart_(suspendAwareNow())
{
}

void CallerConnection::start()
{
    BufferedSocket::Handlers handlers;
    handlers.onBytes = [self = shared_from_this()](std::string_view bytes) { self->onBytes(bytes); };
    handlers.onDisconnected = [self = shared_from_this()](DisconnectReason reason) { self->onDisconnected(reason); };
    handlers.onDrained = [self = shared_from_this()] { self->onDrained(); };
    socket_->start(std::move(handlers));
}

void CallerConnection::onDrained()
{
    updateBuffers();
    if (exchange_ && exchange_->drainedHandler_) {
        exchange_->drainedHandler_();
        return;
    }
    readNextRequest();
}

void CallerConnection::setPhase(Phase phase)
{
    static constexpr std::array Uses{ConnectionUse::Idle, ConnectionUse::Reading, ConnectionUse::Responding, ConnectionUse::Closing};
    phase_ = phase;
    member_.setUse(Uses.at(static_cast<std::size_t>(phase)));
}

bool CallerConnection::isOutputFull() const
{
    return socket_->pendingBytes() > MaxUnreadBytes;
}

void CallerConnection::updateBuffers()
{
    if (phase_ == Phase::Closing || areBuffersGivenUp_) {
        return;
    }
    if (input_.empty()) {
        release(input_);
    }
    if (input_.size() > MaxPipelinedBytes || (phase_ != Phase::Responding && isOutputFull())) {
        socket_->pauseReading();
    } else {
        socket_->resumeReading();
    }
    buffers_.resize(input_.size() + socket_->pendingBytes() + countedBytes(parser_.request(), parser_.headBytes()));
}

void CallerConnection::giveUpBuffers()
{
    areBuffersGivenUp_ = true;
    // The budget is being counted for some connection, so this one is reset in a turn of its own.
    asio::post(shared_->executor, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->socket_->isOpen()) {
            self->socket_->reset();
            self->onDisconnected(DisconnectReason::Broken);
        }
    });
}

bool CallerConnection::isIdle() const
{
    return phase_ == Phase::Idle && input_.empty();
}

bool CallerConnection::closesAfterResponse() const
{
    return !keepAlive_ || shared_->closeAfterResponse;
}

bool CallerConnection::isHeadRequest() const
{
    return headRequest_;
}

bool CallerConnection::isClosedByCaller() const
{
    return socket_->isClosedByPeer();
}

void CallerConnection::onBytes(std::string_view bytes)
{
    if (phase_ == Phase::Closing || isBodyGivenUp_) {
        return;
    }
    if (phase_ == Phase::Responding || (phase_ == Phase::Idle && isOutputFull())) {
        input_.append(bytes);
    } else if (input_.empty()) {
        // Not buffered, so that the connections of many slow bodies keep no read buffers.
        readRequest(bytes);
    } else {
        input_.append(bytes);
        readRequest(input_);
    }
    updateBuffers();
}

void CallerConnection::onDisconnected(DisconnectReason)
{
    if (exchange_) {
        const auto exchange = std::exchange(exchange_, nullptr);
        exchange->notifyCallerGone();
    }
    closeNow();
}

void CallerConnection::readRequest(std::string_view bytes)
{
    const TimePoint now = suspendAwareNow();
    if (phase_ == Phase::Idle) {
        if (bytes.empty() || isOutputFull()) {
            return;
        }
        setPhase(Phase::Reading);
        timeoutStart_ = now;
        arrivedAt_ = now;
    }
    const CallerLimits limits = shared_->limits();
    const std::size_t used = parser_.feed(bytes);
    if (input_.empty()) {
        input_.assign(bytes.substr(used));
    } else {
        input_.erase(0, used);
    }
    if (parser_.state() == MessageParser::State::Failed) {
        sendErrorAndClose(parser_.isHeadTooLong() ? HeadTooLarge : BadRequest);
        return;
    }
    if (limits.headerBytes > 0 && parser_.headBytes() > limits.headerBytes) {
        sendErrorAndClose(HeadTooLarge);
        return;
    }
    if (parser_.state() == MessageParser::State::Head) {
        return;
    }
    if (!isServed(parser_.request().method)) {
        sendErrorAndClose(NotImplemented);
        return;
    }
    if (limits.bodyBytes > 0 && (parser_.contentLength().value_or(0) > limits.bodyBytes || body_.size() > limits.bodyBytes)) {
        sendErrorAndClose(BodyTooLarge);
        return;
    }
    if (!keepBody()) {
        return;
    }
    if (parser_.state() == MessageParser::State::Complete) {
        dispatch();
        return;
    }
    timeoutStart_ = now;
    if (!continueSent_ && hasToken(parser_.request().fields, "expect", "100-continue")) {
        continueSent_ = true;
        socket_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

bool CallerConnection::keepBody()
{
    const std::size_t stated = parser_.contentLength().value_or(0);
    if (!keptBody_) {
        if (shared_->budget->bytes.isExceededBy(stated)) {
            dispatchWithoutBody();
            return false;
        }
        if (body_.empty()) {
            return true;
        }
        keptBody_ = newShare();
        body_.reserve(std::min(stated, MaxReservedBytes));
    }
    keptBody_->resize(body_.size());
    return !isBodyGivenUp_;
}

std::shared_ptr<ByteBudget::Share> CallerConnection::newShare()
{
    struct Counted
    {
        Counted(std::shared_ptr<CallerServer::SharedState> sharedState, std::function<void()> onExceeded)
            : server(std::move(sharedState))
            , share(server->budget->bytes, std::move(onExceeded))
        {
        }
        std::shared_ptr<CallerServer::SharedState> server;
        ByteBudget::Share share;
    };
    const auto onExceeded = [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->isBodyGivenUp_ = true;
        release(self->body_);
        // Another connection's bytes are being counted, so this one's request is refused in a turn of its own.
        asio::post(self->shared_->executor, [self] { self->dispatchWithoutBody(); });
    };
    const auto counted = std::make_shared<Counted>(shared_, onExceeded);
    return {counted, &counted->share};
}

void CallerConnection::dispatchWithoutBody()
{
    if (phase_ != Phase::Reading) {
        return;
    }
    setPhase(Phase::Responding);
    isBodyGivenUp_ = true;
    keepAlive_ = false;
    headRequest_ = parser_.request().method == "HEAD";
    release(input_);
    release(body_);
    keptBody_.reset();
    exchange_ = std::make_shared<CallerExchange>(shared_from_this(), parser_.request(), std::string(), nullptr, arrivedAt_);
    exchange_->isBodyGivenUp_ = true;
    shared_->onRequest(exchange_);
}

void CallerConnection::dispatch()
{
    if (socket_->isClosedByPeer()) {
        ++shared_->requestsOfGoneCallers;
        closeNow();
        return;
    }
    // The request may open a connection to an endpoint, which counts too, so other connections are closed to make room.
    member_.setUse(ConnectionUse::Responding);
    if (!shared_->budget->connections.makeRoom(0)) {
        dispatchWithoutBody();
        return;
    }
    phase_ = Phase::Responding;
    keepAlive_ = parser_.keepsAlive();
    headRequest_ = parser_.request().method == "HEAD";
    if (keptBody_) {
        keptBody_->fix();
    }
    exchange_ = std::make_shared<CallerExchange>(
        shared_from_this(), parser_.request(), std::exchange(body_, {}), std::exchange(keptBody_, nullptr), arrivedAt_);
    shared_->onRequest(exchange_);
}

void CallerConnection::sendErrorAndClose(int status)
{
    ResponseHead head{status, std::string(reasonPhrase(status)), {{"Content-Length", "0"}, {"Connection", "close"}}};
    socket_->write(serialise(head));
    closeGracefully();
}

void CallerConnection::onResponseSent()
{
    exchange_.reset();
    if (closesAfterResponse()) {
        closeGracefully();
        return;
    }
    parser_.restart();
    continueSent_ = false;
    setPhase(Phase::Idle);
    timeoutStart_ = suspendAwareNow();
    updateBuffers();
    readNextRequest();
}

void CallerConnection::readNextRequest()
{
    if (phase_ != Phase::Idle || input_.empty()) {
        return;
    }
    // Posted, so that the next request isn't dispatched inside the call that ended the current exchange.
    asio::post(shared_->executor, [self = shared_from_this()] {
        if (self->phase_ == Phase::Idle) {
            self->readRequest(self->input_);
            self->updateBuffers();
        }
    });
}

void CallerConnection::abort()
{
    exchange_.reset();
    socket_->reset();
    shared_->connections.erase(shared_from_this());
}

void CallerConnection::closeGracefully()
{
    setPhase(Phase::Closing);
    timeoutStart_ = suspendAwareNow();
    unreadBytes_ = socket_->unacknowledgedBytes();
    release(input_);
    release(body_);
    keptBody_.reset();
    if (!areBuffersGivenUp_) {
        buffers_.resize(socket_->pendingBytes());
    }
    socket_->finishWriting();
    socket_->resumeReading();
}

void CallerConnection::closeNow()
{
    const auto self = shared_from_this();
    // Not setPhase(): a connection that was closed to make room must not be counted again.
    phase_ = Phase::Closing;
    socket_->close();
    shared_->connections.erase(self);
}

void CallerConnection::closeIfExpired(TimePoint now)
{
    const CallerLimits limits = shared_->limits();
    const Duration age = now - timeoutStart_;
    switch (phase_) {
    case Phase::Idle:
        if (limits.idleTimeout.count() > 0 && age > limits.idleTimeout) {
            closeGracefully();
        }
        break;
    case Phase::Reading:
        if (limits.headerTimeout.count() > 0 && age > limits.headerTimeout) {
            sendErrorAndClose(RequestTimeout);
        }
        break;
    case Phase::Closing:
        if (age > GracefulCloseTimeout && !hasReadMore(now)) {
            closeNow();
        }
        break;
    case Phase::Responding:
        break;
    }
}

bool CallerConnection::hasReadMore(TimePoint now)
{
    const std::size_t before = std::exchange(unreadBytes_, socket_->unacknowledgedBytes());
    if (unreadBytes_ >= before) {
        return false;
    }
    timeoutStart_ = now;
    return true;
}

void CallerConnection::write(std::string_view bytes)
{
    socket_->write(bytes);
    updateBuffers();
}

std::size_t CallerConnection::pendingBytes() const
{
    return socket_->pendingBytes();
}

}
