/**
 * HTTP client that runs all transfers on one libcurl multi handle in a thread of its own. Handlers are posted to the executor given at
 * construction, so that they run on the thread of the code that uses the client.
 */
#pragma once

#include "httptypes.h"

#include <absl/status/status.h>
#include <asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Chestnutcove {

struct HttpCall
{
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    std::string body;
    std::chrono::milliseconds timeout{5000};
    /** The call ends with Unknown when the body that is kept of the response becomes longer. */
    std::size_t maxResponseBytes = std::size_t{16} << 20U;
    /** Aborts the call when no data arrives for this long; 0 disables the limit. */
    std::chrono::milliseconds silenceTimeout{0};
    /** Opens a new connection instead of reusing one, since an open connection may have become unresponsive. */
    bool freshConnection = false;
    /** Sends the call at most once. On a reused connection libcurl retries a call by itself when the server closes without a response, so
     * such a call gets a new connection. */
    bool atMostOnce = false;
};

struct HttpResult
{
    /**
     * Ok: the complete response was received, whatever its HTTP status code. Unavailable: the request was certainly not sent.
     * Cancelled: cancel() ended the call. DeadlineExceeded or Unknown: the server may have executed the request.
     */
    absl::Status status;
    /** HTTP status code, 0 when no complete head of a response was received. */
    int code = 0;
    std::string contentType;
    std::string body;
    HttpHeaders headers;

    /** The value of the header @p name, which is compared without regard to case, or nothing. */
    std::optional<std::string_view> headerValue(std::string_view name) const;
};

class HttpClient
{
public:
    using CallId = std::uint64_t;
    using DataHandler = std::function<void(std::string)>;
    using DoneHandler = std::function<void(HttpResult)>;

    /** @param maxConnectionAge connections older than this are not reused. */
    HttpClient(asio::any_io_executor executor, std::chrono::seconds maxConnectionAge);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends a call; @p onDone gets the result with the response body. */
    CallId send(HttpCall call, DoneHandler onDone);
    /** Sends a call and passes the body of a 2xx response to @p onData as it arrives. The body of any other response is part of the result.
     */
    CallId stream(HttpCall call, DataHandler onData, DoneHandler onDone);
    /** Aborts the call: its DoneHandler gets Cancelled unless the call has already ended. Handlers that are already posted still run. */
    void cancel(CallId id);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}
