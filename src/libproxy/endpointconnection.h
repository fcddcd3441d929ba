/**
 * One connection to an endpoint: one call at a time, sent at most once. Bytes that belong to no call close the connection, and an answer
 * that was cut is never reported as complete.
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
enum class CallEnd {
    /** The answer arrived whole. */
    Complete,
    /** No byte of an answer arrived; the endpoint may have run the call. */
    NoAnswer,
    /** The answer broke off, or what arrived was no answer. */
    Broken,
};

struct ConnectionCall
{
    RequestHead head;
    std::string body;
    /** Whether an answer belongs to this call; others are skipped. */
    std::function<bool(const ResponseHead &)> isOurs;
    std::function<void(const ResponseHead &, std::optional<std::uint64_t> length)> onHead;
    std::function<void(std::string_view)> onBody;
    /** Called once, at the end; the connection may be used again if isReusable(). */
    std::function<void(CallEnd)> onEnd;
};

class EndpointConnection : public std::enable_shared_from_this<EndpointConnection>
{
public:
    EndpointConnection(std::shared_ptr<BufferedSocket> socket, std::function<void()> onClosedWhileIdle);

    void start();
    void send(ConnectionCall call);
    /** Ends a call without its answer: closes the connection, so that the endpoint stops working on it. */
    void cancel();
    void close();
    bool isReusable() const;
    /** When the last call ended. */
    TimePoint idleSince() const;
    /** How long the endpoint keeps an idle connection, as it last said. */
    std::optional<Milliseconds> keepAliveTimeout() const;
    void pauseReading();
    void resumeReading();

private:
    void onBytes(std::string_view bytes);
    void onEnd(ReadEnd end);
    void headArrived();
    void finish(CallEnd end);

    std::shared_ptr<BufferedSocket> socket_;
    std::function<void()> onClosedWhileIdle_;
    MessageParser parser_;
    ConnectionCall call_;
    bool busy_ = false;
    /** The answer's head was accepted as ours. */
    bool headSeen_ = false;
    bool skipping_ = false;
    bool headRequest_ = false;
    bool reusable_ = true;
    TimePoint idleSince_;
    std::optional<Milliseconds> keepAliveTimeout_;
};

inline TimePoint EndpointConnection::idleSince() const
{
    return idleSince_;
}

inline std::optional<Milliseconds> EndpointConnection::keepAliveTimeout() const
{
    return keepAliveTimeout_;
}

}
