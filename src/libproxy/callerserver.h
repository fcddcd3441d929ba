/**
 * HTTP/1.1 server for callers. Each request becomes a CallerExchange. A connection handles one request at a time; pipelined requests wait
 * in a bounded buffer and beyond that in the kernel. The server detects when a caller disconnects while its response is pending, and
 * doesn't pass on the request of a caller that left before it was read.
 */
#pragma once

#include "bufferedsocket.h"
#include "bytebudget.h"
#include "callerbudget.h"
#include "messageparser.h"
#include "routecatalogue.h"
#include "timepoint.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <unordered_set>

namespace Chestnutcove {

class CallerConnection;

/** One request and its response. Exactly one of sendResponse(), endResponse() and abort() ends the exchange. */
class CallerExchange : public std::enable_shared_from_this<CallerExchange>
{
public:
    /** @param keptBody counts the bytes of the body among those of all requests; may be null. */
    CallerExchange(std::shared_ptr<CallerConnection> connection,
                   RequestHead head,
                   std::string body,
                   std::shared_ptr<ByteBudget::Share> keptBody,
                   TimePoint arrivedAt);

    const RequestHead &head() const;
    const std::string &body() const;
    /** The body was given up, since the server keeps too many bytes of requests. The request must be refused. */
    bool isBodyGivenUp() const;
    /** When the first byte of the request was read, on the suspend-aware clock. */
    TimePoint arrivedAt() const;

    /** Sets the handler that is called once if the caller disconnects before the response is complete. */
    void onCallerGone(std::function<void()> handler);
    /** Sets the handler that is called whenever the write buffer, which held unsent bytes, has become empty. */
    void onDrained(std::function<void()> handler);

    /** Sends a complete response. */
    void sendResponse(ResponseHead head, std::string_view body);
    /** Sends the head of a response whose body follows with sendBody(). @param length of the body; without it the body is sent in chunks.
     */
    void beginResponse(ResponseHead head, std::optional<std::uint64_t> length);
    void sendBody(std::string_view bytes);
    void endResponse();
    /** Resets the connection, so that the caller can't take a partial response for a complete one. */
    void abort();

    bool hasBegun() const;
    /** The exchange hasn't ended and the caller is still connected. */
    bool isOpen() const;
    /**
     * Whether the caller has closed the connection, also if its close hasn't been handled yet. Looks at the connection, which costs a
     * system call, only if the last look is a while ago.
     */
    bool hasCallerLeft(TimePoint now);
    std::size_t pendingBytes() const;

private:
    friend class CallerConnection;
    void notifyCallerGone();

    std::shared_ptr<CallerConnection> connection_;
    RequestHead head_;
    std::string body_;
    std::shared_ptr<ByteBudget::Share> keptBody_;
    bool isBodyGivenUp_ = false;
    TimePoint arrivedAt_;
    /** When it was last looked at whether the caller has left. */
    TimePoint lastLookAt_;
    std::function<void()> callerGoneHandler_;
    std::function<void()> drainedHandler_;
    bool begun_ = false;
    bool chunked_ = false;
    bool open_ = true;
};

class CallerServer
{
public:
    using RequestHandler = std::function<void(std::shared_ptr<CallerExchange>)>;
    using LimitsReader = std::function<CallerLimits()>;

    /**
     * @param maxBodyBytes of all requests together, from the arrival of a body's first byte to the end of its exchange. Beyond it the
     * largest body that is still being read is given up.
     * @throws std::system_error when the server can't listen on the address.
     */
    CallerServer(asio::io_context &context,
                 const asio::ip::tcp::endpoint &listen,
                 LimitsReader limits,
                 RequestHandler onRequest,
                 std::size_t maxBodyBytes = std::numeric_limits<std::size_t>::max());
    /** Like the constructor above. @param budget that several servers share; it is used in their thread only. */
    CallerServer(asio::io_context &context,
                 const asio::ip::tcp::endpoint &listen,
                 LimitsReader limits,
                 RequestHandler onRequest,
                 std::shared_ptr<CallerBudget> budget);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    std::uint16_t port() const;
    /** From now on each response carries "Connection: close", and its connection is closed after it. */
    void announceClose();
    /** Closes connections on which no request is in progress. */
    void closeIdleConnections();
    void stopAccepting();
    std::size_t openConnectionCount() const;
    /** Number of requests that weren't passed on, since their callers had left when they were read. */
    std::uint64_t requestsOfGoneCallers() const;
    /** Bytes that count in the budget. */
    std::size_t keptBodyBytes() const;
    /** Closes connections that exceeded a timeout. Must be called several times a second. */
    void closeExpiredConnections(TimePoint now);

private:
    friend class CallerConnection;
    struct SharedState;

    void awaitConnections();
    /** @return false if a connection waits that can't be accepted now. */
    bool acceptWaiting();
    void retryLater();

    std::shared_ptr<SharedState> shared_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer retryTimer_;
};

inline const RequestHead &CallerExchange::head() const
{
    return head_;
}

inline const std::string &CallerExchange::body() const
{
    return body_;
}

inline bool CallerExchange::isBodyGivenUp() const
{
    return isBodyGivenUp_;
}

inline TimePoint CallerExchange::arrivedAt() const
{
    return arrivedAt_;
}

inline bool CallerExchange::hasBegun() const
{
    return begun_;
}

inline bool CallerExchange::isOpen() const
{
    return open_;
}

}
