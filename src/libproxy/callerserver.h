/**
 * Accepts callers' connections and turns each request into an exchange. One request at a time on a connection; further ones wait in the
 * kernel or in a bounded buffer. It notices when a caller leaves while its answer is pending.
 */
#pragma once

#include "bufferedsocket.h"
#include "messageparser.h"
#include "routecatalogue.h"
#include "timepoint.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>

namespace Chestnutcove {

class CallerConnection;

/** One request with the means to answer it. Exactly one of answer(), end() and abort() ends it. */
class CallerExchange : public std::enable_shared_from_this<CallerExchange>
{
public:
    CallerExchange(std::shared_ptr<CallerConnection> connection, RequestHead head, std::string body, TimePoint arrivedAt);

    const RequestHead &head() const;
    const std::string &body() const;
    /** When the first byte of the request was read, on the suspend-aware clock. */
    TimePoint arrivedAt() const;

    /** Called once if the caller leaves before the answer is complete. */
    void onCallerGone(std::function<void()> handler);
    /** Called whenever bytes that had to wait were all written. */
    void onDrained(std::function<void()> handler);

    /** Sends a whole answer. */
    void answer(ResponseHead head, std::string_view body);
    /** Begins an answer whose body follows by send(). @param length the body's length; without it the body goes out in chunks. */
    void begin(ResponseHead head, std::optional<std::uint64_t> length);
    void send(std::string_view bytes);
    void end();
    /** Breaks the connection, so that what was sent can't be taken for a whole answer. */
    void abort();

    bool hasBegun() const;
    /** Neither ended nor left by its caller. */
    bool isOpen() const;
    std::size_t pendingBytes() const;

private:
    friend class CallerConnection;
    void callerGone();

    std::shared_ptr<CallerConnection> connection_;
    RequestHead head_;
    std::string body_;
    TimePoint arrivedAt_;
    std::function<void()> goneHandler_;
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

    /** @throws std::system_error when the address can't be listened on. */
    CallerServer(asio::io_context &context, const asio::ip::tcp::endpoint &listen, LimitsReader limits, RequestHandler onRequest);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    std::uint16_t port() const;
    /** From now on each answer ends its connection. */
    void announceClose();
    /** Closes connections on which no request is in progress. */
    void closeIdle();
    void stopAccepting();
    std::size_t openConnections() const;
    /** Closes connections that exceeded a time limit; to be called several times a second. */
    void sweep(TimePoint now);

private:
    friend class CallerConnection;
    struct Shared;

    void accept();

    std::shared_ptr<Shared> shared_;
    asio::ip::tcp::acceptor acceptor_;
};

inline const RequestHead &CallerExchange::head() const
{
    return head_;
}

inline const std::string &CallerExchange::body() const
{
    return body_;
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
