/**
 * Connections to endpoints, kept for reuse. They belong to one run of an endpoint and are dropped with it.
 */
#pragma once

#include "endpointconnection.h"
#include "endpointrecord.h"

#include <absl/status/statusor.h>
#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Chestnutcove {

struct EndpointPoolOptions
{
    Milliseconds connectTimeout{400};
    /** Sent bytes without acknowledgement for this long break the connection. */
    Milliseconds ackTimeout{1500};
    /** Idle connections older than this are not used again, unless the endpoint names another time. */
    Milliseconds idleTimeout{4000};
    /** A connection is not used again this close before the endpoint would close it. */
    Milliseconds idleMargin{600};
};

class EndpointPool
{
public:
    /** Unavailable: no connection could be made, so that nothing was sent. ResourceExhausted: the endpoint's share of connections is used.
     */
    using ConnectionHandler = std::function<void(absl::StatusOr<std::shared_ptr<EndpointConnection>>)>;

    EndpointPool(asio::io_context &context, EndpointPoolOptions options);
    ~EndpointPool();
    EndpointPool(const EndpointPool &) = delete;
    EndpointPool &operator=(const EndpointPool &) = delete;

    /** Gives a connection on which no call is in progress. @param limit open connections to this endpoint; 0 for no limit. */
    void acquire(const EndpointRecord &endpoint, unsigned limit, ConnectionHandler onConnection);
    /** Takes a connection back after its call ended. */
    void release(const EndpointRecord &endpoint, const std::shared_ptr<EndpointConnection> &connection);
    /** Closes the idle connections of an endpoint's run that has ended. */
    void drop(const EndpointRecord &endpoint);
    /** Closes connections that have been idle for too long. */
    void sweep(TimePoint now);
    std::uint64_t connectionsOpened() const;

private:
    struct Line
    {
        std::vector<std::shared_ptr<EndpointConnection>> idle;
        /** Idle, in use or being made. */
        unsigned open = 0;
    };
    struct Shared;

    static std::string keyOf(const EndpointRecord &endpoint);
    bool isUsable(const EndpointConnection &connection, TimePoint now) const;
    void connect(const EndpointRecord &endpoint, ConnectionHandler onConnection);

    asio::io_context &context_;
    EndpointPoolOptions options_;
    std::shared_ptr<Shared> shared_;
    std::uint64_t connectionsOpened_ = 0;
};

inline std::uint64_t EndpointPool::connectionsOpened() const
{
    return connectionsOpened_;
}

}
