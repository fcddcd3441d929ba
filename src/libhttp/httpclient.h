/**
 * HTTP client on one libcurl multi handle with its own thread. Callbacks are posted to the executor given at construction, so that
 * they run on the same thread as the state machines which use them.
 */
#pragma once

#include "httptypes.h"

#include <absl/status/status.h>
#include <asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Chestnutcove {

struct HttpCall
{
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    std::string body;
    std::chrono::milliseconds timeout{5000};
    /** Ends the call when nothing arrived for this long; 0 for never. */
    std::chrono::milliseconds silenceTimeout{0};
    /** Open a new connection: one that is open may have gone silent for good. */
    bool freshConnection = false;
    /** The call must reach the other side at most once. libcurl repeats a call by itself when a connection that it used before closes
     * without an answer. */
    bool atMostOnce = false;
};

struct HttpResult
{
    /** Ok when an answer arrived whole, whatever its code. Unavailable: certainly not sent. DeadlineExceeded or Unknown: may have run. */
    absl::Status status;
    int code = 0;
    std::string contentType;
    std::string body;
};

class HttpClient
{
public:
    using CallId = std::uint64_t;
    using DataHandler = std::function<void(std::string)>;
    using DoneHandler = std::function<void(HttpResult)>;

    /** @param maxConnectionAge connections older than this are not used again. */
    HttpClient(asio::any_io_executor executor, std::chrono::seconds maxConnectionAge);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends a call; the body arrives with the result. */
    CallId send(HttpCall call, DoneHandler onDone);
    /** Sends a call whose 2xx body goes to @p onData as it arrives. */
    CallId stream(HttpCall call, DataHandler onData, DoneHandler onDone);
    /** Closes the call's connection. Its handlers may still run once when its result was already posted. */
    void cancel(CallId id);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}
