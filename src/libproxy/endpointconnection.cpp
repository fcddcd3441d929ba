#include "endpointconnection.h"

#include "suspendclock.h"
#include "text.h"

#include <asio/post.hpp>

#include <utility>

namespace Chestnutcove {

namespace {

constexpr int FirstFinalStatus = 200;

std::optional<Milliseconds> keepAliveTimeoutOf(const HeaderFields &fields)
{
    const HeaderField *field = findField(fields, "Keep-Alive");
    if (field == nullptr) {
        return std::nullopt;
    }
    constexpr std::string_view Timeout = "timeout=";
    for (const std::string_view part : splitList(field->value, ',')) {
        const auto seconds = part.starts_with(Timeout) ? parseNumber<std::uint32_t>(part.substr(Timeout.size())) : std::nullopt;
        if (seconds) {
            return std::chrono::seconds(*seconds);
        }
    }
    return std::nullopt;
}

}

EndpointConnection::EndpointConnection(std::shared_ptr<BufferedSocket> socket, std::function<void()> onClosedWhileIdle)
    : socket_(std::move(socket))
    , onClosedWhileIdle_(std::move(onClosedWhileIdle))
    , parser_(MessageParser::Type::Response,
              {[this] { headArrived(); },
               [this](std::string_view bytes) {
                   if (busy_ && !skipping_) {
                       call_.onBody(bytes);
                   }
               }})
    , idleSince_(suspendAwareNow())
{
}

void EndpointConnection::start()
{
    BufferedSocket::Handlers handlers;
    handlers.onBytes = [self = shared_from_this()](std::string_view bytes) { self->onBytes(bytes); };
    handlers.onEnd = [self = shared_from_this()](ReadEnd end) { self->onEnd(end); };
    socket_->start(std::move(handlers));
}

void EndpointConnection::send(ConnectionCall call)
{
    call_ = std::move(call);
    busy_ = true;
    headSeen_ = false;
    skipping_ = false;
    headRequest_ = call_.head.method == "HEAD";
    parser_.restart(headRequest_);
    if (!call_.body.empty() || call_.head.method == "POST" || call_.head.method == "PUT") {
        call_.head.fields.push_back({"Content-Length", std::to_string(call_.body.size())});
    }
    std::string text = serialise(call_.head);
    text += call_.body;
    socket_->write(text);
}

void EndpointConnection::cancel()
{
    busy_ = false;
    close();
    // One of the call's own handlers may be running.
    asio::post(socket_->executor(), [call = std::exchange(call_, {})] {});
}

void EndpointConnection::close()
{
    reusable_ = false;
    socket_->close();
}

bool EndpointConnection::isReusable() const
{
    return reusable_ && !busy_ && socket_->isOpen();
}

void EndpointConnection::pauseReading()
{
    socket_->pauseReading();
}

void EndpointConnection::resumeReading()
{
    socket_->resumeReading();
}

void EndpointConnection::onBytes(std::string_view bytes)
{
    const auto self = shared_from_this();
    while (!bytes.empty() && socket_->isOpen()) {
        if (!busy_) {
            close();
            onClosedWhileIdle_();
            return;
        }
        const std::size_t used = parser_.feed(bytes);
        bytes.remove_prefix(used);
        if (!busy_) {
            // The call was cancelled by one of its handlers.
            return;
        }
        if (parser_.state() == MessageParser::State::Failed) {
            finish(CallEnd::Broken);
            return;
        }
        if (parser_.state() != MessageParser::State::Complete) {
            continue;
        }
        if (skipping_) {
            skipping_ = false;
            parser_.restart(headRequest_);
            continue;
        }
        // More bytes after a complete answer belong to no request.
        reusable_ = reusable_ && parser_.keepsAlive() && bytes.empty() && socket_->pendingBytes() == 0;
        finish(CallEnd::Complete);
        return;
    }
}

void EndpointConnection::onEnd(ReadEnd end)
{
    const auto self = shared_from_this();
    reusable_ = false;
    if (!busy_) {
        socket_->close();
        onClosedWhileIdle_();
        return;
    }
    const bool begun = parser_.hasStarted() && !skipping_;
    if (end == ReadEnd::Closed && headSeen_) {
        parser_.feedEnd();
        if (!busy_) {
            return;
        }
        if (parser_.state() == MessageParser::State::Complete) {
            finish(CallEnd::Complete);
            return;
        }
    }
    finish(begun ? CallEnd::Broken : CallEnd::NoAnswer);
}

void EndpointConnection::headArrived()
{
    const ResponseHead &head = parser_.response();
    if (head.status < FirstFinalStatus || (call_.isOurs && !call_.isOurs(head))) {
        skipping_ = true;
        return;
    }
    headSeen_ = true;
    if (const auto timeout = keepAliveTimeoutOf(head.fields)) {
        keepAliveTimeout_ = timeout;
    }
    call_.onHead(head, parser_.isDelimited() ? parser_.contentLength() : std::nullopt);
}

void EndpointConnection::finish(CallEnd end)
{
    busy_ = false;
    idleSince_ = suspendAwareNow();
    if (end != CallEnd::Complete) {
        reusable_ = false;
    }
    if (!reusable_) {
        socket_->close();
    }
    const auto call = std::exchange(call_, {});
    call.onEnd(end);
}

}
