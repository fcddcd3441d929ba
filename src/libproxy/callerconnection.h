/**
 * One connection of a caller: reads a request, passes it to the server's handler as a CallerExchange, writes the response, and then reads
 * the next request or closes.
 */
#pragma once

#include "callerserver.h"

#include <memory>
#include <string>
#include <utility>

namespace Chestnutcove {

/** State that all connections of a server share. */
struct CallerServer::SharedState
{
    SharedState(asio::any_io_executor loop,
                LimitsReader limitsReader,
                RequestHandler requestHandler,
                std::shared_ptr<CallerBudget> callerBudget)
        : executor(std::move(loop))
        , limits(std::move(limitsReader))
        , onRequest(std::move(requestHandler))
        , budget(std::move(callerBudget))
    {
    }

    asio::any_io_executor executor;
    LimitsReader limits;
    RequestHandler onRequest;
    /** What is kept for callers, by all servers that share it. */
    std::shared_ptr<CallerBudget> budget;
    std::unordered_set<std::shared_ptr<CallerConnection>> connections;
    bool closeAfterResponse = false;
    /** Requests that weren't passed on, since their callers had left when they were read. */
    std::uint64_t requestsOfGoneCallers = 0;
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(std::shared_ptr<BufferedSocket> socket, std::shared_ptr<CallerServer::SharedState> shared);

    void start();
    bool isIdle() const;
    /** Shuts down the sending direction and discards further input; closes when the caller does, or after GracefulCloseTimeout. */
    void closeGracefully();
    void closeNow();
    void closeIfExpired(TimePoint now);

    // Called by CallerExchange.
    void write(std::string_view bytes);
    std::size_t pendingBytes() const;
    void onResponseSent();
    void abort();
    /** The response must carry "Connection: close". */
    bool closesAfterResponse() const;
    bool isHeadRequest() const;
    bool isClosedByCaller() const;

private:
    enum class Phase {
        /** No byte of the next request has arrived. */
        Idle,
        Reading,
        Responding,
        /** The sending direction is shut down. */
        Closing,
    };

    void onBytes(std::string_view bytes);
    void onDisconnected(DisconnectReason reason);
    /** @param bytes all of input_, or bytes that have just arrived while input_ is empty. What belongs to later requests is kept there. */
    void readRequest(std::string_view bytes);
    void readNextRequest();
    void setPhase(Phase phase);
    /** So many bytes of responses are unread that no further request of this connection is read. */
    bool isOutputFull() const;
    /** Reads from the socket unless too much is buffered, and counts what is. */
    void updateBuffers();
    void onDrained();
    /** The process keeps too many bytes and this connection's buffers are the largest. */
    void giveUpBuffers();
    void sendErrorAndClose(int status);
    /** While closing: whether the caller's side has taken some of the response since the last look. */
    bool hasReadMore(TimePoint now);
    void dispatch();
    /** Counts what has arrived of the body. @return false if it is given up, as too many bytes are kept of all requests. */
    bool keepBody();
    /** Passes the request on without its body, to be refused, and closes the connection after that. */
    void dispatchWithoutBody();
    std::shared_ptr<ByteBudget::Share> newShare();

    std::shared_ptr<BufferedSocket> socket_;
    std::shared_ptr<CallerServer::SharedState> shared_;
    ConnectionBound::Member member_;
    /** Counts buffered input, unread output and a large head. */
    ByteBudget::Share buffers_;
    bool areBuffersGivenUp_ = false;
    MessageParser parser_;
    std::string input_;
    std::string body_;
    /** Counts the bytes of body_ until the request is passed on; null before the first byte. */
    std::shared_ptr<ByteBudget::Share> keptBody_;
    /** The body of the request that is being read won't be kept. */
    bool isBodyGivenUp_ = false;
    std::shared_ptr<CallerExchange> exchange_;
    Phase phase_ = Phase::Idle;
    /** Start of the running timeout: when the phase began, or when the last bytes of a request body arrived. */
    TimePoint timeoutStart_;
    TimePoint arrivedAt_;
    /** While closing: bytes of the response that the caller's side had not taken when it was looked at last. */
    std::size_t unreadBytes_ = 0;
    bool continueSent_ = false;
    bool keepAlive_ = true;
    bool headRequest_ = false;
};

}
