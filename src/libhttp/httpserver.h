/**
 * HTTP server behind a narrow interface. RESTinio is included only by its implementation, since it is slow to compile.
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
 * The answer to one request. Copies share it; any thread may use it. The first respond() or beginStream() decides its form, later
 * ones are ignored.
 */
class HttpReply
{
public:
    class Impl;
    explicit HttpReply(std::shared_ptr<Impl> impl);

    void respond(int status, const HttpHeaders &headers, std::string body) const;
    /** Starts a chunked answer; follow it by append() and finish(). */
    void beginStream(int status, const HttpHeaders &headers) const;
    void append(std::string chunk) const;
    void finish() const;

private:
    std::shared_ptr<Impl> impl_;
};

struct HttpServerOptions
{
    std::string address = "127.0.0.1";
    /** 0 takes a free port; see HttpServer::port(). */
    std::uint16_t port = 0;
    std::size_t threads = 2;
    /** Connections that send a larger body are closed; the handler should refuse well below it. */
    std::size_t maxBodyBytes = 16U << 20U;
    /** How long a client may take to send one request. */
    std::chrono::milliseconds readTimeout{15000};
};

class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest, HttpReply)>;
    /** Called with the connection's number when it is closed from either side. */
    using DisconnectHandler = std::function<void(std::uint64_t connection)>;

    HttpServer(HttpServerOptions options, Handler handler, DisconnectHandler onDisconnect);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Listens; fails where the address can't be bound. */
    absl::Status start();
    /** Closes the listener and all connections, and waits for the threads. */
    void stop();
    std::uint16_t port() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}
