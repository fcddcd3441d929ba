/**
 * One connection to an endpoint. It carries one call at a time and sends each call at most once. Bytes that belong to no call close the
 * connection, and a truncated response is never reported as complete.
 */
#pragma once

#include "bufferedsocket.h"
#include "messageparser.h"
#include "timepoint.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Chestnutcove {

/** How a call ended. */
enum class CallOutcome {
    /** The complete response arrived. */
    Complete,
    /** No byte of a response arrived; the endpoint may have run the call. */
    NoResponse,
    /** The response was truncated, or the received bytes were no valid response. */
    Broken,
};

struct ConnectionCall
{
    RequestHead head;
    std::string body;
    /** Whether a response belongs to this call; other responses are skipped. An empty function accepts each. */
    std::function<bool(const ResponseHead &)> matchesCall;
    std::function<void(const ResponseHead &, std::optional<std::uint64_t> length)> onHead;
    std::function<void(std::string_view)> onBody;
    /** Called once, when the call has ended, unless it was cancelled. The connection may be used again if isReusable(). */
    std::function<void(CallOutcome)> onEnd;
};

class EndpointConnection : public std::enable_shared_from_this<EndpointConnection>
{
public:
    EndpointConnection(std::shared_ptr<BufferedSocket> socket, std::function<void()> onClosedWhileIdle);

    void start();
    void send(ConnectionCall call);
    /** Abandons the call: closes the connection, so that the endpoint stops working on the call. */
    void cancel();
    void close();
    bool isReusable() const;
    /** A call was sent before, so that bytes which belong to it may still come. */
    bool hasCarriedCalls() const;
    /** When the last call ended, or when the connection was made. */
    TimePoint idleSince() const;
    /** How long the endpoint keeps an idle connection open, according to its last Keep-Alive field. */
    std::optional<Milliseconds> keepAliveTimeout() const;
    /** What marks the end of the response whose head was received last. */
    BodyFraming responseFraming() const;
    void pauseReading();
    void resumeReading();
    asio::any_io_executor executor();

private:
    void onBytes(std::string_view bytes);
    void onDisconnected(DisconnectReason reason);
    void onResponseHead();
    void finish(CallOutcome outcome);

    std::shared_ptr<BufferedSocket> socket_;
    std::function<void()> onClosedWhileIdle_;
    MessageParser parser_;
    ConnectionCall call_;
    bool callActive_ = false;
    /** The head of a final response that matches the call was received. */
    bool headAccepted_ = false;
    bool skippingResponse_ = false;
    /** Responses that were skipped during the call. */
    unsigned skippedResponses_ = 0;
    bool headRequest_ = false;
    bool reusable_ = true;
    bool hasCarriedCalls_ = false;
    TimePoint idleSince_;
    std::optional<Milliseconds> keepAliveTimeout_;
};

inline bool EndpointConnection::hasCarriedCalls() const
{
    return hasCarriedCalls_;
}

inline TimePoint EndpointConnection::idleSince() const
{
    return idleSince_;
}

inline std::optional<Milliseconds> EndpointConnection::keepAliveTimeout() const
{
    return keepAliveTimeout_;
}

inline asio::any_io_executor EndpointConnection::executor()
{
    return socket_->executor();
}

inline BodyFraming EndpointConnection::responseFraming() const
{
    return parser_.framing();
}

}
