/**
 * One caller's connection: reads a request, hands it on as an exchange, writes the answer and goes on or closes.
 */
#pragma once

#include "callerserver.h"

#include <memory>
#include <string>

namespace Chestnutcove {

/** What the connections of a server have in common. */
struct CallerServer::Shared
{
    asio::any_io_executor executor;
    LimitsReader limits;
    RequestHandler onRequest;
    std::unordered_set<std::shared_ptr<CallerConnection>> connections;
    bool closeAfterAnswer = false;
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(std::shared_ptr<BufferedSocket> socket, std::shared_ptr<CallerServer::Shared> shared);

    void start();
    bool isIdle() const;
    /** Ends our direction, reads the rest and closes when the caller does or after a while. */
    void closePolitely();
    void closeNow();
    void sweep(TimePoint now);

    // For the exchange.
    void write(std::string_view bytes);
    std::size_t pendingBytes() const;
    void answered();
    void abort();
    /** The answer must say that the connection ends with it. */
    bool endsAfterAnswer() const;
    bool isHeadRequest() const;

private:
    enum class Phase {
        /** No byte of a request was seen. */
        Idle,
        Reading,
        Answering,
        /** Our direction has ended. */
        Closing,
    };

    void onBytes(std::string_view bytes);
    void onEnd(ReadEnd end);
    void readRequest();
    void refuse(int status);
    void dispatch();

    std::shared_ptr<BufferedSocket> socket_;
    std::shared_ptr<CallerServer::Shared> shared_;
    MessageParser parser_;
    std::string input_;
    std::string body_;
    std::shared_ptr<CallerExchange> exchange_;
    Phase phase_ = Phase::Idle;
    /** When the phase began, or the last byte of a body arrived. */
    TimePoint since_;
    TimePoint arrivedAt_;
    bool continueSent_ = false;
    bool keepAlive_ = true;
    bool headRequest_ = false;
};

}
