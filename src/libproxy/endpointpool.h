/**
 * Connection pool to endpoints. A pooled connection belongs to one run of an endpoint (one start of its process) and isn't used for
 * another.
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
    /** A connection breaks when sent bytes stay unacknowledged for this long. */
    Milliseconds ackTimeout{1500};
    /** A connection that was idle for longer than this isn't reused, unless the endpoint states another keep-alive timeout. */
    Milliseconds idleTimeout{4000};
    /** Subtracted from the endpoint's keep-alive timeout, so that a call isn't sent just as the endpoint closes the connection. */
    Milliseconds idleMargin{600};
};

class EndpointPool
{
public:
    /**
     * No connection, so nothing was sent. Unavailable: the endpoint's address refuses connections, so no process listens there.
     * DeadlineExceeded: nobody answered in time, or none could be made for another reason. ResourceExhausted: the limit of connections to
     * the endpoint is reached.
     */
    using ConnectionHandler = std::function<void(absl::StatusOr<std::shared_ptr<EndpointConnection>>)>;

    EndpointPool(asio::io_context &context, EndpointPoolOptions options);
    ~EndpointPool();
    EndpointPool(const EndpointPool &) = delete;
    EndpointPool &operator=(const EndpointPool &) = delete;

    /** Passes on a connection without a call in progress, pooled or new. @param limit of open connections to this endpoint; 0 for none. */
    void acquire(const EndpointRecord &endpoint, unsigned limit, ConnectionHandler onConnection);
    /** Returns a connection to the pool after its call ended, or closes it if it can't be reused. */
    void release(const EndpointRecord &endpoint, const std::shared_ptr<EndpointConnection> &connection);
    /** Closes the idle connections to the given run of an endpoint. Called when the run has ended. */
    void closeIdleConnections(const EndpointRecord &endpoint);
    /** Closes connections that have been idle for too long. */
    void closeExpiredConnections(TimePoint now);
    std::uint64_t connectionsOpened() const;

private:
    /** The connections to one run of an endpoint. */
    struct RunConnections
    {
        std::vector<std::shared_ptr<EndpointConnection>> idle;
        /** Number of connections that are idle, in use or being established. */
        unsigned open = 0;
    };
    struct SharedState;

    static std::string runKey(const EndpointRecord &endpoint);
    bool isUsable(const EndpointConnection &connection, TimePoint now) const;
    void connect(const EndpointRecord &endpoint, ConnectionHandler onConnection);

    asio::io_context &context_;
    EndpointPoolOptions options_;
    std::shared_ptr<SharedState> shared_;
    std::uint64_t connectionsOpened_ = 0;
};

inline std::uint64_t EndpointPool::connectionsOpened() const
{
    return connectionsOpened_;
}

}
