/**
 * HTTP server on RESTinio. Only the implementation includes RESTinio's headers, since they are slow to compile.
 */
#pragma once

#include "httptypes.h"

#include <absl/status/status.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Chestnutcove {

/**
 * Sends the response to one request. Copies refer to the same response, and any thread may use them. The first call of respond() or
 * beginStream() takes effect; later ones are ignored.
 */
class HttpReply
{
public:
    class Impl;
    explicit HttpReply(std::shared_ptr<Impl> impl);

    /** Sends a complete response. */
    void respond(int status, const HttpHeaders &headers, std::string body) const;
    /** Sends the head of a chunked response; append() sends its chunks and finish() ends it. */
    void beginStream(int status, const HttpHeaders &headers) const;
    void append(std::string chunk) const;
    void finish() const;

private:
    std::shared_ptr<Impl> impl_;
};

struct HttpServerOptions
{
    std::string address = "127.0.0.1";
    /** 0 selects a free port; see HttpServer::port(). */
    std::uint16_t port = 0;
    std::size_t threads = 2;
    /** A connection that sends a larger body is closed, so the handler should reject bodies well below this limit. */
    std::size_t maxBodyBytes = 16U << 20U;
    /** Longest time a client may take to send one request. */
    std::chrono::milliseconds readTimeout{15000};
};

class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest, HttpReply)>;
    /** Called with HttpRequest::connection when either side closes the connection. */
    using DisconnectHandler = std::function<void(std::uint64_t connection)>;

    HttpServer(HttpServerOptions options, Handler handler, DisconnectHandler onDisconnect);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Starts listening. @return Unavailable when the address can't be bound. */
    absl::Status start();
    /** Closes the listening socket and all connections, and waits until the threads have ended. */
    void stop();
    std::uint16_t port() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}
