/**
 * A call to an endpoint's own interface, such as an order or a report, whose response is short. Unlike a forwarded request it has no caller
 * whose deadline ends it, so it has a timeout of its own.
 */
#pragma once

#include "endpointpool.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Chestnutcove {

class ShortCall : public std::enable_shared_from_this<ShortCall>
{
public:
    /** @param status 0 if no complete response arrived. */
    using DoneHandler = std::function<void(int status, const std::string &body)>;

    /**
     * Sends the call over the connection, which belongs to the endpoint and returns to the pool afterwards. A response that is longer than
     * MaxResponseBytes, or not complete within ResponseTimeout, is broken off.
     */
    static void send(EndpointPool &pool,
                     const EndpointRecord &endpoint,
                     const std::shared_ptr<EndpointConnection> &connection,
                     RequestHead head,
                     std::string body,
                     DoneHandler onDone);

    static constexpr std::size_t MaxResponseBytes = std::size_t{64} * 1024;
    static constexpr Milliseconds ResponseTimeout{2000};

private:
    ShortCall(EndpointPool &pool, EndpointRecord endpoint, std::shared_ptr<EndpointConnection> connection, DoneHandler onDone);

    void start(RequestHead head, std::string body);
    void onBody(std::string_view bytes);
    void breakOff();
    void finish(int status);

    EndpointPool &pool_;
    EndpointRecord endpoint_;
    std::shared_ptr<EndpointConnection> connection_;
    DoneHandler onDone_;
    asio::steady_timer timer_;
    int status_ = 0;
    std::string body_;
};

}
