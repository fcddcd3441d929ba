#include "endpointconnection.h"

#include "suspendclock.h"
#include "text.h"

#include <asio/post.hpp>

#include <utility>

namespace Chestnutcove {

namespace {

constexpr int SwitchingProtocols = 101;
constexpr int FirstFinalStatus = 200;
/** Interim responses, and late ones to earlier calls, that may precede the response to a call. */
constexpr unsigned MaxSkippedResponses = 32;
/** Bodies up to this size are sent in one piece with their head; longer ones aren't copied for that. */
constexpr std::size_t MaxJoinedBodyBytes = std::size_t{16} * 1024;

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
              {[this] { onResponseHead(); },
               [this](std::string_view bytes) {
                   if (callActive_ && !skippingResponse_) {
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
    handlers.onDisconnected = [self = shared_from_this()](DisconnectReason reason) { self->onDisconnected(reason); };
    // An endpoint may answer before it has read the whole request.
    handlers.readsRestAfterFailedWrite = true;
    socket_->start(std::move(handlers));
}

void EndpointConnection::send(ConnectionCall call)
{
    call_ = std::move(call);
    callActive_ = true;
    hasCarriedCalls_ = true;
    headAccepted_ = false;
    skippingResponse_ = false;
    skippedResponses_ = 0;
    headRequest_ = call_.head.method == "HEAD";
    parser_.restart(headRequest_);
    if (!call_.body.empty() || call_.head.method == "POST" || call_.head.method == "PUT") {
        call_.head.fields.push_back({"Content-Length", std::to_string(call_.body.size())});
    }
    std::string text = serialise(call_.head);
    const std::string body = std::exchange(call_.body, {});
    if (body.size() <= MaxJoinedBodyBytes) {
        text += body;
        socket_->write(text);
        return;
    }
    socket_->write(text);
    socket_->write(body);
}

void EndpointConnection::cancel()
{
    callActive_ = false;
    close();
    // One of the call's handlers may be running, so they are destroyed from the event loop.
    asio::post(socket_->executor(), [call = std::exchange(call_, {})] {});
}

void EndpointConnection::close()
{
    reusable_ = false;
    socket_->close();
}

bool EndpointConnection::isReusable() const
{
    return reusable_ && !callActive_ && socket_->isOpen();
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
        if (!callActive_) {
            close();
            onClosedWhileIdle_();
            return;
        }
        const std::size_t used = parser_.feed(bytes);
        bytes.remove_prefix(used);
        if (!callActive_) {
            // The call was cancelled by one of its handlers.
            return;
        }
        if (parser_.state() == MessageParser::State::Failed) {
            finish(CallOutcome::Broken);
            return;
        }
        if (parser_.state() != MessageParser::State::Complete) {
            continue;
        }
        if (skippingResponse_) {
            skippingResponse_ = false;
            const bool isOtherProtocol = parser_.response().status == SwitchingProtocols;
            if (isOtherProtocol || ++skippedResponses_ > MaxSkippedResponses) {
                finish(CallOutcome::Broken);
                return;
            }
            parser_.restart(headRequest_);
            continue;
        }
        // Bytes after a complete response belong to no call, so the connection isn't reused. Nor is it while request bytes are unsent.
        reusable_ = reusable_ && parser_.keepsAlive() && bytes.empty() && socket_->pendingBytes() == 0 && !socket_->hasFailed();
        finish(CallOutcome::Complete);
        return;
    }
}

void EndpointConnection::onDisconnected(DisconnectReason reason)
{
    const auto self = shared_from_this();
    reusable_ = false;
    if (!callActive_) {
        socket_->close();
        onClosedWhileIdle_();
        return;
    }
    const bool begun = parser_.hasStarted() && !skippingResponse_;
    if (reason == DisconnectReason::Closed && headAccepted_) {
        parser_.feedEof();
        if (!callActive_) {
            return;
        }
        if (parser_.state() == MessageParser::State::Complete) {
            finish(CallOutcome::Complete);
            return;
        }
    }
    finish(begun ? CallOutcome::Broken : CallOutcome::NoResponse);
}

void EndpointConnection::onResponseHead()
{
    const ResponseHead &head = parser_.response();
    if (head.status < FirstFinalStatus || (call_.matchesCall && !call_.matchesCall(head))) {
        skippingResponse_ = true;
        return;
    }
    headAccepted_ = true;
    if (const auto timeout = keepAliveTimeoutOf(head.fields)) {
        keepAliveTimeout_ = timeout;
    }
    call_.onHead(head, parser_.contentLength());
}

void EndpointConnection::finish(CallOutcome outcome)
{
    callActive_ = false;
    idleSince_ = suspendAwareNow();
    if (outcome != CallOutcome::Complete) {
        reusable_ = false;
    }
    if (!reusable_) {
        socket_->close();
    }
    const auto call = std::exchange(call_, {});
    call.onEnd(outcome);
}

}
